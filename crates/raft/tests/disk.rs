//! Tests of the log on disk: truncation and corruption at each byte, failing and missing syncs, a full disk, format 1.

use dahliaspoke_raft::disk::{Disk, DiskLog, Folder, MAX_SEGMENT_BYTES};
use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, LogPosition, Snapshot};
use dahliaspoke_raft::raft::{PersistentState, WriteBatch};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// Length of the part that has been synced.
    synced: usize,
}

/// Which syncs report success without doing anything.
#[derive(Clone, Copy, Debug, Default)]
struct MissingSyncs {
    /// Those of [`Disk::sync`].
    files: bool,
    /// Those of [`Disk::sync_names`].
    names: bool,
}

#[derive(Default, Debug, Clone)]
struct Inner {
    contents: Vec<FileContent>,
    names: BTreeMap<String, usize>,
    /// The directory as last synced.
    durable: BTreeMap<String, usize>,
    calls: u64,
    /// The call from which on every call fails, counted from 1.
    fails_from: Option<u64>,
    missing_syncs: MissingSyncs,
    /// Limit of the total size of the files (bytes).
    capacity: Option<usize>,
}

/// A disk in memory that can crash at any call and may then lose whatever was not synced.
#[derive(Clone, Default)]
struct MemoryDisk(Arc<Mutex<Inner>>);

impl MemoryDisk {
    fn inner<T>(&self, operation: impl FnOnce(&mut Inner) -> T) -> T {
        operation(&mut self.0.lock().expect("no panic"))
    }

    fn call<T>(&self, operation: impl FnOnce(&mut Inner) -> io::Result<T>) -> io::Result<T> {
        self.inner(|inner| {
            inner.calls += 1;
            if inner.fails_from.is_some_and(|at| inner.calls >= at) {
                return Err(io::Error::other("disk failure"));
            }
            operation(inner)
        })
    }

    /// The disk after a crash: the directory as last synced, and of each file the synced part and up to `unsynced` more
    /// bytes.
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

    fn file(&self, prefix: &str) -> (String, usize) {
        self.inner(|inner| {
            let (name, at) = inner
                .names
                .iter()
                .rfind(|(name, _)| name.starts_with(prefix))
                .expect("a file with this prefix");
            (name.clone(), *at)
        })
    }
}

impl Inner {
    fn at(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.inner(|inner| inner.names.keys().cloned().collect()))
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.inner(|inner| inner.at(name).map(|at| inner.contents[at].bytes.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.call(|inner| {
            let used: usize = inner.names.values().map(|at| inner.contents[*at].bytes.len()).sum();
            if inner.capacity.is_some_and(|capacity| used + bytes.len() > capacity) {
                return Err(ErrorKind::StorageFull.into());
            }
            let at = inner.at(name).unwrap_or_else(|_| {
                inner.contents.push(FileContent::default());
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

/// Votes, entries, an overwritten tail, a snapshot, and a snapshot that replaces the log.
fn batches() -> Vec<WriteBatch> {
    let hard = |term, vote| Some(HardState { id: 5, cluster: 9, term, vote });
    let replacement = Snapshot { index: 40, term: 3, data: Arc::new(vec![8; 200]), ..Snapshot::default() };
    vec![
        WriteBatch { number: 1, hard_state: hard(2, Some(5)), ..appends(1, 1, 6) },
        WriteBatch { number: 2, truncate: Some(5), entries: vec![entry(5, 3, 10)], ..WriteBatch::default() },
        appends(3, 6, 3),
        with_snapshot(4, 6),
        WriteBatch { number: 5, hard_state: hard(4, None), ..WriteBatch::default() },
        WriteBatch { number: 6, snapshot: Some(Arc::new(replacement)), reset: true, ..WriteBatch::default() },
        WriteBatch { number: 7, entries: vec![entry(41, 4, 20)], ..WriteBatch::default() },
    ]
}

/// The persistent state after the first `count` of [`batches`].
fn after(count: usize) -> PersistentState {
    let mut saved = PersistentState {
        hard_state: HardState { id: 5, ..HardState::default() },
        ..PersistentState::default()
    };
    batches()[..count].iter().for_each(|batch| saved.apply(batch));
    saved
}

fn open(disk: &MemoryDisk) -> Result<DiskLog, String> {
    DiskLog::open(Box::new(disk.clone()), || 5).map_err(|error| error.to_string())
}

/// Writes the batches one by one until one fails, and returns how many were acknowledged.
fn write(disk: &MemoryDisk) -> usize {
    let Ok(mut log) = open(disk) else { return 0 };
    let written = batches().iter().take_while(|batch| log.write(std::slice::from_ref(batch)).is_ok()).count();
    assert!(
        written == batches().len() || log.write(&[appends(9, 1, 1)]).is_err(),
        "a write succeeded after a failed one"
    );
    written
}

#[test]
fn a_disk_failure_at_any_call_preserves_acknowledged_batches_and_at_most_one_more() {
    let complete = MemoryDisk::default();
    assert_eq!(write(&complete), batches().len());
    let calls = complete.inner(|inner| inner.calls);
    for call in 1..=calls {
        for unsynced in [0, 1, 17, 10_000] {
            let disk = MemoryDisk::default();
            disk.inner(|inner| inner.fails_from = Some(call));
            let acknowledged = write(&disk);
            let log = open(&disk.after_crash(unsynced)).expect("the log opens");
            let next = after((acknowledged + 1).min(batches().len()));
            assert!(
                *log.state() == after(acknowledged) || *log.state() == next,
                "disk failed at call {call}, {unsynced} unsynced bytes survived"
            );
        }
    }
}

#[test]
fn a_log_truncated_at_any_byte_retains_the_complete_batches_before_it() {
    let disk = MemoryDisk::default();
    let mut log = open(&disk).expect("a new log");
    let mut lengths = Vec::new();
    let (_, at) = disk.file("log-");
    for number in 0..5 {
        log.write(&[appends(number + 1, 1 + number * 3, 3)]).expect("written");
        lengths.push(disk.inner(|inner| inner.contents[at].bytes.len()));
    }
    drop(log);
    let first = {
        let disk = MemoryDisk::default();
        open(&disk).expect("a new log");
        let at = disk.file("log-").1;
        disk.inner(|inner| inner.contents[at].bytes.len())
    };
    for length in first..=lengths[4] {
        let truncated = disk.after_crash(0);
        truncated.inner(|inner| inner.contents[at].bytes.truncate(length));
        let log = open(&truncated).expect("the log opens");
        let complete = lengths.iter().filter(|end| **end <= length).count() as u64;
        assert_eq!(log.state().entries.len() as u64, complete * 3, "truncated to {length} bytes");
        // The truncated log can be continued: batches written now are read back.
        let mut log = log;
        log.write(&[appends(1, 1 + complete * 3, 2)]).expect("written");
        assert_eq!(open(&truncated).expect("the log opens").state().entries.len() as u64, complete * 3 + 2);
    }
}

#[test]
fn corruption_before_a_synced_record_prevents_opening_and_is_located() {
    let disk = MemoryDisk::default();
    let mut log = open(&disk).expect("a new log");
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
        let message =
            open(&corrupt).err().unwrap_or_else(|| panic!("corruption of byte {byte} was not detected"));
        assert!(message.contains(&name) && message.contains("damaged at byte"), "{message}");
    }
}

/// Whether all acknowledged batches survive a crash, for every call at which the crash can happen.
fn acknowledged_batches_survive(missing_syncs: MissingSyncs) -> bool {
    let complete = MemoryDisk::default();
    write(&complete);
    let calls = complete.inner(|inner| inner.calls);
    (1..=calls + 1).all(|call| {
        let disk = MemoryDisk::default();
        disk.inner(|inner| (inner.fails_from, inner.missing_syncs) = (Some(call), missing_syncs));
        let acknowledged = write(&disk);
        let Ok(log) = open(&disk.after_crash(0)) else { return false };
        *log.state() == after(acknowledged) || *log.state() == after((acknowledged + 1).min(batches().len()))
    })
}

/// Without the syncs of files, or those of the directory, acknowledged batches are lost: both are needed.
#[test]
fn a_missing_sync_of_files_or_the_directory_is_detected() {
    assert!(acknowledged_batches_survive(MissingSyncs { files: false, names: false }));
    assert!(!acknowledged_batches_survive(MissingSyncs { files: true, names: false }));
    assert!(!acknowledged_batches_survive(MissingSyncs { files: false, names: true }));
}

#[test]
fn a_full_disk_stops_the_log_and_preserves_acknowledged_batches() {
    let disk = MemoryDisk::default();
    disk.inner(|inner| inner.capacity = Some(900));
    let acknowledged = write(&disk);
    assert!((1..batches().len()).contains(&acknowledged));
    disk.inner(|inner| inner.capacity = None);
    assert_eq!(*open(&disk.after_crash(0)).expect("the log opens").state(), after(acknowledged));
}

#[test]
fn long_logs_continue_in_the_next_segment_and_old_files_are_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let reopen = || DiskLog::open(Box::new(Folder::open(folder.path()).expect("a folder")), || 5);
    let mut log = reopen().expect("a new log");
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
    assert_eq!(*reopen().expect("the log opens").state(), expected);
    let names: Vec<String> = std::fs::read_dir(folder.path())
        .expect("readable")
        .map(|entry| entry.expect("readable").file_name().to_string_lossy().into_owned())
        .collect();
    assert_eq!(names.len(), 2, "{names:?}");
}

/// Records of format 1 have no marks and no synced lengths. Such a log is read and continued in the current format.
#[test]
fn format_1_is_read_and_continued_in_the_current_format() {
    // Written by a version with format 1: a checkpoint of member 5, then one entry of term 2 with the bytes 1, 2, 3.
    let hex = "4453505101000000\
               0a000000392d1da900050000000000000000\
               0e000000f8d4131c0100000000010102010301020300";
    let bytes: Vec<u8> =
        (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).expect("hex")).collect();
    let mut disk = MemoryDisk::default();
    disk.append("log-0000000000000007", &bytes).expect("written");
    let log = open(&disk).expect("the log opens");
    assert_eq!(log.state().hard_state.id, 5);
    let data = EntryKind::Data(Arc::new(vec![1, 2, 3]));
    assert_eq!(log.state().entries, [Entry { index: 1, term: 2, kind: data }]);
    assert_eq!(disk.file("log-").0, "log-0000000000000008");
    let mut newer = MemoryDisk::default();
    newer.append("log-0000000000000001", b"DSPQ\x03\0\0\0").expect("written");
    assert!(open(&newer).err().is_some_and(|message| message.contains("unsupported segment format 3")));
}

proptest! {
    /// Arbitrary bytes in a segment neither cause a panic nor are decoded as entries.
    #[test]
    fn arbitrary_bytes_neither_panic_nor_yield_entries(bytes in prop::collection::vec(any::<u8>(), 0..300), with_header in any::<bool>()) {
        let mut disk = MemoryDisk::default();
        if with_header {
            disk.append("log-0000000000000001", b"DSPQ\x02\0\0\0").expect("written");
        }
        disk.append("log-0000000000000001", &bytes).expect("written");
        if let Ok(log) = open(&disk) {
            prop_assert!(log.state().entries.is_empty());
        }
    }
}

/// Guards against a member that restarts and does not know what was committed in its own log.
#[test]
fn the_last_commit_index_is_read_back_and_one_of_another_log_is_not() {
    let disk = MemoryDisk::default();
    let mut log = open(&disk).expect("a new log");
    log.write(&[appends(1, 1, 6)]).expect("written");
    let commit = LogPosition { index: 4, term: 1 };
    log.record_commit(commit);
    drop(log);
    assert_eq!(open(&disk).expect("opened").state().commit, commit);
    let record = disk.clone().read("commit").expect("a record");
    for length in 0..record.len() {
        disk.clone().truncate("commit", length as u64).expect("shortened");
        assert_eq!(open(&disk).expect("opened").state().commit, LogPosition::default(), "{length} bytes");
        disk.clone().remove("commit").expect("removed");
        disk.clone().append("commit", &record).expect("written");
    }
    let other = MemoryDisk::default();
    DiskLog::open(Box::new(other.clone()), || 6).expect("a new log");
    other.clone().append("commit", &record).expect("written");
    assert_eq!(open(&other).expect("opened").state().commit, LogPosition::default());
}
