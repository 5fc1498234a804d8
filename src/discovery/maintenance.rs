//! Engines that operators have taken out of service, whatever a list reports of them. They are stored in a
//! file in the folder for temporary files, which both processes of an upgrade use.

use crate::net::Time;
use crate::shared_file::SharedFile;
use dahliaspoke::policy::EngineId;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// The environment variable that names the folder for temporary files.
const FOLDER_VARIABLE: &str = "TMPDIR";

/// Name of the file: a JSON object that maps the ids of engines to the start of their maintenance (s).
const FILE_NAME: &str = "maintenance.json";

/// When the maintenance of each engine started (s).
type StartTimes = BTreeMap<EngineId, Time>;

/// The engines in maintenance.
pub struct MaintenanceSet {
    /// Absent if the platform names no folder: the set is then lost when the process exits.
    file: Option<SharedFile>,
    start_times: StartTimes,
}

impl MaintenanceSet {
    /// Opens the file and starts from what an earlier process has stored there.
    pub fn open() -> Self {
        let folder = std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from);
        let (file, content) = folder.map(|folder| SharedFile::open(folder.join(FILE_NAME))).unzip();
        let start_times = content.flatten().and_then(|content| decode(&content)).unwrap_or_default();
        Self { file, start_times }
    }

    /// When the maintenance of an engine started (s); none if it is not in maintenance.
    pub fn since(&self, engine: &EngineId) -> Option<Time> {
        self.start_times.get(engine).copied()
    }

    /// Applies what another process has stored since the last call, and returns the engines that this puts
    /// into or takes out of maintenance. Content that cannot be decoded is ignored.
    ///
    /// # Errors
    /// If this process could not write the file: a later process will not know of its changes.
    pub fn poll(&mut self) -> io::Result<Vec<EngineId>> {
        let content = self.file.as_mut().map_or(Ok(None), SharedFile::poll)?;
        let Some(stored) = content.and_then(|content| decode(&content)) else { return Ok(Vec::new()) };
        let has_changed = |id: &&EngineId| self.start_times.contains_key(*id) != stored.contains_key(*id);
        let changed = self.start_times.keys().chain(stored.keys()).filter(has_changed).cloned().collect();
        self.start_times = stored;
        Ok(changed)
    }

    /// Takes an engine out of service at `now`. An engine that is already in maintenance keeps its earlier
    /// start time.
    pub fn add(&mut self, now: Time, engine: &EngineId) {
        self.start_times.entry(engine.clone()).or_insert(now);
        self.store();
    }

    /// Returns an engine to service, however often it was taken out.
    pub fn remove(&mut self, engine: &EngineId) {
        self.start_times.remove(engine);
        self.store();
    }

    fn store(&mut self) {
        if let Some(file) = &mut self.file {
            file.replace(encode(&self.start_times));
        }
    }
}

fn encode(start_times: &StartTimes) -> Vec<u8> {
    let object: Map<String, Value> =
        start_times.iter().map(|(id, since)| (id.to_string(), (*since).into())).collect();
    Value::Object(object).to_string().into_bytes()
}

fn decode(content: &[u8]) -> Option<StartTimes> {
    let object = serde_json::from_slice::<BTreeMap<String, Time>>(content).ok()?;
    Some(object.into_iter().map(|(id, since)| (id.into(), since)).collect())
}
