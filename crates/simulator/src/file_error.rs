//! Errors of files, with their path.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file or folder could not be used.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The file or folder.
    pub path: PathBuf,
    /// What failed.
    pub source: io::Error,
}

impl FileError {
    /// For `map_err`: adds the path to an error.
    pub(crate) fn at(path: &Path) -> impl Fn(io::Error) -> Self + Copy + '_ {
        move |source| Self { path: path.to_path_buf(), source }
    }
}
