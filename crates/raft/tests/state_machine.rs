//! The state machine compared with a plain map.

use dahliaspoke_raft::state_machine::{
    Command, Op, Outcome, StateMachine, MAX_HISTORY_CHANGES, MAX_KEY_BYTES, MAX_SESSIONS, MAX_TOTAL_BYTES,
    MAX_VALUE_BYTES,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn set(key: &str, value: &str, expect: Option<u64>) -> Op {
    Op { key: key.into(), value: Some(value.into()), expect }
}

fn command(session: u64, serial: u64, ops: Vec<Op>) -> Command {
    Command { session, serial, ops }
}

fn apply(state_machine: &mut StateMachine, index: u64, command: &Command) -> Outcome {
    state_machine.apply(index, &command.to_bytes())
}

/// Session, serial, and operations: key, value, expected version.
type GeneratedCommand = (u64, u64, Vec<(u8, Option<u8>, Option<u64>)>);

fn generated_commands() -> impl Strategy<Value = Vec<GeneratedCommand>> {
    let op = (0u8..4, prop::option::of(any::<u8>()), prop::option::weighted(0.4, 0u64..20));
    prop::collection::vec((0u64..3, 1u64..6, prop::collection::vec(op, 1..3)), 1..40)
}

proptest! {
    /// Commands have the same effect as on a plain map, at most once per serial and all or nothing. A snapshot and
    /// restore in between changes nothing, and a watcher that reads the history ends up with the contents of the map.
    #[test]
    fn commands_behave_like_operations_on_a_plain_map(commands in generated_commands(), restore_at in 0usize..40) {
        let mut state_machine = StateMachine::default();
        let mut map: BTreeMap<String, (u64, String)> = BTreeMap::new();
        let mut last: BTreeMap<u64, (u64, Outcome)> = BTreeMap::new();
        let mut watcher: BTreeMap<String, String> = BTreeMap::new();
        let mut seen = 0;
        for (at, (session, serial, ops)) in commands.into_iter().enumerate() {
            let index = at as u64 + 1;
            let ops: Vec<Op> = ops.into_iter().map(|(key, value, expect)| Op {
                key: format!("k{key}"), value: value.map(|v| v.to_string().into()), expect,
            }).collect();
            let command = command(session, serial, ops.clone());
            let outcome = apply(&mut state_machine, index, &command);
            if at == restore_at {
                state_machine = StateMachine::restore(&state_machine.save()).expect("a snapshot that was just saved");
            }
            let has_duplicate_key = ops.len() == 2 && ops[0].key == ops[1].key;
            let mismatch = ops.iter().find_map(|op| {
                let version = map.get(&op.key).map_or(0, |stored| stored.0);
                op.expect.filter(|e| *e != version).map(|_| Outcome::VersionMismatch { key: op.key.clone(), version })
            });
            let known = last.get(&session).filter(|_| session > 0);
            match known {
                Some((stored, remembered)) if *stored == serial => prop_assert_eq!(&outcome, remembered),
                Some((stored, _)) if *stored > serial => prop_assert!(matches!(outcome, Outcome::Rejected(_))),
                None if session > 0 && serial > 1 => prop_assert!(matches!(outcome, Outcome::Rejected(_))),
                _ => {
                    match (has_duplicate_key, mismatch) {
                        (true, _) => prop_assert!(matches!(outcome, Outcome::Rejected(_))),
                        (false, Some(mismatch)) => prop_assert_eq!(&outcome, &mismatch),
                        (false, None) => {
                            prop_assert_eq!(&outcome, &Outcome::Done(index));
                            for op in ops {
                                match op.value {
                                    Some(value) => { map.insert(op.key, (index, value.to_string())); }
                                    None => { map.remove(&op.key); }
                                }
                            }
                        }
                    }
                    last.insert(session, (serial, outcome));
                }
            }
            for changed in state_machine.changes_since(seen).expect("the complete history") {
                match &changed.value {
                    Some(value) => watcher.insert(changed.key.clone(), value.to_string()),
                    None => watcher.remove(&changed.key),
                };
            }
            seen = state_machine.applied();
        }
        let stored: Vec<_> = state_machine.all("").map(|(k, v)| (k.clone(), (v.version, v.text.to_string()))).collect();
        prop_assert_eq!(&stored, &map.clone().into_iter().collect::<Vec<_>>());
        let plain: BTreeMap<_, _> = map.into_iter().map(|(key, (_, value))| (key, value)).collect();
        prop_assert_eq!(watcher, plain);
    }

    /// Bytes that are not a command are rejected on every member and change nothing.
    #[test]
    fn arbitrary_bytes_neither_panic_nor_change_anything(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut state_machine = StateMachine::default();
        prop_assert!(matches!(state_machine.apply(1, &bytes), Outcome::Rejected(_)));
        prop_assert_eq!(state_machine.all("").count(), 0);
        prop_assert!(StateMachine::restore(&bytes).is_err() || bytes.is_empty());
    }
}

#[test]
fn invalid_commands_are_rejected_with_key_and_reason() {
    let rejected = |ops: Vec<Op>| command(0, 0, ops).validate().expect_err("rejected").to_string();
    let large = rejected(vec![set("settings", &"x".repeat(5 << 20), None)]);
    assert!(large.starts_with("settings: ") && large.contains(&MAX_VALUE_BYTES.to_string()), "{large}");
    assert!(rejected(vec![set(&"k".repeat(MAX_KEY_BYTES + 1), "", None)]).contains("a key has"));
    assert!(rejected(vec![set("a\nb", "", None)]).contains("control"));
    assert!(rejected(vec![]).contains("parts"));
}

#[test]
fn a_full_store_rejects_values_until_a_key_is_deleted() {
    let mut state_machine = StateMachine::default();
    let value = "x".repeat(MAX_VALUE_BYTES);
    let mut index = 0;
    let mut put = |state_machine: &mut StateMachine, key: &str, value: Option<&str>| {
        index += 1;
        let op = Op { key: key.into(), value: value.map(Into::into), expect: None };
        apply(state_machine, index, &command(0, 0, vec![op]))
    };
    let full = (0..20)
        .find(|n| matches!(put(&mut state_machine, &format!("k{n}"), Some(&value)), Outcome::Rejected(_)));
    assert_eq!(full, Some(MAX_TOTAL_BYTES / MAX_VALUE_BYTES - 1));
    assert!(matches!(put(&mut state_machine, "k0", None), Outcome::Done(_)));
    assert!(matches!(put(&mut state_machine, "other", Some(&value)), Outcome::Done(_)));
}

#[test]
fn changes_older_than_the_retained_history_are_unavailable() {
    let mut state_machine = StateMachine::default();
    let limit = MAX_HISTORY_CHANGES as u64;
    for index in 1..=limit + 10 {
        apply(&mut state_machine, index, &command(0, 0, vec![set("k", &index.to_string(), None)]));
    }
    assert!(state_machine.changes_since(9).is_none());
    assert_eq!(state_machine.changes_since(10).map(Iterator::count), Some(MAX_HISTORY_CHANGES));
    assert_eq!(state_machine.changes_since(limit + 10).map(Iterator::count), Some(0));
}

#[test]
fn sessions_are_bounded_and_an_evicted_one_is_rejected() {
    let mut state_machine = StateMachine::default();
    for n in 1..=MAX_SESSIONS as u64 + 1 {
        apply(&mut state_machine, n, &command(n, 1, vec![set("k", "v", None)]));
    }
    let again = |state_machine: &mut StateMachine, session, serial| {
        apply(state_machine, 9999, &command(session, serial, vec![set("k", "w", None)]))
    };
    assert_eq!(again(&mut state_machine, 2, 1), Outcome::Done(2));
    assert!(
        matches!(again(&mut state_machine, 1, 2), Outcome::Rejected(reason) if reason.contains("may have been done"))
    );
}
