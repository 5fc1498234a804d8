//! The file operations that the log needs, and their implementation in a directory of the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// A folder of files. Names contain no separators; errors of the operating system are returned unchanged.
pub trait Disk: Send {
    /// Lists the names of the files.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Reads the content of a file.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file's content: once this returns, all appended bytes are on the disk itself.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Shortens a file to `length` bytes.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the folder: once this returns, the files' names are on the disk itself.
    ///
    /// # Errors
    /// The error of the operating system, unchanged.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
pub struct Folder {
    path: PathBuf,
    /// The file that was used last, kept open for further appends.
    open: Option<OpenFile>,
}

struct OpenFile {
    name: String,
    file: File,
}

impl Folder {
    /// Opens a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Self { path: path.to_path_buf(), open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|open| open.name != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some(OpenFile { name: name.into(), file });
        }
        match &mut self.open {
            Some(open) => Ok(&mut open.file),
            None => Err(ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?;
        entries.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
