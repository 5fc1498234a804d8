//! Clients that read, write and compare-and-set a few keys, and repeat a call until its outcome is known.

use super::{Simulation, Task, MILLISECOND};
use dahliaspoke_raft::raft::Event;
use dahliaspoke_raft::state_machine::{Command, Op};
use dahliaspoke_raft::Micros;
use dahliaspoke_test_harness::history::{Answer, Call, Operation};

/// Number of keys, shared by all clients.
const KEYS: u64 = 2;
/// How long a client waits for an answer (us).
const CALL_TIMEOUT: Micros = 400 * MILLISECOND;
/// How often a client repeats a call before it gives up.
const MAX_REPEATS: u32 = 30;
/// The difference between the session of a client that gave up and its next session.
const SESSION_STEP: u64 = 100;

pub struct Client {
    session: u64,
    serial: u64,
    open: Option<OpenCall>,
    /// Id of its latest proposal.
    proposal_id: u64,
    /// When the latest proposal times out (us).
    deadline: Micros,
    /// Position of the node that calls are sent to.
    pub guessed_leader: usize,
}

/// A call whose outcome is not known yet.
#[derive(Clone)]
struct OpenCall {
    started: Micros,
    key: usize,
    call: Call,
    repeats: u32,
}

impl Client {
    pub fn new(session: u64) -> Self {
        Self { session, serial: 0, open: None, proposal_id: 0, deadline: 0, guessed_leader: 0 }
    }
}

fn key_name(key: usize) -> String {
    format!("k{key}")
}

impl Simulation {
    pub fn run_client(&mut self, at: usize) {
        self.schedule(2 * MILLISECOND + self.now % 7 * MILLISECOND, Task::RunClient(at));
        let timed_out = self.clients[at].deadline <= self.now;
        let is_waiting = self.waiting.values().any(|client| *client == at);
        if self.clients[at].open.is_some() && is_waiting && !timed_out {
            return;
        }
        if is_waiting {
            let proposal_id = self.clients[at].proposal_id;
            self.waiting.remove(&proposal_id);
            self.answer(at, proposal_id, None);
        }
        if self.clients[at].open.is_none() {
            self.open_call(at);
        }
        self.propose(at);
    }

    fn open_call(&mut self, at: usize) {
        let key = self.random_below(KEYS) as usize;
        self.last_value += 1;
        let value = format!("v{}", self.last_value);
        let call = match self.random_below(3) {
            0 => Call::Read,
            1 => Call::Write(value),
            // The version that any client received last, which may be stale.
            _ => Call::CompareAndSwap(self.known_versions.get(&key).copied().unwrap_or_default(), value),
        };
        let started = self.now;
        self.clients[at].serial += 1;
        self.clients[at].open = Some(OpenCall { started, key, call, repeats: 0 });
    }

    fn propose(&mut self, at: usize) {
        let Some(OpenCall { key, call, .. }) = self.clients[at].open.clone() else { return };
        if self.random_bool(0.1) {
            self.guess_leader(at);
        }
        self.last_proposal_id += 1;
        let proposal_id = self.last_proposal_id;
        self.waiting.insert(proposal_id, at);
        let client = &mut self.clients[at];
        client.proposal_id = proposal_id;
        client.deadline = self.now + CALL_TIMEOUT;
        let node = client.guessed_leader;
        let (value, expect) = match call {
            Call::Read => return self.handle_event(node, Event::Read { proposal_id }),
            Call::Write(value) => (value, None),
            Call::CompareAndSwap(version, value) => (value, Some(version)),
        };
        let op = Op { key: key_name(key), value: Some(value.into()), expect };
        let command = Command { session: client.session, serial: client.serial, ops: vec![op] };
        self.handle_event(node, Event::Propose { proposal_id, data: command.to_bytes() });
    }

    fn guess_leader(&mut self, at: usize) {
        self.clients[at].guessed_leader = self.random_below(self.plan.members as u64) as usize;
    }

    /// Answers a confirmed read from the state machine of the node.
    pub fn answer_read(&mut self, node: usize, proposal_id: u64) {
        let Some(client) = self.waiting.remove(&proposal_id) else { return };
        let key = self.clients[client].open.as_ref().map_or(0, |open| open.key);
        let value = self.nodes[node].state_machine.get(&key_name(key));
        let value = value.map(|value| (value.version, value.text.to_string()));
        self.answer(client, proposal_id, Some(Answer::Value(value)));
    }

    /// Handles the answer to a client's call. Without an answer the call is repeated up to [`MAX_REPEATS`] times.
    pub fn answer(&mut self, at: usize, proposal_id: u64, answer: Option<Answer>) {
        if self.clients[at].proposal_id != proposal_id {
            return;
        }
        let Some(open) = self.clients[at].open.take() else { return };
        if answer.is_none() && open.repeats < MAX_REPEATS {
            self.clients[at].open = Some(OpenCall { repeats: open.repeats + 1, ..open });
            if self.random_bool(0.5) {
                self.guess_leader(at);
            }
            return;
        }
        if let Some(Answer::Written(version) | Answer::Value(Some((version, _)))) = &answer {
            self.known_versions.insert(open.key, *version);
        }
        if answer.is_some() {
            self.report.answered += 1;
        } else {
            self.report.unanswered += 1;
            // The outcome is unknown, so the client continues in a new session.
            let client = &mut self.clients[at];
            client.session += SESSION_STEP;
            client.serial = 0;
        }
        let answered = answer.map(|answer| (self.now, answer));
        self.record(open, answered);
    }

    fn record(&mut self, open: OpenCall, answered: Option<(Micros, Answer)>) {
        let op = Operation { called: open.started, answered, call: open.call };
        self.history.entry(open.key).or_default().push(op);
    }

    /// Records the calls that are still open at the end as calls with an unknown outcome.
    pub fn close_history(&mut self) {
        for at in 0..self.clients.len() {
            if let Some(open) = self.clients[at].open.take() {
                self.record(open, None);
            }
        }
    }
}
