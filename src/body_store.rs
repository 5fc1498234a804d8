//! The file that has large bodies kept for further attempts: `deploy/bodies.toml`.

use crate::config::{self, line_of};
use crate::limits::Limits;
use crate::net::{EventHandler, Ready, Time};
use dahliaspoke::policy::{Idempotency, Settings};
use dahliaspoke_body_store::plan::{
    Budgets, ClassCounters, ClassLimits, Tier, PASSED_WINDOW_CHUNKS, REPLAY_WINDOW_CHUNKS,
};
use dahliaspoke_body_store::storage::{ChunkStorage, SegmentFile, StorageFolder, CHUNK_BYTES};
use dahliaspoke_body_store::{BodyStore, Pace};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use toml::Spanned;

/// Where the file is, from the folder that the daemon is started in.
pub const FILE: &str = "deploy/bodies.toml";

/// The spool, as fronts and links share it.
pub type Shared = Rc<RefCell<BodyStore>>;

impl EventHandler for Shared {
    fn next_deadline(&mut self) -> Option<Time> {
        self.borrow().next()
    }

    fn on_timer(&mut self, now: Time) {
        self.borrow_mut().on_timer(now);
    }

    fn on_ready(&mut self, now: Time, _: Ready) {
        self.borrow_mut().on_ready(now);
    }
}

const MB: f64 = 1024.0 * 1024.0;
/// Part of the memory that windows have.
const WINDOWS: f64 = 0.25;
/// Chunks without which a body that is passed on and a replay could not go beside each other.
const CHUNKS_LEAST: f64 = 2.0 * (PASSED_WINDOW_CHUNKS + REPLAY_WINDOW_CHUNKS) as f64;
/// Threads that call the disk.
const THREADS: usize = 2;
/// Files are tried again so long after one could not be written (s).
const AGAIN: f64 = 1.0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bodies {
    /// Bodies and what goes by, in memory.
    memory_mb: Spanned<f64>,
    /// The largest body of any class.
    largest_mb: Spanned<f64>,
    /// Bodies above this go through here; without it, those that the door itself does not hold.
    above_kb: Option<Spanned<f64>>,
    /// Bodies in files; none without it.
    files_mb: Option<Spanned<f64>>,
    folder: Option<PathBuf>,
    #[serde(default = "stall")]
    stall_ms: Spanned<f64>,
    #[serde(default = "upload")]
    upload_ms: Spanned<f64>,
    #[serde(default = "hangs")]
    disk_hangs_ms: Spanned<f64>,
    #[serde(default)]
    class: BTreeMap<Spanned<String>, Class>,
}

fn stall() -> Spanned<f64> {
    Spanned::new(0..0, 5_000.0)
}

fn upload() -> Spanned<f64> {
    Spanned::new(0..0, 60_000.0)
}

fn hangs() -> Spanned<f64> {
    Spanned::new(0..0, 2_000.0)
}

/// What a class may use; absent values are all of it.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Class {
    memory_share: Option<Spanned<f64>>,
    files_share: Option<Spanned<f64>>,
    largest_mb: Option<Spanned<f64>>,
    /// Bodies that fit nowhere may be passed on without being kept; if not, they are turned away.
    pass: Option<bool>,
}

impl Bodies {
    /// The file's content, checked; `None` where there is no file.
    pub fn from_file(settings: &Settings) -> Result<Option<Self>, String> {
        let Some((bodies, text)) = config::optional_with_text::<Self>(FILE)? else { return Ok(None) };
        bodies.check(settings, &text).map_err(|e| format!("{FILE}: {e}"))?;
        Ok(Some(bodies))
    }

    fn check(&self, settings: &Settings, text: &str) -> Result<(), String> {
        let within = |key: &str, value: Option<&Spanned<f64>>, least: f64, most: f64| match value {
            Some(value) if !(least..=most).contains(value.get_ref()) => {
                let line = line_of(text, value.span().start);
                Err(format!("line {line}: {key} is {}, not between {least} and {most}", value.get_ref()))
            }
            _ => Ok(()),
        };
        let least = CHUNKS_LEAST * CHUNK_BYTES as f64 / WINDOWS / MB;
        within("memory_mb", Some(&self.memory_mb), least, 1e6)?;
        within("largest_mb", Some(&self.largest_mb), 0.001, 4_000.0)?;
        within("above_kb", self.above_kb.as_ref(), 0.0, 128.0)?;
        within("files_mb", self.files_mb.as_ref(), 1.0, 1e7)?;
        within("stall_ms", Some(&self.stall_ms), 1.0, 1e6)?;
        within("upload_ms", Some(&self.upload_ms), 1.0, 1e7)?;
        within("disk_hangs_ms", Some(&self.disk_hangs_ms), 1.0, 1e6)?;
        if let (Some(files), None) = (&self.files_mb, &self.folder) {
            let line = line_of(text, files.span().start);
            return Err(format!("line {line}: files_mb needs a folder to have them in"));
        }
        for (name, class) in &self.class {
            let line = line_of(text, name.span().start);
            let name = name.get_ref();
            if settings.classes.iter().all(|c| c.name != *name) {
                return Err(format!("line {line}: no class is called {name}"));
            }
            let key = |key: &str| format!("class.{name}.{key}");
            within(&key("memory_share"), class.memory_share.as_ref(), 0.0, 1.0)?;
            within(&key("files_share"), class.files_share.as_ref(), 0.0, 1.0)?;
            within(&key("largest_mb"), class.largest_mb.as_ref(), 0.001, *self.largest_mb.get_ref())?;
        }
        Ok(())
    }

    /// What the file says of sizes and times.
    pub fn limit(&self, settings: &Settings, limits: &mut Limits) {
        let above = self.above_kb.as_ref().map_or(usize::MAX, |kb| (kb.get_ref() * 1024.0) as usize);
        limits.bodies.max_inline_bytes = above.min(limits.http.max_body_bytes);
        limits.bodies.max_bytes = (self.largest_mb.get_ref() * MB) as usize;
        limits.bodies.stall_timeout = self.stall_ms.get_ref() / 1000.0;
        limits.bodies.upload_timeout = self.upload_ms.get_ref() / 1000.0;
        limits.bodies.retry_after = settings.retry_after;
    }

    fn rules(&self, settings: &Settings) -> Budgets {
        let bytes = |mb: &Spanned<f64>| (mb.get_ref() * MB) as u64;
        let share = |share: &Option<Spanned<f64>>| share.as_ref().map_or(1.0, |s| *s.get_ref());
        let none = Class::default();
        let classes = settings.classes.iter().map(|class| {
            let own = self.class.iter().find(|(name, _)| *name.get_ref() == class.name).map(|c| c.1);
            let own = own.unwrap_or(&none);
            ClassLimits {
                repeatable: class.idempotency != Idempotency::Never,
                priority_weight: class.priority_weight,
                memory_share: share(&own.memory_share),
                file_share: share(&own.files_share),
                max_bytes: own.largest_mb.as_ref().map_or(bytes(&self.largest_mb), bytes),
                pass_through: own.pass.unwrap_or(true),
            }
        });
        let memory = bytes(&self.memory_mb) as f64;
        Budgets {
            memory_bytes: ((1.0 - WINDOWS) * memory) as u64,
            file_bytes: self.files_mb.as_ref().map_or(0, bytes),
            window_chunks: (WINDOWS * memory / CHUNK_BYTES as f64) as usize,
            classes: classes.collect(),
        }
    }

    /// Opens the spool.
    pub fn open(&self, settings: &Settings) -> Result<Shared, String> {
        let store: Option<Arc<dyn ChunkStorage>> = match (&self.files_mb, &self.folder) {
            (Some(_), Some(path)) => {
                let segment = StorageFolder::open(path).and_then(SegmentFile::open);
                Some(Arc::new(segment.map_err(|e| format!("{FILE}: {}: {e}", path.display()))?))
            }
            _ => None,
        };
        let pace = Pace { hangs: self.disk_hangs_ms.get_ref() / 1000.0, again: AGAIN };
        let spool = BodyStore::new(self.rules(settings), pace, store, THREADS);
        spool.map(|spool| Rc::new(RefCell::new(spool))).map_err(|e| format!("{FILE}: {e}"))
    }
}

/// The figures of one class, for operators.
pub fn figures(class: &str, figures: &ClassCounters, mut line: impl FnMut(&str, u64)) {
    for (tier, name) in [(Tier::Memory, "memory"), (Tier::File, "file"), (Tier::Passed, "passed")] {
        line(&format!("bodies.{name}.held.{class}"), figures.held_bodies.get(tier));
        line(&format!("bodies.{name}.bytes.{class}"), figures.held_bytes.get(tier));
        line(&format!("bodies.{name}.taken.{class}"), figures.taken.get(tier));
    }
    line(&format!("bodies.demoted.{class}"), figures.demoted);
    line(&format!("bodies.dropped.{class}"), figures.dropped);
    line(&format!("bodies.replayed.{class}"), figures.replayed);
    line(&format!("bodies.refused.{class}"), figures.rejected);
    line(&format!("bodies.too_large.{class}"), figures.too_large);
    line(&format!("bodies.spoilt.{class}"), figures.corrupt);
}
