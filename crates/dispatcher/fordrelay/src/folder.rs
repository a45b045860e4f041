//! The folder that the processes of one dispatcher share, and that outlives each of them.
//!
//! Each process has two files there, named by when it started and its number: a note, which only it writes, beside and
//! renamed, and a lock, which it holds for as long as it lives, however it ends. All others' notes are read. What a
//! dead one left is removed once it has been taken over by one that lives.

use hot_restart::{HandoverError, HandoverFile, MAX_BYTES};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use tracing::{info, warn};

const NOTE: &str = "note";
const LOCK: &str = "lock";
/// Processes that are kept track of; there are two at a time, and what crashed ones left.
const MOST: usize = 64;

/// Another process, as far as its files show.
#[derive(Debug, Default)]
struct Other {
    /// Its note as it was read last, by its time and length.
    seen: Option<(SystemTime, u64)>,
    alive: bool,
}

/// The folder, and this process in it.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    own: String,
    /// Held until the process ends.
    _lock: File,
    others: BTreeMap<String, Other>,
}

/// The folder of the dispatcher with this name that listens there.
pub fn path(base: &Path, name: &str, listen: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
    base.join(format!(
        "fordrelay-{}",
        format!("{name}-{listen}")
            .chars()
            .map(plain)
            .collect::<String>()
    ))
}

impl Folder {
    /// Enters the folder at this time, Unix time in microseconds.
    ///
    /// # Errors
    /// What the system refuses.
    pub fn enter(path: PathBuf, now: u64) -> io::Result<Self> {
        fs::create_dir_all(&path)?;
        let own = format!("{now:020}-{}", std::process::id());
        let lock = File::create(path.join(format!("{own}.{LOCK}")))?;
        lock.lock()?;
        Ok(Folder {
            path,
            own,
            _lock: lock,
            others: BTreeMap::new(),
        })
    }

    fn file(&self, name: &str, kind: &str) -> PathBuf {
        self.path.join(format!("{name}.{kind}"))
    }

    /// Writes this process's note: beside, then renamed, so that nobody ever reads half of it.
    ///
    /// # Errors
    /// What the system refuses, or what can't be written.
    pub fn write<L, K>(&self, note: &HandoverFile<L, K>) -> io::Result<()>
    where
        L: Serialize + DeserializeOwned,
        K: Serialize + DeserializeOwned,
    {
        let bytes = note.encode().map_err(io::Error::other)?;
        let beside = self.file(&self.own, "new");
        fs::write(&beside, bytes)?;
        fs::rename(beside, self.file(&self.own, NOTE))
    }

    /// Looks who is there, and returns the notes that are new since the last look.
    pub fn look<L, K>(&mut self) -> Vec<HandoverFile<L, K>>
    where
        L: Serialize + DeserializeOwned,
        K: Serialize + DeserializeOwned,
    {
        for name in self.names() {
            if self.others.len() < MOST {
                self.others.entry(name).or_default();
            }
        }
        let mut notes = vec![];
        let names: Vec<String> = self.others.keys().cloned().collect();
        for name in names {
            let alive = self.lives(&name);
            let file = self.file(&name, NOTE);
            let stamp = fs::metadata(&file)
                .and_then(|m| Ok((m.modified()?, m.len())))
                .ok();
            let Some(other) = self.others.get_mut(&name) else {
                continue;
            };
            if std::mem::replace(&mut other.alive, alive) != alive {
                info!(process = name, alive, "another process of this dispatcher");
            }
            if stamp.is_none() || stamp == other.seen {
                continue;
            }
            other.seen = stamp;
            match read(&file) {
                Ok(note) => notes.push(note),
                Err(e) => warn!(file = %file.display(), "a note is left as it is: {e}"),
            }
        }
        notes
    }

    /// Other processes of this dispatcher that live.
    pub fn living(&self) -> usize {
        self.others.values().filter(|other| other.alive).count()
    }

    /// Removes what dead processes left. To be called once all that they told is in this process's own note.
    pub fn clear(&mut self) {
        let dead: Vec<String> = self
            .others
            .iter()
            .filter(|(_, o)| !o.alive)
            .map(|(n, _)| n.clone())
            .collect();
        for name in dead {
            // A note that can't be read is left for whoever looks into it; without its lock it is never read again.
            for kind in [NOTE, "new", LOCK] {
                let _ = fs::remove_file(self.file(&name, kind));
            }
            self.others.remove(&name);
        }
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.path).into_iter().flatten().flatten();
        let name = |entry: fs::DirEntry| {
            let file = entry.file_name().into_string().ok()?;
            let (name, kind) = file.rsplit_once('.')?;
            ([NOTE, LOCK].contains(&kind) && name != self.own).then(|| name.to_owned())
        };
        entries.filter_map(name).collect()
    }

    /// Whether it holds its lock. What can't be found out counts as dead: a wrong guess costs no rule, only room.
    fn lives(&self, name: &str) -> bool {
        let Ok(lock) = File::open(self.file(name, LOCK)) else {
            return false;
        };
        matches!(lock.try_lock(), Err(TryLockError::WouldBlock))
    }
}

fn read<L, K>(file: &Path) -> Result<HandoverFile<L, K>, HandoverError>
where
    L: Serialize + DeserializeOwned,
    K: Serialize + DeserializeOwned,
{
    let mut bytes = vec![];
    let whole =
        File::open(file).and_then(|file| file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes));
    whole.map_err(|e| HandoverError::Malformed(e.to_string()))?;
    HandoverFile::decode(&bytes)
}

#[cfg(test)]
mod tests {
    use super::{path, Folder, NOTE};
    use hot_restart::{HandoverFile, SavedOverride};

    type Plain = HandoverFile<u32, u32>;

    fn note(at: u64) -> Plain {
        let words = [(
            "s-1".to_owned(),
            SavedOverride {
                disabled: true,
                set_at: at,
                disabled_since: at,
            },
        )]
        .into();
        HandoverFile {
            written_at: at,
            clients: 0,
            overrides: words,
            discovery: None,
            endpoints: Some(1),
            known: None,
        }
    }

    /// Two processes are two locks on two files here: a lock is held by the file that was opened, not by the process.
    #[test]
    fn a_successor_reads_what_a_dead_process_left_and_no_faulty_file_stops_it() {
        let base = std::env::temp_dir().join(format!("fordrelay-folder-{}", std::process::id()));
        let at = path(&base, "n/0", "127.0.0.1:80");
        let mut first = Folder::enter(at.clone(), 1).unwrap();
        first.write(&note(5)).unwrap();
        let mut second = Folder::enter(at.clone(), 2).unwrap();
        assert_eq!(second.look::<u32, u32>(), [note(5)]);
        assert_eq!(
            (second.living(), second.look::<u32, u32>().len()),
            (1, 0),
            "read once"
        );
        second.write(&note(6)).unwrap();
        assert_eq!(first.look::<u32, u32>(), [note(6)]);
        drop(first);
        assert_eq!((second.look::<u32, u32>().len(), second.living()), (0, 0));
        second.clear();
        drop(second);
        // A third start reads what the second left, and passes over what is cut, foreign or empty.
        let bytes =
            std::fs::read(at.join(format!("{:020}-{}.{NOTE}", 2, std::process::id()))).unwrap();
        std::fs::write(at.join("00-9.note"), &bytes[..bytes.len() - 1]).unwrap();
        std::fs::write(at.join("00-8.note"), "what?").unwrap();
        std::fs::write(at.join("00-7.lock"), "").unwrap();
        let mut third = Folder::enter(at, 3).unwrap();
        assert_eq!((third.look(), third.living()), (vec![note(6)], 0));
        third.clear();
        assert_eq!(
            std::fs::read_dir(&third.path).unwrap().count(),
            1,
            "its own lock"
        );
        std::fs::remove_dir_all(base).unwrap();
    }
}
