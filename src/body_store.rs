//! The daemon's side of the body store: its configuration file `deploy/bodies.toml`, the budgets
//! and limits derived from it, and its statistics.

use crate::config::{line_number, read_optional_with_text, ConfigError};
use crate::limits::Limits;
use crate::net::{EventHandler, Ready, Time};
use dahliaspoke::policy::{ClassSettings, Idempotency, Settings};
use dahliaspoke_body_store::plan::{
    Budgets, ClassCounters, ClassLimits, Tier, PASS_THROUGH_WINDOW_CHUNKS, REPLAY_WINDOW_CHUNKS,
};
use dahliaspoke_body_store::storage::{ChunkStorage, SegmentFile, StorageFolder, CHUNK_BYTES};
use dahliaspoke_body_store::{BodyStore, Timing};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use toml::Spanned;

/// Path of the configuration file, relative to the working directory of the daemon.
pub const FILE: &str = "deploy/bodies.toml";

const BYTES_PER_KB: f64 = 1024.0;
const BYTES_PER_MB: f64 = 1024.0 * BYTES_PER_KB;
const MS_PER_SECOND: f64 = 1000.0;

/// Share of `memory_mb` that is used for windows; the rest is for bodies.
const WINDOW_SHARE: f64 = 0.25;
/// Minimum number of chunks for windows: half of them are enough for one body that is passed
/// through and one replay.
const MIN_WINDOW_CHUNKS: f64 = 2.0 * (PASS_THROUGH_WINDOW_CHUNKS + REPLAY_WINDOW_CHUNKS) as f64;
/// Number of threads for disk I/O.
const IO_THREADS: usize = 2;
/// Files are not used for this long after a failed write (s).
const FILE_RETRY_DELAY: f64 = 1.0;

/// Default of `stall_ms`.
const DEFAULT_STALL_MS: f64 = 5_000.0;
/// Default of `upload_ms`.
const DEFAULT_UPLOAD_MS: f64 = 60_000.0;
/// Default of `disk_hangs_ms`.
const DEFAULT_DISK_HANGS_MS: f64 = 2_000.0;

/// The body store, shared by listeners and upstreams.
pub type SharedBodyStore = Rc<RefCell<BodyStore>>;

impl EventHandler for SharedBodyStore {
    fn next_deadline(&mut self) -> Option<Time> {
        self.borrow().next_deadline()
    }

    fn on_timer(&mut self, now: Time) {
        self.borrow_mut().on_timer(now);
    }

    fn on_ready(&mut self, now: Time, _: Ready) {
        self.borrow_mut().on_ready(now);
    }
}

/// Why the file was rejected, or the body store could not be opened.
#[derive(Debug, Error)]
pub enum BodyStoreError {
    /// The file could not be read or parsed.
    #[error(transparent)]
    File(#[from] ConfigError),
    /// A number is out of range.
    #[error("{FILE}: line {line}: {key} is {value}, not between {min} and {max}")]
    OutOfRange {
        /// The line, starting at 1.
        line: usize,
        /// The key, prefixed with the names of its tables.
        key: String,
        /// Its value.
        value: f64,
        /// The minimum that is accepted.
        min: f64,
        /// The maximum that is accepted.
        max: f64,
    },
    /// Files are enabled without a folder for them.
    #[error("{FILE}: line {line}: files_mb needs a folder to store the files in")]
    NoFolder {
        /// The line of `files_mb`, starting at 1.
        line: usize,
    },
    /// A table names a class that the settings do not define.
    #[error("{FILE}: line {line}: no class is called {name}")]
    UnknownClass {
        /// The line, starting at 1.
        line: usize,
        /// The name of the table.
        name: String,
    },
    /// No file can be created in the folder.
    #[error("{FILE}: {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The eventfd of the waker could not be created.
    #[error("{FILE}: {0}")]
    Waker(#[source] io::Error),
}

/// The content of the configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BodyStoreFile {
    /// Memory for bodies and windows (MB).
    memory_mb: Spanned<f64>,
    /// Maximum size of a body of any class (MB).
    largest_mb: Spanned<f64>,
    /// Bodies larger than this are received into the body store (KB); if absent, only those that
    /// exceed the HTTP listener's own body limit.
    above_kb: Option<Spanned<f64>>,
    /// File space for bodies (MB); without it, no files are used.
    files_mb: Option<Spanned<f64>>,
    /// The folder for the files.
    folder: Option<PathBuf>,
    /// Longest time that a sender may stall (ms).
    #[serde(default = "default_stall_ms")]
    stall_ms: Spanned<f64>,
    /// Longest time that a body may take to arrive (ms).
    #[serde(default = "default_upload_ms")]
    upload_ms: Spanned<f64>,
    /// A write that takes longer than this is treated as hanging (ms).
    #[serde(default = "default_disk_hangs_ms")]
    disk_hangs_ms: Spanned<f64>,
    /// Tables by class name.
    #[serde(default)]
    class: BTreeMap<Spanned<String>, ClassTable>,
}

fn default_stall_ms() -> Spanned<f64> {
    Spanned::new(0..0, DEFAULT_STALL_MS)
}

fn default_upload_ms() -> Spanned<f64> {
    Spanned::new(0..0, DEFAULT_UPLOAD_MS)
}

fn default_disk_hangs_ms() -> Spanned<f64> {
    Spanned::new(0..0, DEFAULT_DISK_HANGS_MS)
}

/// Limits of one class. A share that is absent means 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    /// Largest share of the memory (0 to 1).
    memory_share: Option<Spanned<f64>>,
    /// Largest share of the files (0 to 1).
    files_share: Option<Spanned<f64>>,
    /// Maximum size of a body (MB).
    largest_mb: Option<Spanned<f64>>,
    /// Bodies that fit into no tier may be passed through without being stored (default); otherwise
    /// they are rejected.
    pass: Option<bool>,
}

/// The text of the file, for the line numbers in errors.
struct FileText<'a>(&'a str);

impl FileText<'_> {
    /// The line in which a value starts, counted from 1.
    fn line_of<T>(&self, value: &Spanned<T>) -> usize {
        line_number(self.0, value.span().start)
    }

    /// Checks that a value, if present, is within its range.
    fn check_range(
        &self,
        key: &str,
        value: Option<&Spanned<f64>>,
        range: RangeInclusive<f64>,
    ) -> Result<(), BodyStoreError> {
        let Some(value) = value.filter(|value| !range.contains(value.get_ref())) else { return Ok(()) };
        Err(BodyStoreError::OutOfRange {
            line: self.line_of(value),
            key: key.into(),
            value: *value.get_ref(),
            min: *range.start(),
            max: *range.end(),
        })
    }
}

impl BodyStoreFile {
    /// Reads and checks the file; `None` if it does not exist, which disables the body store.
    ///
    /// # Errors
    /// The first fault in the file, in one line that names the file's line and key.
    pub fn from_file(settings: &Settings) -> Result<Option<Self>, BodyStoreError> {
        let Some(file) = read_optional_with_text::<Self>(FILE)? else { return Ok(None) };
        let text = FileText(&file.text);
        file.content.check_numbers(&text)?;
        file.content.check_folder(&text)?;
        file.content.check_classes(settings, &text)?;
        Ok(Some(file.content))
    }

    fn check_numbers(&self, text: &FileText) -> Result<(), BodyStoreError> {
        let min_memory_mb = MIN_WINDOW_CHUNKS * CHUNK_BYTES as f64 / WINDOW_SHARE / BYTES_PER_MB;
        text.check_range("memory_mb", Some(&self.memory_mb), min_memory_mb..=1e6)?;
        text.check_range("largest_mb", Some(&self.largest_mb), 0.001..=4_000.0)?;
        text.check_range("above_kb", self.above_kb.as_ref(), 0.0..=128.0)?;
        text.check_range("files_mb", self.files_mb.as_ref(), 1.0..=1e7)?;
        text.check_range("stall_ms", Some(&self.stall_ms), 1.0..=1e6)?;
        text.check_range("upload_ms", Some(&self.upload_ms), 1.0..=1e7)?;
        text.check_range("disk_hangs_ms", Some(&self.disk_hangs_ms), 1.0..=1e6)
    }

    fn check_folder(&self, text: &FileText) -> Result<(), BodyStoreError> {
        match (&self.files_mb, &self.folder) {
            (Some(files), None) => Err(BodyStoreError::NoFolder { line: text.line_of(files) }),
            _ => Ok(()),
        }
    }

    fn check_classes(&self, settings: &Settings, text: &FileText) -> Result<(), BodyStoreError> {
        for (spanned_name, table) in &self.class {
            let name = spanned_name.get_ref();
            if settings.classes.iter().all(|class| class.name != *name) {
                let line = text.line_of(spanned_name);
                return Err(BodyStoreError::UnknownClass { line, name: name.clone() });
            }
            let key = |key: &str| format!("class.{name}.{key}");
            let max_mb = *self.largest_mb.get_ref();
            text.check_range(&key("memory_share"), table.memory_share.as_ref(), 0.0..=1.0)?;
            text.check_range(&key("files_share"), table.files_share.as_ref(), 0.0..=1.0)?;
            text.check_range(&key("largest_mb"), table.largest_mb.as_ref(), 0.001..=max_mb)?;
        }
        Ok(())
    }

    /// Sets the listeners' limits that depend on the file.
    pub fn apply_limits(&self, settings: &Settings, limits: &mut Limits) {
        let threshold =
            self.above_kb.as_ref().map_or(usize::MAX, |kb| (kb.get_ref() * BYTES_PER_KB) as usize);
        limits.bodies.max_inline_bytes = threshold.min(limits.http.max_body_bytes);
        limits.bodies.max_bytes = (self.largest_mb.get_ref() * BYTES_PER_MB) as usize;
        limits.bodies.stall_timeout = self.stall_ms.get_ref() / MS_PER_SECOND;
        limits.bodies.upload_timeout = self.upload_ms.get_ref() / MS_PER_SECOND;
        limits.bodies.retry_after = settings.retry_after;
    }

    /// Opens the body store.
    ///
    /// # Errors
    /// [`BodyStoreError::Folder`] or [`BodyStoreError::Waker`].
    pub fn open(&self, settings: &Settings) -> Result<SharedBodyStore, BodyStoreError> {
        let storage = match (&self.files_mb, &self.folder) {
            (Some(_), Some(path)) => Some(open_storage(path)?),
            _ => None,
        };
        let timing = Timing {
            write_timeout: self.disk_hangs_ms.get_ref() / MS_PER_SECOND,
            file_retry_delay: FILE_RETRY_DELAY,
        };
        let store = BodyStore::new(self.budgets(settings), timing, storage, IO_THREADS);
        Ok(Rc::new(RefCell::new(store.map_err(BodyStoreError::Waker)?)))
    }

    fn budgets(&self, settings: &Settings) -> Budgets {
        let memory_bytes = bytes(&self.memory_mb) as f64;
        Budgets {
            memory_bytes: ((1.0 - WINDOW_SHARE) * memory_bytes) as u64,
            file_bytes: self.files_mb.as_ref().map_or(0, bytes),
            window_chunks: (WINDOW_SHARE * memory_bytes / CHUNK_BYTES as f64) as usize,
            classes: settings.classes.iter().map(|class| self.class_limits(class)).collect(),
        }
    }

    fn class_limits(&self, class: &ClassSettings) -> ClassLimits {
        let default = ClassTable::default();
        let configured = self.class.iter().find(|(name, _)| *name.get_ref() == class.name);
        let table = configured.map_or(&default, |(_, table)| table);
        ClassLimits {
            repeatable: class.idempotency != Idempotency::Never,
            priority_weight: class.priority_weight,
            memory_share: share(table.memory_share.as_ref()),
            file_share: share(table.files_share.as_ref()),
            max_bytes: bytes(table.largest_mb.as_ref().unwrap_or(&self.largest_mb)),
            pass_through: table.pass.unwrap_or(true),
        }
    }
}

fn bytes(mb: &Spanned<f64>) -> u64 {
    (mb.get_ref() * BYTES_PER_MB) as u64
}

fn share(value: Option<&Spanned<f64>>) -> f64 {
    value.map_or(1.0, |share| *share.get_ref())
}

fn open_storage(path: &Path) -> Result<Arc<dyn ChunkStorage>, BodyStoreError> {
    let segment = StorageFolder::open(path).and_then(SegmentFile::open);
    Ok(Arc::new(segment.map_err(|source| BodyStoreError::Folder { path: path.into(), source })?))
}

/// Reports the name and value of each counter of a class.
pub fn report_counters(class: &str, counters: &ClassCounters, mut report: impl FnMut(&str, u64)) {
    for (tier, name) in [(Tier::Memory, "memory"), (Tier::File, "file"), (Tier::PassThrough, "passed")] {
        report(&format!("bodies.{name}.held.{class}"), counters.current_bodies.get(tier));
        report(&format!("bodies.{name}.bytes.{class}"), counters.current_bytes.get(tier));
        report(&format!("bodies.{name}.taken.{class}"), counters.admitted.get(tier));
    }
    report(&format!("bodies.demoted.{class}"), counters.demoted);
    report(&format!("bodies.dropped.{class}"), counters.fell_back);
    report(&format!("bodies.replayed.{class}"), counters.replayed);
    report(&format!("bodies.refused.{class}"), counters.rejected);
    report(&format!("bodies.too_large.{class}"), counters.too_large);
    report(&format!("bodies.spoilt.{class}"), counters.corrupt);
}
