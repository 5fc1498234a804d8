//! Engines that operators have left out, whatever a list says of them. They stand in a file beside the
//! program, so that the processes of an upgrade hold to the same.

use crate::net::Time;
use crate::shared_file::SharedFile;
use dahliaspoke::policy::EngineId;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// In the folder for temporary files.
const FILE: &str = "maintenance.json";

/// By engine, since when.
type Since = BTreeMap<EngineId, Time>;

pub struct MaintenanceSet {
    /// Absent where the platform names no folder: then they last as long as the process.
    file: Option<SharedFile>,
    since: Since,
}

impl MaintenanceSet {
    /// With what an earlier process has left.
    pub fn open() -> Self {
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        let (file, held) = folder.map(|folder| SharedFile::open(folder.join(FILE))).unzip();
        Self { file, since: held.flatten().and_then(|bytes| read(&bytes)).unwrap_or_default() }
    }

    pub fn since(&self, engine: &EngineId) -> Option<Time> {
        self.since.get(engine).copied()
    }

    /// Takes what another process has changed; returns the engines of which that is news. Fails where the
    /// file could not be written: then the next process will not know.
    pub fn look(&mut self) -> io::Result<Vec<EngineId>> {
        let found = self.file.as_mut().map_or(Ok(None), SharedFile::look)?;
        // What cannot be read says nothing.
        let Some(new) = found.and_then(|bytes| read(&bytes)) else { return Ok(Vec::new()) };
        let differs = |id: &&EngineId| self.since.contains_key(*id) != new.contains_key(*id);
        let news = self.since.keys().chain(new.keys()).filter(differs).cloned().collect();
        self.since = new;
        Ok(news)
    }

    /// Leaves an engine out from now on. It counts from the first time that this was asked for.
    pub fn ban(&mut self, now: Time, engine: &EngineId) {
        self.since.entry(engine.clone()).or_insert(now);
        self.keep();
    }

    /// It may serve again, however often it was left out.
    pub fn lift(&mut self, engine: &EngineId) {
        self.since.remove(engine);
        self.keep();
    }

    fn keep(&mut self) {
        let Some(file) = &mut self.file else { return };
        let plain: serde_json::Map<_, _> =
            self.since.iter().map(|(id, since)| (id.to_string(), (*since).into())).collect();
        file.replace(serde_json::Value::Object(plain).to_string().into_bytes());
    }
}

fn read(bytes: &[u8]) -> Option<Since> {
    let plain = serde_json::from_slice::<BTreeMap<String, Time>>(bytes).ok()?;
    Some(plain.into_iter().map(|(id, since)| (id.into(), since)).collect())
}
