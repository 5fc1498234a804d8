//! The log on disk: cut at each byte, corrupt at each byte, syncs that fail or do nothing, a full disk, format 1.

use dahliaspoke_raft::disk::{Disk, DiskLog, Folder, MAX_SEGMENT_BYTES};
use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, Snapshot};
use dahliaspoke_raft::raft::{PersistentState, WriteBatch};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

/// Which syncs do nothing.
#[derive(Clone, Copy, Debug, Default)]
struct MissingSyncs {
    files: bool,
    names: bool,
}

#[derive(Default, Debug, Clone)]
struct Inner {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    /// Names as they are on the disk itself.
    durable: BTreeMap<String, usize>,
    calls: u64,
    /// Calls from that one on fail.
    fails_from: Option<u64>,
    /// Syncs that report success and do nothing.
    missing_syncs: MissingSyncs,
    room: Option<usize>,
}

/// A disk in memory whose system may end at any moment: what was not synced may be gone then.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Inner>>);

impl Memory {
    fn inner<T>(&self, of: impl FnOnce(&mut Inner) -> T) -> T {
        of(&mut self.0.lock().expect("no panic"))
    }

    fn call<T>(&self, of: impl FnOnce(&mut Inner) -> io::Result<T>) -> io::Result<T> {
        self.inner(|inner| {
            inner.calls += 1;
            if inner.fails_from.is_some_and(|at| inner.calls >= at) {
                return Err(io::Error::other("the disk is gone"));
            }
            of(inner)
        })
    }

    /// What is there after the system has ended: what was synced, and of each file so many bytes that were not.
    fn after_crash(&self, unsynced: usize) -> Self {
        self.inner(|inner| {
            let mut after =
                Inner { durable: inner.durable.clone(), names: inner.durable.clone(), ..Inner::default() };
            after.contents = inner.contents.clone();
            for content in &mut after.contents {
                content.bytes.truncate(content.synced + unsynced);
                content.synced = content.bytes.len();
            }
            Self(Arc::new(Mutex::new(after)))
        })
    }

    fn file(&self, begins: &str) -> (String, usize) {
        self.inner(|inner| {
            let (name, at) =
                inner.names.iter().rfind(|(name, _)| name.starts_with(begins)).expect("it is there");
            (name.clone(), *at)
        })
    }
}

impl Inner {
    fn at(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for Memory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.inner(|inner| inner.names.keys().cloned().collect()))
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.inner(|inner| inner.at(name).map(|at| inner.contents[at].bytes.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.call(|inner| {
            let used: usize = inner.names.values().map(|at| inner.contents[*at].bytes.len()).sum();
            if inner.room.is_some_and(|room| used + bytes.len() > room) {
                return Err(ErrorKind::StorageFull.into());
            }
            let at = inner.at(name).unwrap_or_else(|_| {
                inner.contents.push(Content::default());
                inner.names.insert(name.into(), inner.contents.len() - 1);
                inner.contents.len() - 1
            });
            inner.contents[at].bytes.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.call(|inner| {
            let at = inner.at(name)?;
            if !inner.missing_syncs.files {
                inner.contents[at].synced = inner.contents[at].bytes.len();
            }
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.call(|inner| {
            let at = inner.at(name)?;
            inner.contents[at].bytes.truncate(length as usize);
            inner.contents[at].synced = inner.contents[at].synced.min(length as usize);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.call(|inner| {
            let at = inner.at(from)?;
            inner.names.remove(from);
            inner.names.insert(to.into(), at);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(|inner| {
            inner.at(name)?;
            inner.names.remove(name);
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.call(|inner| {
            if !inner.missing_syncs.names {
                inner.durable = inner.names.clone();
            }
            Ok(())
        })
    }
}

fn entry(index: u64, term: u64, bytes: usize) -> Entry {
    Entry { index, term, kind: EntryKind::Data(Arc::new(vec![index as u8; bytes])) }
}

fn appends(number: u64, first: u64, count: u64) -> WriteBatch {
    let entries = (first..first + count).map(|index| entry(index, 2, 40)).collect();
    WriteBatch { number, entries, ..WriteBatch::default() }
}

fn with_snapshot(number: u64, index: u64) -> WriteBatch {
    let snapshot = Snapshot { index, term: 2, data: Arc::new(vec![7; 300]), ..Snapshot::default() };
    WriteBatch {
        number,
        snapshot: Some(Arc::new(snapshot)),
        compact: Some(index - 2),
        ..WriteBatch::default()
    }
}

/// Votes, entries, an overwritten end, a snapshot, a snapshot that begins anew.
fn batches() -> Vec<WriteBatch> {
    let hard = |term, vote| Some(HardState { id: 5, cluster: 9, term, vote });
    let anew = Snapshot { index: 40, term: 3, data: Arc::new(vec![8; 200]), ..Snapshot::default() };
    vec![
        WriteBatch { number: 1, hard_state: hard(2, Some(5)), ..appends(1, 1, 6) },
        WriteBatch { number: 2, truncate: Some(5), entries: vec![entry(5, 3, 10)], ..WriteBatch::default() },
        appends(3, 6, 3),
        with_snapshot(4, 6),
        WriteBatch { number: 5, hard_state: hard(4, None), ..WriteBatch::default() },
        WriteBatch { number: 6, snapshot: Some(Arc::new(anew)), reset: true, ..WriteBatch::default() },
        WriteBatch { number: 7, entries: vec![entry(41, 4, 20)], ..WriteBatch::default() },
    ]
}

/// What is on disk after so many of them.
fn after(count: usize) -> PersistentState {
    let mut saved = PersistentState {
        hard_state: HardState { id: 5, ..HardState::default() },
        ..PersistentState::default()
    };
    batches()[..count].iter().for_each(|batch| saved.apply(batch));
    saved
}

fn open(disk: &Memory) -> Result<DiskLog, String> {
    DiskLog::open(Box::new(disk.clone()), || 5).map_err(|error| error.to_string())
}

/// Writes them one by one until one fails; how many were reported to be on disk.
fn write(disk: &Memory) -> usize {
    let Ok(mut log) = open(disk) else { return 0 };
    let done = batches().iter().take_while(|batch| log.write(std::slice::from_ref(batch)).is_ok()).count();
    assert!(done == batches().len() || log.write(&[appends(9, 1, 1)]).is_err(), "none after one that failed");
    done
}

#[test]
fn a_disk_that_fails_at_any_call_keeps_acknowledged_batches_and_at_most_one_more() {
    let whole = Memory::default();
    assert_eq!(write(&whole), batches().len());
    let calls = whole.inner(|inner| inner.calls);
    for call in 1..=calls {
        for unsynced in [0, 1, 17, 10_000] {
            let disk = Memory::default();
            disk.inner(|inner| inner.fails_from = Some(call));
            let acknowledged = write(&disk);
            let log = open(&disk.after_crash(unsynced)).expect("it starts");
            let next = after((acknowledged + 1).min(batches().len()));
            assert!(
                *log.state() == after(acknowledged) || *log.state() == next,
                "call {call}, {unsynced} bytes more"
            );
        }
    }
}

#[test]
fn a_log_cut_at_any_byte_has_all_whole_batches_before() {
    let disk = Memory::default();
    let mut log = open(&disk).expect("new");
    let mut lengths = Vec::new();
    let (_, at) = disk.file("log-");
    for number in 0..5 {
        log.write(&[appends(number + 1, 1 + number * 3, 3)]).expect("written");
        lengths.push(disk.inner(|inner| inner.contents[at].bytes.len()));
    }
    drop(log);
    let first = {
        let disk = Memory::default();
        open(&disk).expect("new");
        let at = disk.file("log-").1;
        disk.inner(|inner| inner.contents[at].bytes.len())
    };
    for length in first..=lengths[4] {
        let cut = disk.after_crash(0);
        cut.inner(|inner| inner.contents[at].bytes.truncate(length));
        let log = open(&cut).expect("it starts");
        let whole = lengths.iter().filter(|end| **end <= length).count() as u64;
        assert_eq!(log.state().entries.len() as u64, whole * 3, "cut at {length}");
        // What is written next is found again.
        let mut log = log;
        log.write(&[appends(1, 1 + whole * 3, 2)]).expect("written");
        assert_eq!(open(&cut).expect("it starts").state().entries.len() as u64, whole * 3 + 2);
    }
}

#[test]
fn corruption_before_a_synced_record_prevents_the_start_and_is_located() {
    let disk = Memory::default();
    let mut log = open(&disk).expect("new");
    let (name, at) = disk.file("log-");
    let first = disk.inner(|inner| inner.contents[at].bytes.len());
    for number in 0..3 {
        log.write(&[appends(number + 1, 1 + number * 3, 3)]).expect("written");
    }
    let last = disk.inner(|inner| inner.contents[at].bytes.len());
    let third = (last - first) / 3;
    for byte in first..first + 2 * third {
        let corrupt = disk.after_crash(0);
        corrupt.inner(|inner| inner.contents[at].bytes[byte] ^= 0x40);
        let why = open(&corrupt).err().unwrap_or_else(|| panic!("byte {byte} went unseen"));
        assert!(why.contains(&name) && why.contains("damaged at byte"), "{why}");
    }
}

/// Whether all that was acknowledged is there after the system has ended, for every call at which it may end.
fn keeps_acknowledged(missing_syncs: MissingSyncs) -> bool {
    let whole = Memory::default();
    write(&whole);
    let calls = whole.inner(|inner| inner.calls);
    (1..=calls + 1).all(|call| {
        let disk = Memory::default();
        disk.inner(|inner| (inner.fails_from, inner.missing_syncs) = (Some(call), missing_syncs));
        let acknowledged = write(&disk);
        let Ok(log) = open(&disk.after_crash(0)) else { return false };
        *log.state() == after(acknowledged) || *log.state() == after((acknowledged + 1).min(batches().len()))
    })
}

/// With the syncs of files, or of names, taken out, what was acknowledged is lost: each of them is needed.
#[test]
fn a_missing_sync_is_caught() {
    assert!(keeps_acknowledged(MissingSyncs { files: false, names: false }));
    assert!(!keeps_acknowledged(MissingSyncs { files: true, names: false }));
    assert!(!keeps_acknowledged(MissingSyncs { files: false, names: true }));
}

#[test]
fn a_full_disk_stops_the_log_and_keeps_acknowledged_batches() {
    let disk = Memory::default();
    disk.inner(|inner| inner.room = Some(900));
    let acknowledged = write(&disk);
    assert!((1..batches().len()).contains(&acknowledged));
    disk.inner(|inner| inner.room = None);
    assert_eq!(*open(&disk.after_crash(0)).expect("it starts").state(), after(acknowledged));
}

#[test]
fn long_logs_continue_in_the_next_segment_and_old_files_are_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let start = || DiskLog::open(Box::new(Folder::open(folder.path()).expect("a folder")), || 5);
    let mut log = start().expect("new");
    let size = 1 << 20;
    let mut expected = log.state().clone();
    for index in 1..=3 * MAX_SEGMENT_BYTES / size {
        let mut batch = WriteBatch {
            number: index,
            entries: vec![entry(index, 2, size as usize)],
            ..WriteBatch::default()
        };
        if index % 5 == 0 {
            batch.snapshot = with_snapshot(0, index).snapshot;
            batch.compact = Some(index - 2);
        }
        expected.apply(&batch);
        log.write(&[batch]).expect("written");
    }
    drop(log);
    assert_eq!(*start().expect("it starts").state(), expected);
    let names: Vec<String> = std::fs::read_dir(folder.path())
        .expect("readable")
        .map(|entry| entry.expect("readable").file_name().to_string_lossy().into_owned())
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
}

/// Format 1 had no marks and no synced lengths: a log of that format is read and continued in the present one.
#[test]
fn format_1_is_read_and_continued_in_the_present_format() {
    // Written by the first form: a checkpoint of member 5, then one entry of term 2 with the bytes 1, 2, 3.
    let hex = "4453505101000000\
               0a000000392d1da900050000000000000000\
               0e000000f8d4131c0100000000010102010301020300";
    let bytes: Vec<u8> =
        (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).expect("hex")).collect();
    let mut disk = Memory::default();
    disk.append("log-0000000000000007", &bytes).expect("written");
    let log = open(&disk).expect("it is read");
    assert_eq!(log.state().hard_state.id, 5);
    let data = EntryKind::Data(Arc::new(vec![1, 2, 3]));
    assert_eq!(log.state().entries, [Entry { index: 1, term: 2, kind: data }]);
    assert_eq!(disk.file("log-").0, "log-0000000000000008");
    let mut newer = Memory::default();
    newer.append("log-0000000000000001", b"DSPQ\x03\0\0\0").expect("written");
    assert!(open(&newer).err().is_some_and(|why| why.contains("unsupported segment format 3")));
}

proptest! {
    /// No bytes in its files make it panic or take what is none.
    #[test]
    fn arbitrary_bytes_neither_panic_nor_yield_entries(bytes in prop::collection::vec(any::<u8>(), 0..300), headed in any::<bool>()) {
        let mut disk = Memory::default();
        if headed {
            disk.append("log-0000000000000001", b"DSPQ\x02\0\0\0").expect("written");
        }
        disk.append("log-0000000000000001", &bytes).expect("written");
        if let Ok(log) = open(&disk) {
            prop_assert!(log.state().entries.is_empty());
        }
    }
}
