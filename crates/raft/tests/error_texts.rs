//! The exact texts of errors: operators see most of them, and some are sent or stored.

use dahliaspoke_raft::codec::DecodeError;
use dahliaspoke_raft::disk::{DiskLog, Folder, OpenError, OpenErrorKind};
use dahliaspoke_raft::raft::{MembershipError, ProposeError};
use dahliaspoke_raft::state_machine::{Command, Op, Outcome, StateMachine};
use std::io;

fn op(key: &str, bytes: usize) -> Op {
    Op { key: key.into(), value: Some("x".repeat(bytes).into()), expect: None }
}

fn command(session: u64, serial: u64, ops: Vec<Op>) -> Command {
    Command { session, serial, ops }
}

fn invalid(ops: Vec<Op>) -> String {
    command(0, 0, ops).validate().expect_err("an invalid command").to_string()
}

#[test]
fn invalid_command_texts() {
    assert_eq!(invalid(vec![]), "a command has 1 to 64 parts, not 0");
    assert_eq!(
        invalid((0..65).map(|n| op(&n.to_string(), 1)).collect()),
        "a command has 1 to 64 parts, not 65"
    );
    assert_eq!(invalid(vec![op("k", 1), op("k", 1)]), "a command names each key once");
    assert_eq!(invalid(vec![op("a\nb", 1)]), "ab: a key has 1 to 256 bytes and no control characters");
    assert_eq!(
        invalid(vec![op(&"k".repeat(257), 1)]),
        format!("{}: a key has 1 to 256 bytes and no control characters", "k".repeat(40))
    );
    assert_eq!(
        invalid(vec![op("settings", 1_048_577)]),
        "settings: a value has 1048576 bytes at the most, not 1048577"
    );
}

#[test]
fn rejected_command_texts() {
    let mut state_machine = StateMachine::default();
    let mut apply = |index, command: &Command| state_machine.apply(index, &command.to_bytes()).to_string();
    assert_eq!(apply(1, &command(1, 1, vec![op("k", 1)])), "done at 1");
    assert_eq!(apply(2, &command(1, 2, vec![op("k", 1)])), "done at 2");
    assert_eq!(apply(3, &command(1, 1, vec![op("k", 1)])), "a later call of this session was answered");
    assert_eq!(
        apply(4, &command(2, 2, vec![op("k", 1)])),
        "this session is not known any more: it may have been done"
    );
    let expecting = Op { expect: Some(7), ..op("k", 1) };
    assert_eq!(apply(5, &command(0, 0, vec![expecting])), "k has version 2");
    let full = (0..9).map(|n| op(&format!("large{n}"), 1_000_000)).collect();
    assert_eq!(apply(6, &command(0, 0, full)), "the store is full: 4096 keys and 8388608 bytes at the most");
    assert_eq!(state_machine.apply(7, b""), Outcome::Rejected("no message".into()));
}

#[test]
fn decode_error_texts() {
    assert_eq!(DecodeError::Version(9).to_string(), "a message of version 9; this program speaks 1");
    assert_eq!(DecodeError::Corrupt.to_string(), "a message whose sum is wrong");
    assert_eq!(DecodeError::Malformed.to_string(), "no message");
}

#[test]
fn proposal_and_membership_error_texts() {
    let membership = |error: MembershipError| ProposeError::from(error).to_string();
    assert_eq!(ProposeError::Busy.to_string(), "too many pending requests; the request was not carried out");
    assert_eq!(ProposeError::Lost.to_string(), "proposal dropped: not committed and never will be");
    assert_eq!(
        ProposeError::Unknown.to_string(),
        "leadership lost, outcome unknown: the proposal may still be committed"
    );
    assert_eq!(membership(MembershipError::ChangeUnderWay), "another change of members is under way");
    assert_eq!(membership(MembershipError::LeaderIsNew), "the leader is new: nothing of its term counts yet");
    assert_eq!(membership(MembershipError::TooManyVoters), "there are as many voters as there may be");
    assert_eq!(membership(MembershipError::TooManyMembers), "there are as many members as there may be");
    assert_eq!(membership(MembershipError::AlreadyMember), "it is a member");
    assert_eq!(membership(MembershipError::LearnerBehind), "it has too few entries yet");
    assert_eq!(membership(MembershipError::NotLearner), "it is no learner");
    assert_eq!(membership(MembershipError::NotRemovable), "it is no member, or the last");
}

#[test]
fn log_open_error_texts() {
    let text = |kind: OpenErrorKind| OpenError { file: "log-1".into(), kind }.to_string();
    assert_eq!(text(OpenErrorKind::Io(io::Error::other("the disk is gone"))), "log-1: the disk is gone");
    assert_eq!(text(OpenErrorKind::Snapshot(DecodeError::Malformed)), "log-1: no message");
    assert_eq!(
        text(OpenErrorKind::UnknownFormat(3)),
        "log-1: unsupported segment format 3; this program reads formats 1 to 2"
    );
    assert_eq!(text(OpenErrorKind::NoCheckpoint), "log-1: damaged: it does not begin with a checkpoint");
    assert_eq!(
        text(OpenErrorKind::MisplacedCheckpoint(40)),
        "log-1: a checkpoint in the middle, before byte 40"
    );
    assert_eq!(
        text(OpenErrorKind::CorruptRecord(40)),
        "log-1: damaged at byte 40, which a later record marks as synced"
    );
    assert_eq!(text(OpenErrorKind::WrongSnapshot), "log-1: the snapshot in it does not match its file name");
    assert_eq!(text(OpenErrorKind::MissingEntries), "log-1: damaged: entries are missing");
}

/// Opens a real segment, unlike the tests of the texts alone.
#[test]
fn a_segment_without_a_checkpoint_is_reported_by_file_name() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("log-0000000000000002"), b"no segment").expect("written");
    let disk = Folder::open(folder.path()).expect("a folder");
    let error = DiskLog::open(Box::new(disk), || 5).err().expect("an error");
    assert_eq!(error.to_string(), "log-0000000000000002: damaged: it does not begin with a checkpoint");
}
