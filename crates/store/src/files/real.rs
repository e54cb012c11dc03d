//! The file layer on the operating system's file system.

use super::{File, Files};
use std::fs::{self, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOCK_FILE_NAME: &str = "lock";

/// A directory that is locked for this process until the value is dropped.
pub struct Directory {
    path: PathBuf,
    /// Kept open: the system releases the lock with the file, also when the process is killed.
    _lock: fs::File,
}

impl Directory {
    /// Creates the directory if it is missing, and locks it.
    ///
    /// # Errors
    /// `ResourceBusy` if another process holds the lock; the message names that process.
    pub fn lock(path: &Path) -> io::Result<Directory> {
        create_dir_durably(path)?;
        let options = || {
            OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .clone()
        };
        let mut lock = options().open(path.join(LOCK_FILE_NAME))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::Error(e)) => return Err(e),
            Err(TryLockError::WouldBlock) => {
                let mut holder = String::new();
                let _ = lock.read_to_string(&mut holder);
                let holder = Some(holder.trim())
                    .filter(|h| !h.is_empty())
                    .unwrap_or("another process");
                let message = format!("{} is held by {holder}", path.display());
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, message));
            }
        }
        lock.set_len(0)?;
        lock.seek(SeekFrom::Start(0))?;
        writeln!(lock, "process {}", std::process::id())?;
        Ok(Directory {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }
}

/// Creates a directory with its missing parents, and syncs the parent of each directory that it creates.
fn create_dir_durably(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    create_dir_durably(parent)?;
    match fs::create_dir(path) {
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && path.is_dir() => {}
        created => created?,
    }
    fs::File::open(parent)?.sync_all()
}

impl Files for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names
            .filter(|name| name.as_ref().map_or(true, |name| name != LOCK_FILE_NAME))
            .collect()
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let options = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .clone();
        Ok(Arc::new(options.open(self.path.join(name))?))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        Ok(Arc::new(
            OpenOptions::new()
                .read(true)
                .write(true)
                .open(self.path.join(name))?,
        ))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_names(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

impl File for fs::File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let mut read = 0;
        while read < buffer.len() {
            match FileExt::read_at(self, &mut buffer[read..], offset + read as u64) {
                Ok(0) => break,
                Ok(n) => read += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(read)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        // Continues after short writes and EINTR.
        self.write_all_at(bytes, offset)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

#[cfg(test)]
mod tests;
