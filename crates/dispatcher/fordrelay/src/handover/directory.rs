//! The directory that the processes of one dispatcher share, and that outlives each of them.
//!
//! Each process has two files there, named by when it started and its process number: its handover file, which it alone
//! writes, and a lock file, whose lock it holds for as long as it lives, however it ends. The handover files of all
//! others are read. What a dead process left is removed once a live one has taken it over.

use hot_restart::{HandoverError, HandoverFile, MAX_BYTES};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use tracing::{info, warn};

/// Processes that are tracked; there are two at a time, and what crashed ones left.
const MAX_PROCESSES: usize = 64;

/// The files of a process.
#[derive(Debug, Clone, Copy)]
enum FileKind {
    Handover,
    /// A handover file that is being written.
    Temporary,
    Lock,
}

impl FileKind {
    fn extension(self) -> &'static str {
        match self {
            FileKind::Handover => "note",
            FileKind::Temporary => "new",
            FileKind::Lock => "lock",
        }
    }
}

/// Another process, as far as its files show.
#[derive(Debug, Default)]
struct OtherProcess {
    /// Its handover file as it was read last.
    last_read: Option<FileVersion>,
    is_alive: bool,
}

/// Tells apart the versions of a file that is replaced as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

impl FileVersion {
    fn of(file: &Path) -> io::Result<Self> {
        let metadata = fs::metadata(file)?;
        Ok(FileVersion {
            modified: metadata.modified()?,
            bytes: metadata.len(),
        })
    }
}

/// The directory, and this process in it.
#[derive(Debug)]
pub struct HandoverDirectory {
    path: PathBuf,
    /// The name of this process's files.
    own: String,
    /// Held until the process ends.
    _lock: File,
    others: BTreeMap<String, OtherProcess>,
}

/// The directory of the dispatcher with this name that listens there.
pub fn directory_path(base: &Path, name: &str, listen: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    let dispatcher: String = format!("{name}-{listen}").chars().map(plain).collect();
    base.join(format!("fordrelay-{dispatcher}"))
}

impl HandoverDirectory {
    /// Enters the directory at this time, Unix time in microseconds.
    ///
    /// # Errors
    /// What the system refuses.
    pub fn enter(path: PathBuf, now: u64) -> io::Result<Self> {
        fs::create_dir_all(&path)?;
        let own = format!("{now:020}-{}", std::process::id());
        let lock = File::create(file_path(&path, &own, FileKind::Lock))?;
        lock.lock()?;
        Ok(HandoverDirectory {
            path,
            own,
            _lock: lock,
            others: BTreeMap::new(),
        })
    }

    /// The handover file of this process.
    pub fn own_file(&self) -> PathBuf {
        self.file(&self.own, FileKind::Handover)
    }

    fn file(&self, process: &str, kind: FileKind) -> PathBuf {
        file_path(&self.path, process, kind)
    }

    /// Writes this process's handover file: under another name, then renamed, so that nobody reads half of it.
    ///
    /// # Errors
    /// What the system refuses, or what can't be encoded.
    pub fn write<L, K>(&self, file: &HandoverFile<L, K>) -> io::Result<()>
    where
        L: Serialize + DeserializeOwned,
        K: Serialize + DeserializeOwned,
    {
        let bytes = file.encode().map_err(io::Error::other)?;
        let temporary = self.file(&self.own, FileKind::Temporary);
        fs::write(&temporary, bytes)?;
        fs::rename(temporary, self.own_file())
    }

    /// Notices who is alive, and returns the handover files that are new since the last call.
    pub fn read_new_files<L, K>(&mut self) -> Vec<HandoverFile<L, K>>
    where
        L: Serialize + DeserializeOwned,
        K: Serialize + DeserializeOwned,
    {
        for name in self.names() {
            if self.others.len() < MAX_PROCESSES {
                self.others.entry(name).or_default();
            }
        }
        let path = &self.path;
        let others = self.others.iter_mut();
        let new_files = others.filter_map(|(name, other)| {
            other.update_liveness(name, holds_lock(path, name));
            other.read_if_new(&file_path(path, name, FileKind::Handover))
        });
        new_files.collect()
    }

    /// Other processes of this dispatcher that are alive.
    pub fn alive(&self) -> usize {
        self.others.values().filter(|other| other.is_alive).count()
    }

    /// Removes what dead processes left. To be called once all that they told is in this process's own file.
    pub fn remove_dead(&mut self) {
        let path = &self.path;
        self.others.retain(|name, other| {
            if !other.is_alive {
                remove_files(path, name);
            }
            other.is_alive
        });
    }

    /// The names of the other processes that left a file.
    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.path).into_iter().flatten().flatten();
        let name = |entry: fs::DirEntry| {
            let file = entry.file_name().into_string().ok()?;
            let (name, extension) = file.rsplit_once('.')?;
            let kinds = [FileKind::Handover, FileKind::Lock];
            let is_of_process = kinds.iter().any(|kind| kind.extension() == extension);
            (is_of_process && name != self.own).then(|| name.to_owned())
        };
        entries.filter_map(name).collect()
    }
}

impl OtherProcess {
    fn update_liveness(&mut self, name: &str, is_alive: bool) {
        if self.is_alive != is_alive {
            self.is_alive = is_alive;
            info!(
                process = name,
                alive = is_alive,
                "another process of this dispatcher"
            );
        }
    }

    fn read_if_new<L, K>(&mut self, file: &Path) -> Option<HandoverFile<L, K>>
    where
        L: Serialize + DeserializeOwned,
        K: Serialize + DeserializeOwned,
    {
        let version = FileVersion::of(file).ok();
        if version.is_none() || version == self.last_read {
            return None;
        }
        self.last_read = version;
        match read_file(file) {
            Ok(contents) => Some(contents),
            Err(e) => {
                warn!(file = %file.display(), "a note is left as it is: {e}");
                None
            }
        }
    }
}

fn file_path(directory: &Path, process: &str, kind: FileKind) -> PathBuf {
    directory.join(format!("{process}.{}", kind.extension()))
}

/// Whether the process holds its lock. What can't be found out counts as dead: a wrong guess costs no rule, only room.
fn holds_lock(directory: &Path, process: &str) -> bool {
    let Ok(lock) = File::open(file_path(directory, process, FileKind::Lock)) else {
        return false;
    };
    matches!(lock.try_lock(), Err(TryLockError::WouldBlock))
}

/// Removes the files of a process: a handover file without its lock would never be read again.
fn remove_files(directory: &Path, process: &str) {
    for kind in [FileKind::Handover, FileKind::Temporary, FileKind::Lock] {
        let _ = fs::remove_file(file_path(directory, process, kind));
    }
}

fn read_file<L, K>(file: &Path) -> Result<HandoverFile<L, K>, HandoverError>
where
    L: Serialize + DeserializeOwned,
    K: Serialize + DeserializeOwned,
{
    let mut bytes = vec![];
    let limit = MAX_BYTES as u64 + 1;
    let read = File::open(file).and_then(|file| file.take(limit).read_to_end(&mut bytes));
    read.map_err(|e| HandoverError::Malformed(e.to_string()))?;
    HandoverFile::decode(&bytes)
}
