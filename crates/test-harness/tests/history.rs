//! Compares the linearizability checker with stateright's tester, on histories small enough for the latter.

use dahliaspoke_test_harness::history::{is_linearizable, Answer, Call, Operation};
use proptest::prelude::*;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A register whose version counts its writes.
#[derive(Clone, Debug, Default)]
struct Register(Option<(u64, String)>);

impl SequentialSpec for Register {
    type Op = Call;
    type Ret = Answer;

    fn invoke(&mut self, call: &Call) -> Answer {
        let version = self.0.as_ref().map_or(0, |(version, _)| *version);
        match call {
            Call::Read => Answer::Value(self.0.clone()),
            Call::CompareAndSwap(expected, _) if *expected != version => Answer::VersionMismatch,
            Call::Write(value) | Call::CompareAndSwap(_, value) => {
                self.0 = Some((version + 1, value.clone()));
                Answer::Written(version + 1)
            }
        }
    }
}

/// Steps for [`simulate`]: the client to advance, the kind of a call, and the version that a compare-and-swap
/// expects.
fn client_steps() -> impl Strategy<Value = Vec<(u8, u8, u8)>> {
    prop::collection::vec((0u8..3, 0u8..3, 0u8..5), 4..40)
}

/// Simulates clients of a register. Each step advances one client to its next phase: call, execution or
/// answer.
fn simulate(steps: &[(u8, u8, u8)]) -> Vec<(usize, Operation)> {
    let mut register = Register::default();
    let mut now = 0;
    let mut calls: [Option<(u64, Call, Option<Answer>)>; 3] = Default::default();
    let mut ops = Vec::new();
    for (client_number, kind, version) in steps {
        now += 1;
        let client = *client_number as usize;
        match calls[client].take() {
            None => {
                let call = match kind {
                    0 => Call::Read,
                    1 => Call::Write(format!("v{now}")),
                    _ => Call::CompareAndSwap(u64::from(*version), format!("v{now}")),
                };
                calls[client] = Some((now, call, None));
            }
            Some((at, call, None)) => {
                let answer = register.invoke(&call);
                calls[client] = Some((at, call, Some(answer)));
            }
            Some((called, call, Some(answer))) => {
                ops.push((client, Operation { called, answered: Some((now, answer)), call }));
            }
        }
    }
    let unknown = calls.into_iter().enumerate();
    ops.extend(unknown.filter_map(|(client, slot)| {
        slot.map(|(called, call, _)| (client, Operation { called, answered: None, call }))
    }));
    ops
}

/// Whether stateright finds the history linearizable.
fn stateright_accepts(ops: &[(usize, Operation)]) -> bool {
    let mut events: Vec<(u64, usize, Option<Answer>, Call)> = Vec::new();
    for (client, op) in ops {
        events.push((op.called, *client, None, op.call.clone()));
        if let Some((at, answer)) = &op.answered {
            events.push((*at, *client, Some(answer.clone()), op.call.clone()));
        }
    }
    events.sort_by_key(|event| event.0);
    let mut tester = LinearizabilityTester::new(Register::default());
    for (_, client, answer, call) in events {
        let done = match answer {
            None => tester.on_invoke(client, call).map(|_| ()),
            Some(answer) => tester.on_return(client, answer).map(|_| ()),
        };
        done.expect("each client has one call at a time");
    }
    tester.is_consistent()
}

fn without_clients(ops: &[(usize, Operation)]) -> Vec<Operation> {
    ops.iter().map(|(_, op)| op.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn histories_of_a_register_are_linearizable(steps in client_steps()) {
        let ops = simulate(&steps);
        prop_assert!(is_linearizable(&without_clients(&ops)));
        prop_assert!(stateright_accepts(&ops));
    }

    /// Swaps the answers of two reads: the two checkers must agree, provided that every call was answered.
    /// The answers of writes are not swapped, since stateright's register requires versions without gaps and
    /// ours does not.
    #[test]
    fn both_checkers_agree_on_corrupt_histories(steps in client_steps(), one in 0usize..40, other in 0usize..40) {
        // Enough further steps of each client to complete its open call.
        let rest = (0..9).map(|n| (n % 3, 0, 0));
        let mut ops = simulate(&steps.into_iter().chain(rest).collect::<Vec<_>>());
        ops.retain(|(_, op)| op.answered.is_some() || op.call != Call::Read);
        prop_assume!(ops.iter().all(|(_, op)| op.answered.is_some()));
        let reads: Vec<usize> = (0..ops.len()).filter(|at| ops[*at].1.call == Call::Read).collect();
        prop_assume!(reads.len() > 1);
        let (one, other) = (reads[one % reads.len()], reads[other % reads.len()]);
        let take = |op: &Operation| op.answered.clone().map(|(_, answer)| answer);
        let (first, second) = (take(&ops[one].1), take(&ops[other].1));
        for (at, answer) in [(one, second), (other, first)] {
            if let (Some((_, slot)), Some(answer)) = (&mut ops[at].1.answered, answer) {
                *slot = answer;
            }
        }
        prop_assert_eq!(is_linearizable(&without_clients(&ops)), stateright_accepts(&ops));
    }
}

#[test]
fn a_read_older_than_an_acknowledged_write_is_rejected() {
    let op = |called, at, answer, call| Operation { called, answered: Some((at, answer)), call };
    let write = op(1, 2, Answer::Written(1), Call::Write("a".into()));
    let stale = op(3, 4, Answer::Value(None), Call::Read);
    let beside = op(1, 4, Answer::Value(None), Call::Read);
    assert!(!is_linearizable(&[write.clone(), stale]));
    assert!(is_linearizable(&[write, beside]));
}

#[test]
fn an_unacknowledged_write_takes_effect_once_or_never() {
    let op = |called, at, answer, call| Operation { called, answered: Some((at, answer)), call };
    let lost = Operation { called: 1, answered: None, call: Call::Write("x".into()) };
    let seen = |at, version| op(at, at + 1, Answer::Value(Some((version, "x".to_string()))), Call::Read);
    let none = |at| op(at, at + 1, Answer::Value(None), Call::Read);
    assert!(is_linearizable(&[lost.clone(), none(5), seen(7, 4)]));
    assert!(!is_linearizable(&[lost.clone(), seen(5, 4), none(7)]));
    assert!(!is_linearizable(&[lost, seen(5, 4), seen(7, 9)]));
}
