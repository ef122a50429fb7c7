//! The history of configuration changes on disk: a log in a folder that one daemon at a time may use. A
//! separate thread writes it, so that a slow disk does not delay the event loop; a step is complete once it
//! is synced.

use std::fs::{DirBuilder, File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;

use mio::Waker;
use steplog::{encode_record, scan, Scan};
use transaction::{History, Record};

use crate::files;

/// The log of steps.
pub(crate) const LOG: &str = "steps.log";
const LOCK: &str = "lock";
const LOG_NEW: &str = "steps.new";
/// The stored view of a registry, and the file that replaces it.
const VIEW: &str = "registry.view";
const VIEW_NEW: &str = "registry.new";
/// Maximum number of write jobs that are queued for the disk; a configuration change needs three.
const MAX_QUEUED_JOBS: usize = 64;
/// Maximum number of bytes of the log that are read at startup; no daemon writes a log of this size.
const MAX_LOG_BYTES: u64 = 1 << 31;

/// The history's folder, locked by this process.
pub(crate) struct Store {
    folder: PathBuf,
    file: File,
    /// Length of the log's valid prefix (bytes).
    valid_bytes: u64,
    /// Locked while the daemon runs.
    lock: File,
}

enum Job {
    Append(u64, Vec<u8>),
    Rewrite(Vec<u8>),
    View(Vec<u8>),
}

/// Result of a write job: the number of the step, or 0 for other jobs, whose error text names the file.
pub(crate) type WriteResult = (u64, Result<(), String>);

/// Handle of the thread that writes.
pub(crate) struct Writer {
    jobs: SyncSender<Job>,
    results: Receiver<WriteResult>,
    /// Size of the log after all jobs queued so far, and the size above which it is rewritten (bytes).
    size: usize,
    max_size: usize,
    storing_view: Arc<AtomicBool>,
    /// Lock file of the folder, to be passed to a successor.
    pub lock: Option<File>,
}

impl Store {
    /// Locks the folder and reads its log. The third value describes the invalid end of the log, if one was
    /// truncated. `lock` is the folder's lock file if a daemon that still holds the lock has passed it on.
    pub fn open(folder: &Path, lock: Option<File>) -> Result<(Store, History, Option<String>), String> {
        let with_path = |path: &Path, fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
        // The history contains configuration: only its owner may read it.
        let created = DirBuilder::new().recursive(true).mode(0o700).create(folder);
        created.map_err(|error| with_path(folder, &error))?;
        let lock_path = folder.join(LOCK);
        let inherited = lock.is_some();
        let opened =
            || OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(&lock_path);
        let lock = lock.map_or_else(opened, Ok).map_err(|error| with_path(&lock_path, &error))?;
        match if inherited { Ok(()) } else { lock.try_lock() } {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(with_path(folder, &"another pooler uses this folder; each needs one of its own"));
            }
            Err(TryLockError::Error(error)) => return Err(with_path(&lock_path, &error)),
        }
        let path = folder.join(LOG);
        let file =
            OpenOptions::new().create(true).truncate(false).read(true).write(true).mode(0o600).open(&path);
        let mut file = file.map_err(|error| with_path(&path, &error))?;
        let mut bytes = Vec::new();
        Read::by_ref(&mut file)
            .take(MAX_LOG_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|e| with_path(&path, &e))?;
        let Scan { records, valid_bytes, cut_reason } =
            scan(&bytes).map_err(|fault| with_path(&path, &fault))?;
        let truncation = cut_reason.map(|why| {
            format!(
                "{}: {} bytes after offset {valid_bytes} were truncated: {why}",
                path.display(),
                bytes.len() - valid_bytes
            )
        });
        let mut store = Store { folder: folder.to_path_buf(), file, valid_bytes: valid_bytes as u64, lock };
        if valid_bytes == 0 {
            store.append(steplog::HEADER).map_err(|error| with_path(&path, &error))?;
        } else {
            store.trim().map_err(|error| with_path(&path, &error))?;
        }
        // The entries of new files in the folder must survive a crash as well.
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(|error| with_path(folder, &error))?;
        Ok((store, History::replay(records), truncation))
    }

    /// Truncates the log to its valid prefix.
    fn trim(&mut self) -> std::io::Result<()> {
        self.file.set_len(self.valid_bytes)?;
        self.file.seek(SeekFrom::Start(self.valid_bytes)).map(drop)
    }

    /// Appends bytes and syncs them; if that fails, the log is truncated to its previous length.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.trim()?;
        let written = self.file.write_all(bytes).and_then(|()| self.file.sync_data());
        match &written {
            Ok(()) => self.valid_bytes += bytes.len() as u64,
            Err(_) => drop(self.trim()),
        }
        written
    }

    /// Replaces the log.
    fn rewrite(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        (self.file, self.valid_bytes) = (self.replace(LOG_NEW, LOG, bytes)?, bytes.len() as u64);
        Ok(())
    }

    /// Replaces a file atomically: after a crash either the old or the new one is there, complete.
    fn replace(&self, new: &str, name: &str, bytes: &[u8]) -> std::io::Result<File> {
        let new = self.folder.join(new);
        let mut file =
            OpenOptions::new().create(true).truncate(true).read(true).write(true).mode(0o600).open(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, self.folder.join(name))?;
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    /// Returns the stored view of a registry, encoded; none if no such file can be read.
    pub fn stored_view(&self) -> Option<Vec<u8>> {
        files::read(&self.folder.join(VIEW), registry::snapshot::MAX_SNAPSHOT_BYTES).ok()
    }

    /// Writes records synchronously; used at startup, before clients are served.
    pub fn record(&mut self, records: &[Record]) -> Result<(), String> {
        let bytes: Vec<u8> = records.iter().flat_map(encode_record).collect();
        self.append(&bytes).map_err(|error| format!("{}: {error}", self.folder.join(LOG).display()))
    }

    /// Starts the thread that writes from now on. It wakes `waker` after each job.
    pub fn spawn(mut self, waker: Waker, max_size: usize) -> std::io::Result<Writer> {
        let (jobs, inbox) = sync_channel(MAX_QUEUED_JOBS);
        let (results_sender, results) = sync_channel(MAX_QUEUED_JOBS + 1);
        let size = self.valid_bytes as usize;
        let storing_view = Arc::new(AtomicBool::new(false));
        let view_pending = storing_view.clone();
        let lock = self.lock.try_clone().ok();
        let with_path = |store: &Store, name: &str, result: std::io::Result<()>| {
            result.map_err(|error| format!("{}: {error}", store.folder.join(name).display()))
        };
        std::thread::Builder::new().name("steps".into()).spawn(move || {
            for job in inbox {
                let written = match job {
                    Job::Append(step, bytes) => {
                        (step, self.append(&bytes).map_err(|error| error.to_string()))
                    }
                    Job::Rewrite(bytes) => {
                        let rewritten = self.rewrite(&bytes);
                        (0, with_path(&self, LOG, rewritten))
                    }
                    Job::View(bytes) => {
                        let replaced = self.replace(VIEW_NEW, VIEW, &bytes).map(drop);
                        view_pending.store(false, Ordering::SeqCst);
                        (0, with_path(&self, VIEW, replaced))
                    }
                };
                let sent = results_sender.send(written);
                if sent.is_err() || waker.wake().is_err() {
                    return;
                }
            }
        })?;
        Ok(Writer { jobs, results, size, max_size, storing_view, lock })
    }
}

impl Writer {
    /// Queues a step for writing; [`next_result`](Writer::next_result) reports its result. Fails if the queue
    /// is full.
    pub fn append(&mut self, step: u64, record: &Record, history: &History) -> Result<(), String> {
        let bytes = encode_record(record);
        self.size += bytes.len();
        let cannot_queue = |_| "the write cannot be queued: the disk is too slow".to_string();
        self.jobs.try_send(Job::Append(step, bytes)).map_err(cannot_queue)?;
        if self.size > self.max_size {
            let compacted = steplog::compacted_log(history);
            // If even the compacted log exceeds the limit, it is not to be rewritten with every step.
            self.size = compacted.len().min(self.max_size / 2);
            let _ = self.jobs.try_send(Job::Rewrite(compacted));
        }
        Ok(())
    }

    /// Rewrites the complete history on disk, over anything that a failed successor has written there.
    pub fn rewrite_history(&mut self, history: &History) {
        let compacted = steplog::compacted_log(history);
        self.size = compacted.len();
        let _ = self.jobs.try_send(Job::Rewrite(compacted));
    }

    /// Returns true while a view is being written. Only one at a time is written, since each may take the
    /// memory that is reserved for views.
    pub fn is_storing_view(&self) -> bool {
        self.storing_view.load(Ordering::SeqCst)
    }

    /// Queues a registry's view for writing; it is dropped if the queue is full, since a later view
    /// supersedes it.
    pub fn store_view(&self, bytes: Vec<u8>) {
        self.storing_view.store(true, Ordering::SeqCst);
        if self.jobs.try_send(Job::View(bytes)).is_err() {
            self.storing_view.store(false, Ordering::SeqCst);
        }
    }

    /// Returns the next result of a write job, if one is available.
    pub fn next_result(&mut self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }
}
