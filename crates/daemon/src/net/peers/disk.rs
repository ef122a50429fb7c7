//! The folder for state that outlasts a start: one file of records, appended to and compacted when it has
//! grown. A full or failing disk is logged once and has no other effect: the clock then gives the number of a
//! start.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

use replication::disk::{compacted, parse, Record, StoredState, MAX_FILE_BYTES};

/// The file.
pub(super) struct Disk {
    path: PathBuf,
    file: File,
    size: usize,
    /// Locked while the process runs: two processes can't share a folder.
    _lock: File,
    failed: bool,
}

impl Disk {
    /// Opens the folder, creates it if necessary, and reads the stored state.
    pub fn open(dir: &Path) -> Result<(Disk, StoredState), String> {
        let with_path = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
        std::fs::create_dir_all(dir).map_err(|error| with_path(dir, error))?;
        let lock_path = dir.join("lock");
        let lock = File::create(&lock_path).map_err(|error| with_path(&lock_path, error))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("{}: another process has locked it", dir.display()))
            }
            Err(TryLockError::Error(error)) => return Err(with_path(&lock_path, error)),
        }
        let path = dir.join("instances");
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(with_path(&path, error)),
        };
        let stored = parse(&bytes);
        if stored.torn_bytes > 0 {
            logging::warn!(
                event = "peers.torn",
                bytes = stored.torn_bytes,
                "{} ends with an incomplete or malformed record, which is cut off",
                path.display()
            );
        }
        // Written to a new file that then replaces the old one, so that no torn record remains in the middle.
        let (contents, new_path) = (compacted(&stored), dir.join("instances.new"));
        let result = std::fs::write(&new_path, &contents).and_then(|()| std::fs::rename(&new_path, &path));
        result.map_err(|error| with_path(&path, error))?;
        let file = OpenOptions::new().append(true).open(&path).map_err(|error| with_path(&path, error))?;
        Ok((Disk { path, file, size: contents.len(), _lock: lock, failed: false }, stored))
    }

    /// Appends records.
    pub fn write(&mut self, records: &[Record]) {
        let bytes: Vec<u8> = records.iter().flat_map(Record::encode).collect();
        let result = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        match result {
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
        let contents = compacted(&parse(&bytes));
        let new_path = self.path.with_extension("new");
        let result = std::fs::write(&new_path, &contents)
            .and_then(|()| std::fs::rename(&new_path, &self.path))
            .and_then(|()| OpenOptions::new().append(true).open(&self.path));
        if let Ok(file) = result {
            (self.file, self.size) = (file, contents.len());
        }
    }
}
