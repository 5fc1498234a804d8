//! Data that a released version has stored or sent is decoded to the same values, and these values are encoded to the same
//! bytes. `data/stored` is a member's folder written by that version; the hexadecimal strings were printed by it.

use dahliaspoke_raft::codec::{decode, encode};
use dahliaspoke_raft::disk::{Disk, DiskLog, Folder};
use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, LogPosition, Member, Members, Snapshot};
use dahliaspoke_raft::message::{
    AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk, SnapshotChunkReply, WireEntry,
};
use dahliaspoke_raft::raft::{PersistentState, WriteBatch};
use dahliaspoke_raft::state_machine::{Command, KeyChange, Op, Outcome, StateMachine, Value};
use std::path::Path;
use std::sync::Arc;

const SEGMENT_NAME: &str = "log-0000000000000001";
const SNAPSHOT_NAME: &str = "snapshot-0000000000000009-0000000000000002";
const MEMBER_ID: u64 = 4_734_359_629_016_498_958;
const CLUSTER: u64 = 16_627_621_791_545_446_368;

/// A copy of the stored folder, because opening the log may write to it.
fn stored_folder() -> tempfile::TempDir {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored");
    let folder = tempfile::tempdir().expect("a folder");
    for name in [SEGMENT_NAME, SNAPSHOT_NAME] {
        std::fs::copy(stored.join(name), folder.path().join(name)).expect("copied");
    }
    folder
}

fn open_log(folder: &Path) -> DiskLog {
    let disk = Folder::open(folder).expect("a folder");
    DiskLog::open(Box::new(disk), || panic!("the log has a member id")).expect("the log opens")
}

fn stored_members() -> Members {
    let member = Member { name: "c0".into(), address: "127.0.0.1:17400".into(), votes: true };
    Members::from([(MEMBER_ID, member)])
}

fn set(key: &str, value: &str) -> Op {
    Op { key: key.into(), value: Some(value.into()), expect: None }
}

/// The commands in entries 3 to 14.
fn stored_commands() -> Vec<Command> {
    let plain = |op| Command { session: 0, serial: 0, ops: vec![op] };
    let mut commands: Vec<Command> =
        (0..5).map(|n| plain(set(&format!("key{n}"), &format!("value {n}")))).collect();
    commands.push(plain(set("maintenance/e2", "planned")));
    commands.push(Command { session: 7, serial: 1, ops: vec![set("again", "once")] });
    commands.extend((0..3).map(|n| plain(set(&format!("later{n}"), &format!("after the snapshot {n}")))));
    commands.push(plain(Op { key: "key1".into(), value: None, expect: None }));
    commands.push(plain(Op { expect: Some(2), ..set("key0", "changed") }));
    commands
}

fn stored_entries() -> Vec<Entry> {
    let mut entries = vec![
        Entry { index: 1, term: 1, kind: EntryKind::Members(stored_members()) },
        Entry { index: 2, term: 2, kind: EntryKind::Empty },
    ];
    let data = |(at, command): (usize, Command)| Entry {
        index: at as u64 + 3,
        term: 2,
        kind: EntryKind::Data(command.to_bytes()),
    };
    entries.extend(stored_commands().into_iter().enumerate().map(data));
    entries
}

/// A key with its value and version.
struct StoredValue {
    key: &'static str,
    version: u64,
    text: &'static str,
}

const fn stored(key: &'static str, version: u64, text: &'static str) -> StoredValue {
    StoredValue { key, version, text }
}

/// The values at the snapshot (index 9).
const VALUES_AT_SNAPSHOT: [StoredValue; 7] = [
    stored("again", 9, "once"),
    stored("key0", 3, "value 0"),
    stored("key1", 4, "value 1"),
    stored("key2", 5, "value 2"),
    stored("key3", 6, "value 3"),
    stored("key4", 7, "value 4"),
    stored("maintenance/e2", 8, "planned"),
];

/// The values after the last entry (index 14).
const VALUES_AT_END: [StoredValue; 9] = [
    stored("again", 9, "once"),
    stored("key0", 3, "value 0"),
    stored("key2", 5, "value 2"),
    stored("key3", 6, "value 3"),
    stored("key4", 7, "value 4"),
    stored("later0", 10, "after the snapshot 0"),
    stored("later1", 11, "after the snapshot 1"),
    stored("later2", 12, "after the snapshot 2"),
    stored("maintenance/e2", 8, "planned"),
];

fn assert_values(state_machine: &StateMachine, expected: &[StoredValue]) {
    let actual: Vec<(String, Value)> = state_machine.all("").map(|(k, v)| (k.clone(), v.clone())).collect();
    let value = |value: &StoredValue| Value { version: value.version, text: value.text.into() };
    let expected: Vec<(String, Value)> =
        expected.iter().map(|stored| (stored.key.into(), value(stored))).collect();
    assert_eq!(actual, expected);
}

#[test]
fn a_folder_of_the_released_version_is_read_completely() {
    let folder = stored_folder();
    let before = std::fs::read(folder.path().join(SEGMENT_NAME)).expect("readable");
    let log = open_log(folder.path());
    let saved = log.state();
    assert_eq!(
        saved.hard_state,
        HardState { id: MEMBER_ID, cluster: CLUSTER, term: 2, vote: Some(MEMBER_ID) }
    );
    assert_eq!((saved.snapshot.index, saved.snapshot.term), (9, 2));
    assert_eq!(saved.snapshot.members, stored_members());
    assert_eq!(saved.base, LogPosition { index: 0, term: 0 });
    assert_eq!(saved.entries, stored_entries());
    // Nothing was truncated and no new segment was started.
    assert_eq!(std::fs::read(folder.path().join(SEGMENT_NAME)).expect("readable"), before);
    assert_eq!(std::fs::read_dir(folder.path()).expect("readable").count(), 2);
}

#[test]
fn the_state_machine_continues_from_a_snapshot_of_the_released_version() {
    let folder = stored_folder();
    let log = open_log(folder.path());
    let saved: &PersistentState = log.state();
    let mut state_machine = StateMachine::restore(&saved.snapshot.data).expect("a valid snapshot");
    assert_eq!(state_machine.applied(), 9);
    assert_values(&state_machine, &VALUES_AT_SNAPSHOT);
    let changes: Vec<KeyChange> =
        state_machine.changes_since(7).expect("the history is retained").cloned().collect();
    let change =
        |version, key: &str, value: &str| KeyChange { version, key: key.into(), value: Some(value.into()) };
    assert_eq!(changes, [change(8, "maintenance/e2", "planned"), change(9, "again", "once")]);
    // The restored state is saved as the same bytes.
    assert_eq!(state_machine.save(), saved.snapshot.data);
    let mut outcomes = Vec::new();
    for entry in saved.entries.iter().filter(|entry| entry.index > saved.snapshot.index) {
        let EntryKind::Data(data) = &entry.kind else { panic!("not a command: {entry:?}") };
        outcomes.push(state_machine.apply(entry.index, data));
    }
    let mut expected: Vec<Outcome> = (10..14).map(Outcome::Done).collect();
    expected.push(Outcome::VersionMismatch { key: "key0".into(), version: 3 });
    assert_eq!(outcomes, expected);
    assert_values(&state_machine, &VALUES_AT_END);
    assert_eq!(state_machine.applied(), 14);
    // The snapshot includes the session: a repeated call is answered without being applied again.
    let again = Command { session: 7, serial: 1, ops: vec![set("again", "twice")] };
    assert_eq!(state_machine.apply(15, &again.to_bytes()), Outcome::Done(9));
    assert_values(&state_machine, &VALUES_AT_END);
}

#[test]
fn a_snapshot_is_encoded_to_the_bytes_of_the_released_file() {
    let folder = stored_folder();
    let log = open_log(folder.path());
    let file = std::fs::read(folder.path().join(SNAPSHOT_NAME)).expect("readable");
    assert_eq!(encode(&*log.state().snapshot), file);
    assert_eq!(decode::<Snapshot>(&file).as_ref(), Ok(&*log.state().snapshot));
}

/// Writes the batches of the released version again, one at a time as that version did.
#[test]
fn batches_are_written_to_the_bytes_of_the_released_segment() {
    let stored = stored_folder();
    let expected = std::fs::read(stored.path().join(SEGMENT_NAME)).expect("readable");
    let saved = open_log(stored.path()).state().clone();
    let folder = tempfile::tempdir().expect("a folder");
    let disk = Folder::open(folder.path()).expect("a folder");
    let mut log = DiskLog::open(Box::new(disk), || MEMBER_ID).expect("a new log");
    let hard = |vote, term| Some(HardState { id: MEMBER_ID, cluster: CLUSTER, term, vote });
    let entry = |index: usize| vec![saved.entries[index - 1].clone()];
    let mut batches =
        vec![WriteBatch { hard_state: hard(Some(MEMBER_ID), 2), entries: entry(1), ..WriteBatch::default() }];
    batches.extend((2..=9).map(|index| WriteBatch { entries: entry(index), ..WriteBatch::default() }));
    batches.push(WriteBatch { snapshot: Some(saved.snapshot.clone()), ..WriteBatch::default() });
    batches.extend((10..=14).map(|index| WriteBatch { entries: entry(index), ..WriteBatch::default() }));
    for batch in batches {
        log.write(&[batch]).expect("written");
    }
    let written = std::fs::read(folder.path().join(SEGMENT_NAME)).expect("readable");
    assert_eq!(hex(&written), hex(&expected));
}

/// A segment of format 1, whose records have no marks: a checkpoint of member 5, then one entry of term 2.
const SEGMENT_OF_FORMAT_1: &str = "4453505101000000\
    0a000000392d1da900050000000000000000\
    0e000000f8d4131c0100000000010102010301020300";

#[test]
fn a_segment_of_format_1_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = Folder::open(folder.path()).expect("a folder");
    disk.append("log-0000000000000007", &parse_hex(SEGMENT_OF_FORMAT_1)).expect("written");
    drop(disk);
    let log = open_log(folder.path());
    let data = EntryKind::Data(Arc::new(vec![1, 2, 3]));
    let expected = PersistentState {
        hard_state: HardState { id: 5, ..HardState::default() },
        entries: vec![Entry { index: 1, term: 2, kind: data }],
        ..PersistentState::default()
    };
    assert_eq!(*log.state(), expected);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn two_members() -> Members {
    let member =
        |name: &str, address: &str, votes| Member { name: name.into(), address: address.into(), votes };
    Members::from([(1, member("c0", "127.0.0.1:17400", true)), (300, member("c1", "", false))])
}

fn entries_of_each_kind() -> Vec<WireEntry> {
    vec![
        WireEntry(Entry { index: 7, term: 3, kind: EntryKind::Empty }),
        WireEntry(Entry { index: 8, term: 3, kind: EntryKind::Data(Arc::new(vec![1, 2, 3])) }),
        WireEntry(Entry { index: 9, term: 4, kind: EntryKind::Members(two_members()) }),
    ]
}

fn assert_message(body: MessageBody, encoded: &str) {
    let message = Message { cluster: 99, from: 1, to: 300, term: 5, body };
    assert_eq!(hex(&encode(&message)), encoded, "{message:?}");
    assert_eq!(decode::<Message>(&parse_hex(encoded)), Ok(message));
}

#[test]
fn election_messages_have_the_released_encoding() {
    let last = LogPosition { index: 300, term: 4 };
    assert_message(MessageBody::PreVote { last }, "01af3c57af6301ac020500ac0204");
    assert_message(MessageBody::PreVoteReply { granted: true }, "018323679b6301ac02050101");
    assert_message(MessageBody::Vote { last, leadership_transfer: true }, "013e6503996301ac020502ac020401");
    assert_message(MessageBody::VoteReply { granted: false }, "01977156de6301ac02050300");
    assert_message(MessageBody::TimeoutNow, "0143fb57756301ac020508");
}

#[test]
fn replication_messages_have_the_released_encoding() {
    let entries = entries_of_each_kind();
    let previous = LogPosition { index: 6, term: 2 };
    let append = MessageBody::Append(AppendEntries { previous, commit: 5, round: 1000, entries });
    assert_message(append, "01812724cb6301ac020504060205e807030703000803010301020309040202010263300f3132372e302e302e313a313734303001ac020263310000");
    let reply = AppendReply { accepted: true, index: 9, hint: 6, round: 1000 };
    assert_message(MessageBody::AppendReply(reply), "01b51415436301ac020505010906e807");
}

#[test]
fn snapshot_messages_have_the_released_encoding() {
    let position = LogPosition { index: 9, term: 4 };
    let data = vec![9, 8, 7];
    let chunk = SnapshotChunk { position, total_bytes: 70_000, offset: 65_536, data, round: 1001 };
    assert_message(MessageBody::SnapshotChunk(chunk), "019e92cf2a6301ac0205060904f0a20480800403090807e907");
    let reply = SnapshotChunkReply { index: 9, received_bytes: 65_539, round: 1001 };
    assert_message(MessageBody::SnapshotChunkReply(reply), "010f0d83df6301ac02050709838004e907");
    let snapshot = Snapshot { index: 9, term: 4, members: two_members(), data: Arc::new(vec![5, 6]) };
    let encoded = "015acb493d090402010263300f3132372e302e302e313a313734303001ac020263310000020506";
    assert_eq!(hex(&encode(&snapshot)), encoded);
    assert_eq!(decode::<Snapshot>(&parse_hex(encoded)), Ok(snapshot));
}
