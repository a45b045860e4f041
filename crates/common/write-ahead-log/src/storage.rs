//! The files of a log behind a small trait, so that tests can put in a storage that loses and tears
//! writes.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The files of a log, each known by a small number, its slot.
pub trait Storage: Send + 'static {
    /// An open file.
    type File: StorageFile;
    /// Slots and lengths in bytes of the files that exist, in the order of the slots.
    ///
    /// # Errors
    /// What the system refuses.
    fn files(&mut self) -> io::Result<Vec<(u32, u64)>>;
    /// Opens a file that exists.
    ///
    /// # Errors
    /// What the system refuses.
    fn open(&mut self, slot: u32) -> io::Result<Self::File>;
    /// Makes a new, empty file whose name is durable once the file was synced.
    ///
    /// # Errors
    /// What the system refuses.
    fn create(&mut self, slot: u32) -> io::Result<Self::File>;
    /// Removes a file.
    ///
    /// # Errors
    /// What the system refuses.
    fn remove(&mut self, slot: u32) -> io::Result<()>;
    /// What a file is called in errors.
    fn name(&self, slot: u32) -> String;
}

/// An open file.
pub trait StorageFile: Send + 'static {
    /// Reads up to `most` bytes from the beginning.
    ///
    /// # Errors
    /// What the system refuses.
    fn read(&mut self, most: u64, to: &mut Vec<u8>) -> io::Result<()>;
    /// Writes all the bytes.
    ///
    /// # Errors
    /// What the system refuses; a part may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length; what is new is zeros, which may have no blocks on the disk yet.
    ///
    /// # Errors
    /// What the system refuses.
    fn set_len(&mut self, len: u64) -> io::Result<()>;
    /// Bytes of the file.
    ///
    /// # Errors
    /// What the system refuses.
    fn length(&mut self) -> io::Result<u64>;
    /// Bytes of the file that have blocks on the disk; 0 where that isn't known.
    ///
    /// # Errors
    /// What the system refuses.
    fn allocated(&mut self) -> io::Result<u64> {
        Ok(0)
    }
    /// Gives the file this length; what is new is written as zeros, so that it has blocks on the
    /// disk.
    ///
    /// # Errors
    /// What the system refuses.
    fn fill(&mut self, len: u64) -> io::Result<()> {
        let length = self.length()?;
        if length < len {
            self.write_at(length, &vec![0; usize::try_from(len - length).unwrap_or(0)])?;
        }
        if length > len {
            self.set_len(len)?;
        }
        Ok(())
    }
    /// Returns when all that was written is durable.
    ///
    /// # Errors
    /// What the system refuses; what was written since the last sync may then be lost.
    fn sync(&mut self) -> io::Result<()>;
}

/// The files `ring-0000`, `ring-0001`, ... of a directory; other names are left alone.
pub struct LogDirectory {
    path: PathBuf,
}

impl LogDirectory {
    /// Makes the directory if it isn't there.
    ///
    /// # Errors
    /// It can't be made.
    pub fn new(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
        })
    }

    fn file(&self, slot: u32) -> PathBuf {
        self.path.join(format!("ring-{slot:04}"))
    }
}

impl Storage for LogDirectory {
    type File = SegmentFile;

    fn files(&mut self) -> io::Result<Vec<(u32, u64)>> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name();
            let slot = name
                .to_str()
                .and_then(|name| name.strip_prefix("ring-"))
                .and_then(|slot| slot.parse().ok());
            if let Some(slot) = slot {
                files.push((slot, entry.metadata()?.len()));
            }
        }
        files.sort_unstable();
        Ok(files)
    }

    fn open(&mut self, slot: u32) -> io::Result<SegmentFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.file(slot))?;
        Ok(SegmentFile { file, position: 0 })
    }

    fn create(&mut self, slot: u32) -> io::Result<SegmentFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(self.file(slot))?;
        // Some file systems make the name durable with the file's own sync; elsewhere the
        // directory's sync does.
        File::open(&self.path)?.sync_all()?;
        Ok(SegmentFile { file, position: 0 })
    }

    fn remove(&mut self, slot: u32) -> io::Result<()> {
        std::fs::remove_file(self.file(slot))?;
        File::open(&self.path)?.sync_all()
    }

    fn name(&self, slot: u32) -> String {
        self.file(slot).display().to_string()
    }
}

/// A file of a [`LogDirectory`].
pub struct SegmentFile {
    file: File,
    /// Where the next write goes without a seek; `u64::MAX` if that isn't known.
    position: u64,
}

impl StorageFile for SegmentFile {
    fn read(&mut self, most: u64, to: &mut Vec<u8>) -> io::Result<()> {
        self.position = u64::MAX;
        self.file.seek(SeekFrom::Start(0))?;
        to.clear();
        let len = self.file.metadata()?.len().min(most);
        to.reserve_exact(usize::try_from(len).unwrap_or(0));
        (&mut self.file).take(most).read_to_end(to)?;
        Ok(())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if self.position != offset {
            self.file.seek(SeekFrom::Start(offset))?;
        }
        self.position = u64::MAX;
        self.file.write_all(bytes)?;
        self.position = offset + bytes.len() as u64;
        Ok(())
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn length(&mut self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn allocated(&mut self) -> io::Result<u64> {
        // The system counts in units of 512 bytes, whatever the file system's own blocks are
        // (stat(2), st_blocks).
        Ok(self.file.metadata()?.blocks().saturating_mul(512))
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
