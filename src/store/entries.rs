//! The store's content: texts by key, each with the version by which replicas agree on the latest.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// A value with its version. Of two, the higher version counts; of two equal ones, the one whose origin has
/// the greater name, so that all replicas choose alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub version: u64,
    pub origin: String,
    pub value: String,
}

/// Entries by key.
#[derive(Default)]
pub struct Entries(BTreeMap<String, Entry>);

impl Entries {
    /// The snapshot in a file; empty where there is none yet.
    pub fn load(path: &Path) -> Result<Self, String> {
        let wrong = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(e) => return Err(wrong(&e)),
        };
        let entries: BTreeMap<String, (u64, String, String)> =
            serde_json::from_str(&text).map_err(|e| wrong(&e))?;
        let entry = |(version, origin, value)| Entry { version, origin, value };
        Ok(Self(entries.into_iter().map(|(key, parts)| (key, entry(parts))).collect()))
    }

    /// Writes the snapshot beside the old one and puts it in its place: a crash leaves one of the two.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let entries: BTreeMap<_, _> =
            self.0.iter().map(|(key, e)| (key, (e.version, &e.origin, &e.value))).collect();
        let beside = path.with_extension("new");
        let file = std::fs::File::create(&beside)?;
        serde_json::to_writer(&file, &entries)?;
        file.sync_all()?;
        std::fs::rename(beside, path)
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(|entry| entry.value.as_str())
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.0.iter()
    }

    /// Takes an entry that may be newer. True if it was.
    pub fn merge(&mut self, key: &str, entry: Entry, most: usize) -> bool {
        let newer = match self.0.get(key) {
            Some(held) => entry > *held,
            None => self.0.len() < most,
        };
        if newer {
            self.0.insert(key.into(), entry);
        }
        newer
    }

    /// Sets a value of our own. The entry, if it is news.
    pub fn set(&mut self, key: &str, value: &str, origin: &str, most: usize) -> Option<Entry> {
        let held = self.0.get(key);
        if held.is_some_and(|entry| entry.value == value) {
            return None;
        }
        let version = held.map_or(1, |entry| entry.version.saturating_add(1));
        let entry = Entry { version, origin: origin.into(), value: value.into() };
        self.merge(key, entry.clone(), most).then_some(entry)
    }
}
