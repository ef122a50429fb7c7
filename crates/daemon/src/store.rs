//! The history of changes on disk: one log in a folder that one daemon at a time may use. A thread of its own
//! writes it, so that a slow disk does not hold up the event loop; a step is done once it is synced.

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

/// The history.
pub(crate) const LOG: &str = "steps.log";
const LOCK: &str = "lock";
const NEW: &str = "steps.new";
/// The view of a registry, and the file that takes its place.
const VIEW: &str = "registry.view";
const VIEW_NEW: &str = "registry.new";
/// Most steps that wait for the disk; a change takes three.
const WAITING: usize = 64;
/// Most bytes of a log that are read at a start: past this it is not one that was written here.
const LONGEST_LOG: u64 = 1 << 31;

/// The history's folder, held by this process.
pub(crate) struct Store {
    folder: PathBuf,
    file: File,
    /// Bytes of the log that are known to be sound.
    sound: u64,
    /// Held for as long as the daemon lives.
    _lock: File,
}

enum Job {
    Append(u64, Vec<u8>),
    Rewrite(Vec<u8>),
    View(Vec<u8>),
}

/// What became of a step, by its number; 0 is anything else, with the file in the words of its fault.
pub(crate) type WriteResult = (u64, Result<(), String>);

/// The thread that writes.
pub(crate) struct Writer {
    jobs: SyncSender<Job>,
    done: Receiver<WriteResult>,
    /// Bytes in the log after all jobs so far, and past which it is rewritten.
    size: usize,
    most: usize,
    viewing: Arc<AtomicBool>,
    /// The folder's lock, for a successor.
    pub lock: Option<File>,
}

impl Store {
    /// Takes the folder and reads what its log holds; what was cut off it, where something was.
    /// `lock` is the folder's own, where a daemon that holds it still has handed it over.
    pub fn open(folder: &Path, lock: Option<File>) -> Result<(Store, History, Option<String>), String> {
        let named = |path: &Path, fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
        // What the history holds is the operator's alone.
        let made = DirBuilder::new().recursive(true).mode(0o700).create(folder);
        made.map_err(|error| named(folder, &error))?;
        let lock_path = folder.join(LOCK);
        let inherited = lock.is_some();
        let opened =
            || OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(&lock_path);
        let lock = lock.map_or_else(opened, Ok).map_err(|error| named(&lock_path, &error))?;
        match if inherited { Ok(()) } else { lock.try_lock() } {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(named(folder, &"another pooler uses this folder; each needs one of its own"));
            }
            Err(TryLockError::Error(error)) => return Err(named(&lock_path, &error)),
        }
        let path = folder.join(LOG);
        let file =
            OpenOptions::new().create(true).truncate(false).read(true).write(true).mode(0o600).open(&path);
        let mut file = file.map_err(|error| named(&path, &error))?;
        let mut bytes = Vec::new();
        Read::by_ref(&mut file).take(LONGEST_LOG).read_to_end(&mut bytes).map_err(|e| named(&path, &e))?;
        let Scan { records, valid_bytes: sound, cut_reason: cut } =
            scan(&bytes).map_err(|fault| named(&path, &fault))?;
        let cut = cut.map(|why| {
            format!("{}: {} bytes after {sound} are cut off: {why}", path.display(), bytes.len() - sound)
        });
        let mut store = Store { folder: folder.to_path_buf(), file, sound: sound as u64, _lock: lock };
        if sound == 0 {
            store.append(steplog::HEADER).map_err(|error| named(&path, &error))?;
        } else {
            store.trim().map_err(|error| named(&path, &error))?;
        }
        // The folder's own entry must outlast a crash as well.
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(|error| named(folder, &error))?;
        Ok((store, History::replay(records), cut))
    }

    /// Cuts off what is not known to be sound.
    fn trim(&mut self) -> std::io::Result<()> {
        self.file.set_len(self.sound)?;
        self.file.seek(SeekFrom::Start(self.sound)).map(drop)
    }

    /// Appends bytes and syncs them; where that fails nothing of them stays.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.trim()?;
        let written = self.file.write_all(bytes).and_then(|()| self.file.sync_data());
        match &written {
            Ok(()) => self.sound += bytes.len() as u64,
            Err(_) => drop(self.trim()),
        }
        written
    }

    /// Puts another log in the place of this one.
    fn rewrite(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        (self.file, self.sound) = (self.replace(NEW, LOG, bytes)?, bytes.len() as u64);
        Ok(())
    }

    /// Puts a file in the place of another, so that a crash leaves either the one or the other.
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

    /// The view of a registry that was kept, in bytes; none where there is none that can be read.
    pub fn stored_view(&self) -> Option<Vec<u8>> {
        files::read(&self.folder.join(VIEW), registry::snapshot::MAX_SNAPSHOT_BYTES).ok()
    }

    /// Puts steps on record at once, before anything is served.
    pub fn record(&mut self, records: &[Record]) -> Result<(), String> {
        let bytes: Vec<u8> = records.iter().flat_map(encode_record).collect();
        self.append(&bytes).map_err(|error| format!("{}: {error}", self.folder.join(LOG).display()))
    }

    /// Writes on a thread of its own from now on; the waker is woken as steps are done.
    pub fn spawn(mut self, waker: Waker, most: usize) -> std::io::Result<Writer> {
        let (jobs, inbox) = sync_channel(WAITING);
        let (outbox, done) = sync_channel(WAITING + 1);
        let size = self.sound as usize;
        let viewing = Arc::new(AtomicBool::new(false));
        let busy = viewing.clone();
        let lock = self._lock.try_clone().ok();
        let named = |store: &Store, name: &str, result: std::io::Result<()>| {
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
                        (0, named(&self, LOG, rewritten))
                    }
                    Job::View(bytes) => {
                        let replaced = self.replace(VIEW_NEW, VIEW, &bytes).map(drop);
                        busy.store(false, Ordering::SeqCst);
                        (0, named(&self, VIEW, replaced))
                    }
                };
                let told = outbox.send(written);
                if told.is_err() || waker.wake().is_err() {
                    return;
                }
            }
        })?;
        Ok(Writer { jobs, done, size, most, viewing, lock })
    }
}

impl Writer {
    /// Has a step written; its end is told by [`next_result`](Writer::next_result), or here where it cannot even wait.
    pub fn append(&mut self, step: u64, record: &Record, history: &History) -> Result<(), String> {
        let bytes = encode_record(record);
        self.size += bytes.len();
        let busy = |_| "the disk does not keep up".to_string();
        self.jobs.try_send(Job::Append(step, bytes)).map_err(busy)?;
        if self.size > self.most {
            let whole = steplog::compacted_log(history);
            // Where even what must be kept is that large, it is not rewritten with each step.
            self.size = whole.len().min(self.most / 2);
            let _ = self.jobs.try_send(Job::Rewrite(whole));
        }
        Ok(())
    }

    /// Puts the whole history on disk anew, over whatever a successor that failed has left there.
    pub fn rewrite_history(&mut self, history: &History) {
        let whole = steplog::compacted_log(history);
        self.size = whole.len();
        let _ = self.jobs.try_send(Job::Rewrite(whole));
    }

    /// Whether a view is being written: one at a time, since each may take all the memory there is for it.
    pub fn is_storing_view(&self) -> bool {
        self.viewing.load(Ordering::SeqCst)
    }

    /// Has a registry's view written; dropped where the disk does not keep up, since a later one says it all.
    pub fn store_view(&self, bytes: Vec<u8>) {
        self.viewing.store(true, Ordering::SeqCst);
        if self.jobs.try_send(Job::View(bytes)).is_err() {
            self.viewing.store(false, Ordering::SeqCst);
        }
    }

    /// The next step that is done, or has failed.
    pub fn next_result(&mut self) -> Option<WriteResult> {
        self.done.try_recv().ok()
    }
}
