//! Engines that operators have left out, whatever a list says of them. They stand in a file beside the
//! program, so that the processes of an upgrade hold to the same.

use crate::net::Time;
use dahliaspoke::interface::EngineId;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// In the folder for temporary files.
const FILE: &str = "maintenance.json";

/// By engine, since when.
type Since = BTreeMap<EngineId, Time>;

#[derive(Default)]
pub struct Bans {
    /// Absent where the platform names no folder: then they last as long as the process.
    path: Option<PathBuf>,
    since: Since,
}

impl Bans {
    /// With what an earlier process has left.
    pub fn open() -> Self {
        let path = std::env::var_os("TMPDIR").map(|folder| PathBuf::from(folder).join(FILE));
        let mut bans = Self { path, since: Since::new() };
        bans.look();
        bans
    }

    pub fn since(&self, engine: &EngineId) -> Option<Time> {
        self.since.get(engine).copied()
    }

    /// Takes what another process has written; returns the engines of which that is news.
    pub fn look(&mut self) -> Vec<EngineId> {
        let text = self.path.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        // Writers put the whole file in place at once. What cannot be read says nothing.
        let Some(new) = text.and_then(|text| serde_json::from_str::<BTreeMap<String, Time>>(&text).ok())
        else {
            return Vec::new();
        };
        let new: Since = new.into_iter().map(|(id, since)| (id.into(), since)).collect();
        let differs = |id: &&EngineId| self.since.contains_key(*id) != new.contains_key(*id);
        let news = self.since.keys().filter(differs).chain(new.keys().filter(differs)).cloned().collect();
        self.since = new;
        news
    }

    /// Leaves an engine out from now on. It counts from the first time that this was asked for.
    pub fn ban(&mut self, now: Time, engine: &EngineId) -> io::Result<()> {
        let mut since = self.since.clone();
        since.entry(engine.clone()).or_insert(now);
        self.keep(since)
    }

    /// It may serve again, however often it was left out.
    pub fn lift(&mut self, engine: &EngineId) -> io::Result<()> {
        let mut since = self.since.clone();
        since.remove(engine);
        self.keep(since)
    }

    fn keep(&mut self, since: Since) -> io::Result<()> {
        if let Some(path) = &self.path {
            let plain: BTreeMap<&str, Time> = since.iter().map(|(id, since)| (&**id, *since)).collect();
            let part = path.with_extension(std::process::id().to_string());
            std::fs::write(&part, serde_json::to_vec(&plain)?)?;
            std::fs::rename(&part, path)?;
        }
        self.since = since;
        Ok(())
    }
}
