//! The file layer: what a store needs of a directory, and how the system gives it. Everything here may block,
//! and runs on threads of its own.

mod real;

pub use real::Directory;

use std::io;
use std::sync::Arc;

/// A directory of flat files.
pub trait Files: Send + Sync + 'static {
    fn list(&self) -> io::Result<Vec<String>>;
    /// Makes a file that must not be there yet. It is there after a crash only once `sync_names` has
    /// returned.
    fn create(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn open(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// In place of a file of that name, if there is one; open files stay open.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn sync_names(&self) -> io::Result<()>;
}

/// An open file. What was written is there after a crash only once `sync` has returned without an error;
/// after an error nothing may be said of it.
pub trait File: Send + Sync + 'static {
    fn length(&self) -> io::Result<u64>;
    /// Reads up to the buffer's length; less only at the end of the file.
    fn read_at(&self, buffer: &mut [u8], at: u64) -> io::Result<usize>;
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()>;
    fn truncate(&self, length: u64) -> io::Result<()>;
    fn sync(&self) -> io::Result<()>;
}

/// Reads exactly so many bytes; none: the file is shorter.
pub fn read_exactly(file: &dyn File, at: u64, length: usize) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = vec![0; length];
    let read = file.read_at(&mut buffer, at)?;
    Ok((read == length).then_some(buffer))
}
