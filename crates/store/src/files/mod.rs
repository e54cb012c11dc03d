//! The file layer: the directory operations that a store needs, and their implementation on the file system.
//! All calls may block and run on dedicated threads.

mod real;

pub use real::Directory;

use std::io;
use std::sync::Arc;

/// A directory without subdirectories.
pub trait Files: Send + Sync + 'static {
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates a file; fails if the name exists. The name survives a crash only once `sync_names` has
    /// returned.
    fn create(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn open(&self, name: &str) -> io::Result<Arc<dyn File>>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file named `to`; open handles stay valid.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the directory, which makes created, renamed and removed names durable.
    fn sync_names(&self) -> io::Result<()>;
}

/// An open file. Written data survives a crash only once `sync` has returned without an error; after an error
/// the state of the data on disk is unknown.
pub trait File: Send + Sync + 'static {
    fn length(&self) -> io::Result<u64>;
    /// Reads up to the buffer's length; returns less only at the end of the file.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;
    fn truncate(&self, length: u64) -> io::Result<()>;
    fn sync(&self) -> io::Result<()>;
}

/// Reads exactly `length` bytes. `None` if the file ends before that.
pub fn read_exact_at(file: &dyn File, offset: u64, length: usize) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = vec![0; length];
    let read = file.read_at(&mut buffer, offset)?;
    Ok((read == length).then_some(buffer))
}
