//! The folder for what outlasts a start: one file of records, appended to, and written anew when it has grown. A full or
//! broken disk is told once and changes nothing else: the number of a start is then the clock's.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

use replication::disk::{compacted, parse, Record, StoredState, MAX_FILE_BYTES};

/// The file.
pub(super) struct Disk {
    path: PathBuf,
    file: File,
    size: usize,
    /// Held for as long as the process runs: two cannot share a folder.
    _lock: File,
    failed: bool,
}

impl Disk {
    /// Opens the folder, which is made where it is not there, and reads what is kept.
    pub fn open(dir: &Path) -> Result<(Disk, StoredState), String> {
        let named = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
        std::fs::create_dir_all(dir).map_err(|error| named(dir, error))?;
        let lock_path = dir.join("lock");
        let lock = File::create(&lock_path).map_err(|error| named(&lock_path, error))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("{}: another process holds it", dir.display()))
            }
            Err(TryLockError::Error(error)) => return Err(named(&lock_path, error)),
        }
        let path = dir.join("instances");
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(named(&path, error)),
        };
        let kept = parse(&bytes);
        if kept.torn_bytes > 0 {
            logging::warn!(
                event = "peers.torn",
                bytes = kept.torn_bytes,
                "the end of {} is cut off",
                path.display()
            );
        }
        // Written anew under another name and then put in place: what is torn does not stay in the middle.
        let (whole, new) = (compacted(&kept), dir.join("instances.new"));
        let written = std::fs::write(&new, &whole).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|error| named(&path, error))?;
        let file = OpenOptions::new().append(true).open(&path).map_err(|error| named(&path, error))?;
        Ok((Disk { path, file, size: whole.len(), _lock: lock, failed: false }, kept))
    }

    /// Appends records.
    pub fn write(&mut self, records: &[Record]) {
        let bytes: Vec<u8> = records.iter().flat_map(Record::encode).collect();
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        match written {
            Ok(()) => {
                self.size += bytes.len();
                self.failed = false;
                if self.size > MAX_FILE_BYTES {
                    self.rewrite();
                }
            }
            Err(error) if !std::mem::replace(&mut self.failed, true) => {
                logging::error!(event = "peers.unwritten", "{}: {error}", self.path.display());
            }
            Err(_) => {}
        }
    }

    fn rewrite(&mut self) {
        let Ok(bytes) = std::fs::read(&self.path) else { return };
        let whole = compacted(&parse(&bytes));
        let new = self.path.with_extension("new");
        let written = std::fs::write(&new, &whole)
            .and_then(|()| std::fs::rename(&new, &self.path))
            .and_then(|()| OpenOptions::new().append(true).open(&self.path));
        if let Ok(file) = written {
            (self.file, self.size) = (file, whole.len());
        }
    }
}
