//! The log on disk: one segment at a time, records with lengths and sums, snapshots in files of their own.
//!
//! A segment begins with a checkpoint, which is all that counts, and goes on with what was stored since. Once it is long,
//! the next one is begun and the old one removed. Nothing is told to be on disk before the sync that covers it.
//!
//! A record says how much of its segment was synced before it was written. A spoilt record before such a point is
//! damage, and the member does not start; one behind all of them is a write that was cut off, and is cut away.

use crate::message::{open as unseal, seal, Entry, HardState, Snapshot};
use crate::raft::{PersistentState, WriteBatch};
use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What the log asks of a folder. Names are plain; errors of the system come back as they are.
pub trait Disk: Send {
    /// Names in it.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// All of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Puts bytes at a file's end; makes it where it is not there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was appended is on the disk itself from here on.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Cuts a file.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Gives a file another name, in place of what has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Which names there are is on the disk itself from here on.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder of the system.
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl Folder {
    /// Makes it where it is not there.
    ///
    /// # Errors
    /// Where it cannot be made.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Self { path: path.to_path_buf(), open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(held, _)| held != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.into(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for Folder {
    fn names(&mut self) -> io::Result<Vec<String>> {
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

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
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

/// The form that is written. The one before had no marks and said nothing of syncs.
pub const FORMAT: u32 = 2;
const MAGIC: &[u8; 4] = b"DSPQ";
/// In front of each record: where one is spoilt, the next is looked for by this.
const MARK: [u8; 2] = [0xd5, 0x6b];
/// Mark, length, sum, synced length.
const HEAD: usize = 2 + 4 + 4 + 8;
/// A record's body.
const MOST: usize = 64 << 20;
/// A segment is followed by the next beyond so many bytes.
pub const SEGMENT: u64 = 8 << 20;

#[derive(Serialize, Deserialize)]
enum Record {
    /// All that counts.
    Checkpoint { hard: HardState, snapshot: (Index, Term), base: (Index, Term), entries: Vec<Entry> },
    /// What was stored after.
    Stored {
        hard: Option<HardState>,
        snapshot: Option<(Index, Term)>,
        reset: bool,
        truncate: Option<Index>,
        entries: Vec<Entry>,
        compact: Option<Index>,
    },
}

/// The log of one member.
pub struct DiskLog {
    disk: Box<dyn Disk>,
    saved: PersistentState,
    segment: u64,
    length: u64,
    /// What a checkpoint took: a segment that is nearly all checkpoint is not followed by another yet.
    checkpoint: u64,
    /// A sync has failed: what is on disk is not known any more, and nothing is written.
    broken: bool,
}

fn segment(number: u64) -> String {
    format!("log-{number:016x}")
}

fn snapshot((index, term): (Index, Term)) -> String {
    format!("snapshot-{index:016x}-{term:016x}")
}

fn record(record: &Record, synced: u64) -> Vec<u8> {
    // These types have no form that cannot be written.
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&sum(&body, synced).to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(&body);
    out
}

fn sum(body: &[u8], synced: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&synced.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// The record at `at`, what it says was synced, and where the next begins.
fn read(bytes: &[u8], at: usize, format: u32) -> Option<(Record, u64, usize)> {
    let (at, marked) = if format == 1 { (at, false) } else { (at + MARK.len(), true) };
    if marked && bytes.get(at - MARK.len()..at)? != MARK {
        return None;
    }
    let length = u32::from_le_bytes(number(bytes, at)?) as usize;
    let told = u32::from_le_bytes(number(bytes, at + 4)?);
    let synced = if marked { u64::from_le_bytes(number(bytes, at + 8)?) } else { 0 };
    let start = at + if marked { 16 } else { 8 };
    let body = bytes.get(start..start.checked_add(length.min(MOST + 1))?)?;
    let right = if marked { sum(body, synced) } else { crc32fast::hash(body) };
    if length > MOST || right != told {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, synced, start + length))
}

/// What is wrong with a file.
fn wrong(name: &str, what: impl std::fmt::Display) -> String {
    format!("{name}: {what}")
}

impl DiskLog {
    /// Reads what is there; a new member gets this number. Files that were not finished are removed.
    ///
    /// # Errors
    /// In one line, where a file cannot be read, is of a form that this program does not know, or is damaged.
    pub fn open(mut disk: Box<dyn Disk>, new: impl FnOnce() -> Id) -> Result<Self, String> {
        let names = disk.names().map_err(|e| wrong("the folder", e))?;
        let mut segments: Vec<(u64, &String)> = Vec::new();
        for name in &names {
            let number = name.strip_prefix("log-").and_then(|n| u64::from_str_radix(n, 16).ok());
            segments.extend(number.map(|number| (number, name)));
        }
        segments.sort_unstable();
        let mut found = None;
        // The latest that begins whole. One that does not was being begun when the program ended.
        while let Some((number, name)) = segments.pop() {
            let bytes = disk.read(name).map_err(|e| wrong(name, e))?;
            if let Some((saved, length, format)) = Self::replay(&mut *disk, name, &bytes)? {
                found = Some((number, saved, length, format));
                break;
            }
            if segments.is_empty() && number > 1 {
                return Err(wrong(name, "damaged: it does not begin with a checkpoint"));
            }
        }
        let first = found.is_none();
        let (number, saved, length, format) = found.unwrap_or_else(|| {
            let hard = HardState { id: new().max(1), ..HardState::default() };
            (0, PersistentState { hard, ..PersistentState::default() }, 0, FORMAT)
        });
        let mut log = Self { disk, saved, segment: number, length, checkpoint: 0, broken: false };
        if first || format != FORMAT {
            log.checkpoint().map_err(|e| wrong("the log", e))?;
        } else {
            // Whatever stands behind the last record is no part of the log.
            log.disk.cut(&segment(number), length).map_err(|e| wrong("the log", e))?;
        }
        log.tidy().map_err(|e| wrong("the folder", e))?;
        Ok(log)
    }

    /// What is on disk.
    #[must_use]
    pub fn saved(&self) -> &PersistentState {
        &self.saved
    }

    /// A segment's content: what it comes to, its length up to where it is whole, its form. `None` where it does not
    /// begin whole.
    fn replay(
        disk: &mut dyn Disk,
        name: &str,
        bytes: &[u8],
    ) -> Result<Option<(PersistentState, u64, u32)>, String> {
        let Some(head) = bytes.get(..8) else { return Ok(None) };
        if &head[..4] != MAGIC {
            return Ok(None);
        }
        let format = u32::from_le_bytes(number(head, 4).unwrap_or_default());
        if !(1..=FORMAT).contains(&format) {
            return Err(wrong(name, format!("form {format}; this program knows 1 to {FORMAT}")));
        }
        let mut at = 8;
        let Some((Record::Checkpoint { hard, snapshot: told, base, entries }, _, next)) =
            read(bytes, at, format)
        else {
            return Ok(None);
        };
        at = next;
        let mut saved = PersistentState { hard, snapshot: Arc::default(), base, entries };
        let mut latest = told;
        while at < bytes.len() {
            let Some((record, _, next)) = read(bytes, at, format) else {
                // Cut off, unless something behind it says that it was synced.
                let later = (at + 1..bytes.len()).filter_map(|at| read(bytes, at, format));
                if format > 1 && later.into_iter().any(|(_, synced, _)| synced > at as u64) {
                    return Err(wrong(name, format!("damaged at byte {at}, before what was synced later")));
                }
                break;
            };
            at = next;
            let Record::Stored { hard, snapshot, reset, truncate, entries, compact } = record else {
                return Err(wrong(name, format!("a checkpoint in the middle, before byte {at}")));
            };
            latest = snapshot.unwrap_or(latest);
            let held =
                snapshot.map(|(index, term)| Arc::new(Snapshot { index, term, ..Snapshot::default() }));
            saved.take(&WriteBatch { number: 0, hard, snapshot: held, reset, truncate, entries, compact });
        }
        if latest != (0, 0) {
            let file = snapshot(latest);
            let bytes = disk.read(&file).map_err(|e| wrong(&file, e))?;
            let read: Snapshot = unseal(&bytes).map_err(|e| wrong(&file, e))?;
            if (read.index, read.term) != latest {
                return Err(wrong(&file, "it holds another snapshot than its name says"));
            }
            saved.snapshot = Arc::new(read);
        }
        let first = saved.base.0 + 1;
        if saved.entries.iter().enumerate().any(|(n, entry)| entry.index != first + n as Index) {
            return Err(wrong(name, "damaged: entries are missing"));
        }
        Ok(Some((saved, at as u64, format)))
    }

    /// Writes these in order, and syncs once. Once this has failed, nothing more is written: what a failed sync left on
    /// the disk nobody knows.
    ///
    /// # Errors
    /// Of the system. None of it may be taken to be on disk then.
    pub fn write(&mut self, stores: &[WriteBatch]) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other("an earlier write has failed; what is on disk is not known"));
        }
        let done = self.write_now(stores);
        self.broken = done.is_err();
        done
    }

    fn write_now(&mut self, stores: &[WriteBatch]) -> io::Result<()> {
        for snapshot in stores.iter().filter_map(|store| store.snapshot.as_ref()) {
            self.put(&self::snapshot((snapshot.index, snapshot.term)), &seal(&**snapshot))?;
        }
        let mut bytes = Vec::new();
        for store in stores {
            let stored = Record::Stored {
                hard: store.hard.clone(),
                snapshot: store.snapshot.as_ref().map(|held| (held.index, held.term)),
                reset: store.reset,
                truncate: store.truncate,
                entries: store.entries.clone(),
                compact: store.compact,
            };
            bytes.extend_from_slice(&record(&stored, self.length));
        }
        let name = segment(self.segment);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.length += bytes.len() as u64;
        stores.iter().for_each(|store| self.saved.take(store));
        let long = self.length > SEGMENT + self.checkpoint;
        if long {
            self.checkpoint()?;
        }
        if long || stores.iter().any(|store| store.snapshot.is_some()) {
            self.tidy()?;
        }
        Ok(())
    }

    /// Puts a file in its place, whole or not at all.
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let part = format!("{name}.part");
        match self.disk.remove(&part) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        self.disk.append(&part, bytes)?;
        self.disk.sync(&part)?;
        self.disk.rename(&part, name)?;
        self.disk.sync_names()
    }

    /// Begins the next segment with all that counts.
    fn checkpoint(&mut self) -> io::Result<()> {
        let next = self.segment + 1;
        let PersistentState { hard, snapshot, base, entries } = self.saved.clone();
        let all = Record::Checkpoint { hard, snapshot: (snapshot.index, snapshot.term), base, entries };
        let mut bytes = [&MAGIC[..], &FORMAT.to_le_bytes()].concat();
        bytes.extend_from_slice(&record(&all, 0));
        self.put(&segment(next), &bytes)?;
        (self.segment, self.length, self.checkpoint) = (next, bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }

    /// Removes what the present segment does not need.
    fn tidy(&mut self) -> io::Result<()> {
        let held = (self.saved.snapshot.index, self.saved.snapshot.term);
        let (log, own) = (segment(self.segment), snapshot(held));
        for name in self.disk.names()? {
            let ours = name.starts_with("log-") || name.starts_with("snapshot-");
            if ours && name != log && (name != own || held == (0, 0)) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }
}
