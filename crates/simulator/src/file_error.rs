//! I/O errors with the path of the file.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An I/O error on a file or folder.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The file or folder.
    pub path: PathBuf,
    /// The underlying error.
    pub source: io::Error,
}

impl FileError {
    /// For `map_err`: adds the path to an error.
    pub(crate) fn at(path: &Path) -> impl Fn(io::Error) -> Self + Copy + '_ {
        move |source| Self { path: path.to_path_buf(), source }
    }
}
