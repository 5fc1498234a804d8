//! A member's heart: drives the consensus core, its disk and the machine, and says what is to be sent to whom.

use super::wire::{self, Hello};
use crate::failpoints;
use crate::net::{Time, Token};
use dahliaspoke_raft::disk::{DiskLog, Folder};
use dahliaspoke_raft::entry::EntryKind;
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::{Action, Event, MembershipChange, Options, ProposeError, Raft};
use dahliaspoke_raft::state_machine::{Command, KeyChange, StateMachine};
use dahliaspoke_raft::writer::{LogWriter, WriteResult};
use dahliaspoke_raft::{Id, Index, Micros};
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// The machine is kept in place of the entries after so many of them, or so many bytes.
const SNAPSHOT: (Index, usize) = (1024, 1 << 20);

/// What a call waits for.
#[derive(Debug)]
enum Waits {
    /// A change's outcome.
    Outcome,
    /// What a key holds, with its version in front or without.
    Value(String, bool),
    /// A change of members.
    Members,
}

/// What the loop is to do.
pub enum Told {
    /// Send this to a member.
    Send(Message),
    /// Answer a call.
    Answer(Token, Vec<u8>),
    /// The machine has changed so.
    KeyChange(KeyChange),
    /// The machine is another: all keys may have changed.
    Anew,
}

pub struct Replica {
    pub raft: Raft,
    pub state_machine: StateMachine,
    writer: LogWriter,
    hello: Hello,
    /// Calls that wait, by ticket.
    waiting: HashMap<u64, (Token, Waits)>,
    proposal_id: u64,
    /// Members that have presented themselves, by name; bounded by whom the file and the log name.
    pub met: BTreeMap<String, Hello>,
    /// A learner counts from here on once it has enough entries.
    promote: Option<Id>,
    /// Why the disk is not written any more.
    pub failed: Option<String>,
    bytes: usize,
}

fn micros(now: Time) -> Micros {
    (now * 1e6) as Micros
}

/// A number that nobody else has drawn.
fn draw() -> Result<u64, String> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(|e| format!("no random numbers: {e}"))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}

impl Replica {
    pub fn open(now: Time, folder: &Path, name: &str, address: String) -> Result<Self, String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        let disk = Folder::open(folder).map_err(|e| wrong(&e))?;
        let id = draw()?;
        let log = DiskLog::open(Box::new(disk), || id).map_err(|e| wrong(&e))?;
        let saved = log.state().clone();
        let state_machine = StateMachine::restore(&saved.snapshot.data).map_err(|e| wrong(&e))?;
        let hello = Hello { id: saved.hard_state.id, name: name.into(), address };
        let writer = LogWriter::start(log, failpoints::reach).map_err(|e| wrong(&e))?;
        Ok(Self {
            raft: Raft::new(Options::new(draw()?), saved, micros(now)),
            state_machine,
            writer,
            hello,
            waiting: HashMap::new(),
            proposal_id: 0,
            met: BTreeMap::new(),
            promote: None,
            failed: None,
            bytes: 0,
        })
    }

    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    pub fn bell(&self) -> std::os::fd::BorrowedFd<'_> {
        self.writer.waker()
    }

    pub fn next_deadline(&self) -> Option<Time> {
        let next = self.raft.next_deadline();
        (next < Micros::MAX && self.failed.is_none()).then_some(next as f64 / 1e6)
    }

    /// How long ago a majority, or the leader, was heard of (ms).
    pub fn age_ms(&self, now: Time) -> u64 {
        self.raft.time_since_contact(micros(now)) / 1000
    }

    fn proposal_id(&mut self, token: Token, waits: Waits) -> u64 {
        self.proposal_id += 1;
        self.waiting.insert(self.proposal_id, (token, waits));
        self.proposal_id
    }

    pub fn tick(&mut self, now: Time, out: &mut Vec<Told>) {
        if self.raft.next_deadline() <= micros(now) {
            self.handle(now, Event::Tick, out);
        }
        let Some(id) = self.promote.filter(|_| self.raft.leads()) else { return };
        match self.raft.members().get(&id) {
            Some(member) if !member.votes => {
                self.handle(
                    now,
                    Event::ChangeMembership { proposal_id: 0, change: MembershipChange::Promote(id) },
                    out,
                );
            }
            _ => self.promote = None,
        }
    }

    pub fn message(&mut self, now: Time, message: Message, out: &mut Vec<Told>) {
        failpoints::reach("store.received");
        self.handle(now, Event::Message(message), out);
    }

    /// What the disk has done.
    pub fn wrote(&mut self, now: Time, out: &mut Vec<Told>) {
        self.writer.reset_waker();
        while let Some(wrote) = self.writer.next_result() {
            match wrote {
                WriteResult::Persisted(number) => self.handle(now, Event::Persisted(number), out),
                WriteResult::Failed(why) => {
                    tracing::error!(
                        at = now,
                        part = "store",
                        "the disk has failed, this member takes no part any more: {why}"
                    );
                    self.failed = Some(why.to_string());
                    let calls = std::mem::take(&mut self.waiting).into_values();
                    let gone = wire::error("UNKNOWN", "the disk has failed: it may count");
                    out.extend(calls.map(|(token, _)| Told::Answer(token, gone.clone())));
                }
            }
        }
    }

    pub fn propose(&mut self, now: Time, token: Token, command: &Command, out: &mut Vec<Told>) {
        let proposal_id = self.proposal_id(token, Waits::Outcome);
        self.handle(now, Event::Propose { proposal_id, data: command.to_bytes() }, out);
    }

    pub fn read(&mut self, now: Time, token: Token, key: String, versioned: bool, out: &mut Vec<Told>) {
        let proposal_id = self.proposal_id(token, Waits::Value(key, versioned));
        self.handle(now, Event::Read { proposal_id }, out);
    }

    /// Founds a log of this one member.
    pub fn init(&mut self, now: Time, token: Token, out: &mut Vec<Told>) {
        if self.raft.cluster() != 0 {
            return out.push(Told::Answer(token, wire::error("REFUSED", "it has a log already")));
        }
        let answer = match draw() {
            Ok(cluster) => {
                let Hello { name, address, .. } = self.hello.clone();
                self.handle(now, Event::Bootstrap { cluster, name, address }, out);
                b"+OK\r\n".to_vec()
            }
            Err(why) => wire::error("REFUSED", &why),
        };
        out.push(Told::Answer(token, answer));
    }

    /// Brings in the member that has presented itself under that name. One that has lost its disk goes first.
    pub fn add(&mut self, now: Time, token: Token, name: &str, out: &mut Vec<Told>) {
        let refuse = |why: &str| Told::Answer(token, wire::error("REFUSED", why));
        let Some(hello) = self.met.get(name).cloned() else {
            return out.push(refuse("nobody has presented itself under that name"));
        };
        let held = self.raft.members().iter().find(|(_, member)| member.name == name).map(|(id, _)| *id);
        let change = match held {
            Some(id) if id == hello.id && self.raft.leads() => {
                // It is on its way already: it counts once it has enough entries, whoever led before.
                self.promote = Some(id);
                return out.push(Told::Answer(token, b"+OK\r\n".to_vec()));
            }
            Some(id) if id != hello.id => MembershipChange::Remove(id),
            _ => MembershipChange::AddLearner { id: hello.id, name: hello.name, address: hello.address },
        };
        let replaces = matches!(change, MembershipChange::Remove(_));
        if !replaces {
            self.promote = Some(hello.id);
        }
        let proposal_id = self.proposal_id(token, Waits::Members);
        self.handle(now, Event::ChangeMembership { proposal_id, change }, out);
    }

    pub fn remove(&mut self, now: Time, token: Token, name: &str, out: &mut Vec<Told>) {
        let held = self.raft.members().iter().find(|(_, member)| member.name == name).map(|(id, _)| *id);
        let Some(id) = held else {
            return out.push(Told::Answer(token, wire::error("REFUSED", "no member has that name")));
        };
        let proposal_id = self.proposal_id(token, Waits::Members);
        self.handle(now, Event::ChangeMembership { proposal_id, change: MembershipChange::Remove(id) }, out);
    }

    pub fn hand_over(&mut self, now: Time, token: Token, name: &str, out: &mut Vec<Told>) {
        let held = self.raft.members().iter().find(|(_, m)| m.name == name && m.votes).map(|(id, _)| *id);
        let answer = match held {
            _ if !self.raft.leads() => wire::error("LEADER", &self.leader()),
            None => wire::error("REFUSED", "no voting member has that name"),
            Some(id) => {
                self.handle(now, Event::TransferLeadership(id), out);
                b"+OK\r\n".to_vec()
            }
        };
        out.push(Told::Answer(token, answer));
    }

    /// Keeps the machine in place of the entries.
    pub fn snapshot(&mut self, now: Time, out: &mut Vec<Told>) {
        self.bytes = 0;
        let event = Event::Snapshot { index: self.state_machine.applied(), data: self.state_machine.save() };
        self.handle(now, event, out);
    }

    /// Name and address of who leads.
    pub fn leader(&self) -> String {
        let leader = self.raft.leader().and_then(|id| self.raft.members().get(&id));
        leader
            .map_or("nobody leads that this member knows of".into(), |m| format!("{} {}", m.name, m.address))
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Told>) {
        if self.failed.is_some() {
            // It holds nothing back any more, so it says nothing: neither votes nor acknowledgements.
            let gone = wire::error("REFUSED", "this member's disk has failed; ask another");
            let calls = std::mem::take(&mut self.waiting).into_values();
            return out.extend(calls.map(|(token, _)| Told::Answer(token, gone.clone())));
        }
        let (mut orders, led) = (Vec::new(), self.raft.leads());
        self.raft.handle(micros(now), event, &mut orders);
        if led != self.raft.leads() {
            let leads = if led { "leads no longer" } else { "leads" };
            tracing::info!(
                at = now,
                part = "store",
                "{} {leads} in term {}",
                self.hello.name,
                self.raft.term()
            );
        }
        for order in orders {
            self.carry_out(order, out);
        }
        let behind = self.state_machine.applied().saturating_sub(self.raft.snapshot().index);
        if behind >= SNAPSHOT.0 || self.bytes >= SNAPSHOT.1 {
            self.snapshot(now, out);
        }
    }

    fn carry_out(&mut self, order: Action, out: &mut Vec<Told>) {
        match order {
            Action::Persist(store) => self.writer.write(store),
            Action::Send(message) => {
                failpoints::reach("store.send");
                out.push(Told::Send(message));
            }
            Action::Apply { entry, proposal_id } => {
                failpoints::reach("store.apply");
                self.bytes += entry.size();
                let waits = proposal_id.and_then(|proposal_id| self.waiting.remove(&proposal_id));
                let (before, mut answer) = (self.state_machine.applied(), b"+OK\r\n".to_vec());
                match &entry.kind {
                    EntryKind::Data(data) => {
                        answer = wire::outcome(&self.state_machine.apply(entry.index, data));
                        let changes = self.state_machine.since(before.max(entry.index - 1));
                        out.extend(changes.into_iter().flatten().cloned().map(Told::KeyChange));
                    }
                    EntryKind::Empty | EntryKind::Members(_) => self.state_machine.skip(entry.index),
                }
                if let Some((token, _)) = waits {
                    failpoints::reach("store.answer");
                    out.push(Told::Answer(token, answer));
                }
            }
            Action::Restore(snapshot) => match StateMachine::restore(&snapshot.data) {
                Ok(state_machine) => {
                    self.state_machine = state_machine;
                    out.push(Told::Anew);
                }
                Err(why) => {
                    // Its sum was right, so a member of another version wrote it: this one cannot go on.
                    tracing::error!(
                        part = "store",
                        "a snapshot cannot be read, this member takes no part any more: {why}"
                    );
                    self.failed = Some(why.to_string());
                }
            },
            Action::Read { proposal_id, .. } => {
                if let Some((token, Waits::Value(key, versioned))) = self.waiting.remove(&proposal_id) {
                    let held = self.state_machine.get(&key);
                    let answer = match held {
                        Some(held) if versioned => {
                            let version = held.version.to_string();
                            crate::net::resp::array(&[version.as_bytes(), held.text.as_bytes()])
                        }
                        held => wire::value(held.map(|held| &*held.text)),
                    };
                    out.push(Told::Answer(token, answer));
                }
            }
            Action::Rejected { proposal_id, why } => {
                let Some((token, _)) = self.waiting.remove(&proposal_id) else { return };
                let answer = match why {
                    ProposeError::NotLeader(_) => wire::error("LEADER", &self.leader()),
                    ProposeError::Busy => wire::error("BUSY", "too much is under way; nothing was done"),
                    ProposeError::Membership(why) => wire::error("REFUSED", &why.to_string()),
                    ProposeError::Lost => wire::error("LOST", "it was not done and will not be"),
                    ProposeError::Unknown => {
                        wire::error("UNKNOWN", "this member leads no longer: it may count")
                    }
                };
                out.push(Told::Answer(token, answer));
            }
        }
    }
}
