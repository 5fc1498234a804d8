//! The coordinators' own replicated store: a few texts by key that a majority of three to seven members has on disk
//! (`dahliaspoke-raft`). A daemon is a member, or it watches one.
//!
//! The wire is RESP: operators' calls are answered in order, members say `RAFT`, watchers read lines as they come.

mod replica;
mod wire;

use crate::limits::Limits;
use crate::net::resp::{read, Most};
use crate::net::{
    Acceptor, BufferedStream, Connection, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, Token,
};
use dahliaspoke_raft::state_machine::{Command, KeyChange, Op, MAX_VALUE_BYTES};
use dahliaspoke_raft::{Id, Index};
use replica::{Replica, Told};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Call, Hello};

/// Where the file is, from the folder that the daemon is started in.
pub const FILE: &str = "deploy/store.toml";
/// The settings object; it counts at once.
pub const SETTINGS: &str = "settings";
/// The list of engines as last told.
pub const ENGINES: &str = "engines";
/// Engines that operators have left out, by id behind this.
pub const MAINTENANCE: &str = "maintenance/";

/// The file's content.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where a member listens.
    pub listen: Option<SocketAddr>,
    /// A member's disk; without it this daemon watches.
    pub folder: Option<PathBuf>,
    /// Where others reach this member; without it, where it listens.
    pub address: Option<String>,
    /// The members, by name, and where they are reached from here.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// Connections of members, operators and watchers.
    pub connections: Option<usize>,
}

impl Config {
    /// What hangs together in it.
    pub fn check(&self) -> Result<(), String> {
        if self.folder.is_some() && self.listen.is_none() {
            return Err("listen: a member with a folder needs it".into());
        }
        if self.folder.is_none() && self.peers.is_empty() {
            return Err("peers: one that watches needs a member to watch".into());
        }
        Ok(())
    }
}

/// A check of what a key may hold: key and text.
pub type Check = Box<dyn Fn(&str, &str) -> Result<(), String>>;

pub struct Shared {
    limits: Rc<Limits>,
    calls: VecDeque<(Token, Result<Call, String>)>,
    /// Lines of the member that is watched.
    told: VecDeque<(Token, Line)>,
}

/// A line to a watcher, decoded.
enum Line {
    KeyChange(KeyChange),
    /// All up to there is told; who says so was in touch so many seconds ago.
    At(Index, Time, bool),
}

/// A connection, whoever opened it.
struct Link {
    channel: BufferedStream,
    token: Token,
    /// It was opened from here, to watch.
    watches: bool,
}

struct Peer {
    address: SocketAddr,
    line: Option<Token>,
    id: Option<Id>,
}

/// What a watcher holds.
#[derive(Default)]
struct View {
    values: BTreeMap<String, (Index, Arc<str>)>,
    version: Index,
    /// When the member that is watched last said how far it is, less how long it had been out of touch.
    as_of: Option<Time>,
    /// Until then it must say so again.
    until: Time,
    /// Keys that a new beginning has not named yet.
    stale: Option<BTreeSet<String>>,
}

pub struct Store {
    part: u8,
    listener: Option<Acceptor>,
    connections: usize,
    table: ConnectionSlab<Link>,
    peers: BTreeMap<String, Peer>,
    replica: Option<Replica>,
    view: View,
    /// The peer that is watched, in turn.
    turn: usize,
    watchers: HashSet<Token>,
    beat_at: Time,
    look_at: Time,
    changed: VecDeque<String>,
    check: Check,
    shared: Shared,
}

/// Pause between two lines that say how far a member is.
const BEAT: Time = 0.5;
/// A member that has not said so for that long is not watched any more.
const SILENT: Time = 2.0;
/// Bytes of a call or a member's message beside its one large value.
const FRAME: usize = 64 << 10;
/// Pause between two looks at who the members are and whom to dial.
const LOOK: Time = 0.25;
/// The place in the token of the writer's bell, which no connection has.
const BELL: u32 = u32::MAX - 1;

impl Store {
    pub fn open(
        part: u8,
        now: Time,
        config: Config,
        name: &str,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Result<Self, String> {
        let (mut listener, mut replica) = (None, None);
        config.check().map_err(|e| format!("{FILE}: {e}"))?;
        if let (Some(folder), Some(listen)) = (&config.folder, config.listen) {
            let opened = TcpListener::bind(listen).and_then(|s| Acceptor::new(part, s, poller.clone()));
            let opened = opened.map_err(|e| format!("{FILE}: listen {listen}: {e}"))?;
            let own = opened.address().map_err(|e| format!("{FILE}: listen {listen}: {e}"))?;
            let address = config.address.clone().unwrap_or(own.to_string());
            let member =
                Replica::open(now, folder, name, address).map_err(|e| format!("{FILE}: folder {e}"))?;
            let token = Token::new(part, BELL, 0);
            poller.add(member.bell(), token, false).map_err(|e| format!("epoll: {e}"))?;
            (listener, replica) = (Some(opened), Some(member));
        }
        let peer = |address| Peer { address, line: None, id: None };
        let peers = config.peers.into_iter().filter(|(other, _)| other != name);
        Ok(Self {
            part,
            listener,
            connections: config.connections.unwrap_or(limits.store.max_connections),
            table: ConnectionSlab::new(part, poller),
            peers: peers.map(|(name, address)| (name, peer(address))).collect(),
            replica,
            view: View::default(),
            turn: 0,
            watchers: HashSet::new(),
            beat_at: now,
            look_at: now,
            changed: VecDeque::new(),
            check: Box::new(|_, _| Ok(())),
            shared: Shared { limits, calls: VecDeque::new(), told: VecDeque::new() },
        })
    }

    /// What a change must pass before it is proposed.
    pub fn check_with(&mut self, check: Check) {
        self.check = check;
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.address().ok())
    }

    /// What a key holds, as far as this daemon knows.
    pub fn get(&self, key: &str) -> Option<&str> {
        match &self.replica {
            Some(replica) => replica.state_machine.get(key).map(|held| &*held.text),
            None => self.view.values.get(key).map(|(_, text)| &**text),
        }
    }

    /// The version of what a key holds, as far as this daemon knows; 0 where it holds nothing.
    pub fn version_of(&self, key: &str) -> Index {
        match &self.replica {
            Some(replica) => replica.state_machine.get(key).map_or(0, |held| held.version),
            None => self.view.values.get(key).map_or(0, |(version, _)| *version),
        }
    }

    /// Keys that begin so, what follows in them, and what they hold, as far as this daemon knows.
    pub fn under<'a>(&'a self, prefix: &'a str) -> Vec<(&'a str, &'a str)> {
        let rest = |key: &'a String| key.strip_prefix(prefix).unwrap_or_default();
        if let Some(replica) = &self.replica {
            replica.state_machine.all(prefix).map(|(k, v)| (rest(k), &*v.text)).collect()
        } else {
            let from = self.view.values.range(prefix.to_string()..);
            let all = from.take_while(|(key, _)| key.starts_with(prefix));
            all.map(|(key, (_, text))| (rest(key), &**text)).collect()
        }
    }

    /// The version of the last change known here, and how old that knowledge is (s); `None` where nothing is known.
    pub fn known(&self, now: Time) -> (Index, Option<Time>) {
        match &self.replica {
            Some(replica) if replica.raft.leader().is_none() => (replica.state_machine.applied(), None),
            Some(replica) => (replica.state_machine.applied(), Some(replica.age_ms(now) as Time / 1000.0)),
            None => (self.view.version, self.view.as_of.map(|at| (now - at).max(0.0))),
        }
    }

    /// The leader's daemon keeps this key's text as it is here.
    pub fn lead_with(&mut self, now: Time, key: &str, text: &str) {
        let Some(replica) = &mut self.replica else { return };
        let same = replica.state_machine.get(key).is_some_and(|held| &*held.text == text);
        if replica.raft.leads() && !same {
            let op = Op { key: key.into(), value: Some(text.into()), expect: None };
            let command = Command { session: 0, serial: 0, ops: vec![op] };
            let mut out = Vec::new();
            replica.propose(now, Token::new(self.part, BELL, 0), &command, &mut out);
            self.carry_out(now, out);
        }
    }

    /// The next key that has changed.
    pub fn take(&mut self) -> Option<String> {
        self.changed.pop_front()
    }

    /// What was read since: calls, words of members, lines of the one that is watched.
    fn heard(&mut self, now: Time) {
        while let Some((token, line)) = self.shared.told.pop_front() {
            self.learn(now, token, line);
        }
        while let Some((token, call)) = self.shared.calls.pop_front() {
            let call = call.and_then(|call| self.checked(call));
            let mut out = Vec::new();
            match (call, &mut self.replica) {
                (Err(why), _) => out.push(Told::Answer(token, wire::error("ERR", &why))),
                (Ok(Call::Hello(hello)), Some(_)) => self.meet(now, token, hello),
                (Ok(Call::Watch(from)), Some(_)) => self.watch(now, token, from),
                (Ok(Call::Status), Some(_)) => {
                    out.push(Told::Answer(token, wire::value(Some(&self.status(now)))));
                }
                (Ok(call), Some(replica)) => call_on(replica, now, token, call, &mut out),
                (Ok(_), None) => out.push(Told::Answer(token, wire::error("ERR", "this one only watches"))),
            }
            self.carry_out(now, out);
        }
    }

    /// What is wrong with a change is said before it is proposed.
    fn checked(&self, call: Call) -> Result<Call, String> {
        if let Call::Change(command) = &call {
            command.validate().map_err(|error| error.to_string())?;
            for op in &command.ops {
                if let Some(text) = &op.value {
                    (self.check)(&op.key, text).map_err(|why| format!("{}: {why}", op.key))?;
                }
            }
        }
        Ok(call)
    }

    fn carry_out(&mut self, now: Time, out: Vec<Told>) {
        for told in out {
            match told {
                Told::Send(message) => {
                    let peer = self.peers.values().find(|peer| peer.id == Some(message.to));
                    let Some(token) = peer.and_then(|peer| peer.line) else { continue };
                    let most = self.shared.limits.engines.max_unwritten_bytes.max(2 * MAX_VALUE_BYTES);
                    let Some(link) = self.table.get(token) else { continue };
                    // One that reads nothing loses messages; the core says them again.
                    if link.channel.queued() < most {
                        link.channel.push(wire::raft(&message));
                        self.table.settle(now, token, Flow::Open, &mut self.shared);
                    }
                }
                Told::Answer(token, bytes) => self.push(now, token, bytes),
                Told::KeyChange(changed) => {
                    self.changed.push_back(changed.key.clone());
                    let line = Arc::new(wire::changed(&changed));
                    for token in self.watching() {
                        self.push_shared(now, token, line.clone());
                    }
                }
                Told::Anew => {
                    let keys =
                        self.replica.iter().flat_map(|r| r.state_machine.all("").map(|(key, _)| key.clone()));
                    self.changed.extend(keys.collect::<Vec<_>>());
                    self.changed.push_back(String::new()); // some may be gone
                    self.watching().into_iter().for_each(|token| self.begin_anew(now, token));
                }
            }
        }
    }

    fn push(&mut self, now: Time, token: Token, bytes: Vec<u8>) {
        self.push_shared(now, token, Arc::new(bytes));
    }

    fn push_shared(&mut self, now: Time, token: Token, bytes: Arc<Vec<u8>>) {
        let Some(link) = self.table.get(token) else { return };
        if link.channel.queued() > self.shared.limits.engines.max_unwritten_bytes.max(2 * MAX_VALUE_BYTES) {
            tracing::info!(
                at = now,
                part = "store",
                "a connection that reads nothing is closed; it may begin anew"
            );
            return self.table.close(now, token, &mut self.shared);
        }
        link.channel.push_shared(bytes);
        self.table.settle(now, token, Flow::Open, &mut self.shared);
    }

    // --- members

    /// Another member has presented itself, on a connection that it opened or that was opened from here.
    fn meet(&mut self, now: Time, token: Token, hello: Hello) {
        let Some(replica) = &mut self.replica else { return };
        let named = self.peers.contains_key(&hello.name);
        if !named && replica.raft.members().values().all(|member| member.name != hello.name) {
            let why = format!("no member and no peer is called {}", hello.name);
            return self.push(now, token, wire::error("REFUSED", &why));
        }
        let own = wire::hello(replica.hello());
        replica.met.insert(hello.name.clone(), hello.clone());
        match self.peers.get_mut(&hello.name).filter(|peer| peer.line == Some(token)) {
            Some(peer) => peer.id = Some(hello.id),
            None => self.push(now, token, own),
        }
    }

    /// Members that the log names and the file does not are reached where the log says.
    fn follow_members(&mut self) {
        let Some(replica) = &self.replica else { return };
        let own = replica.raft.id();
        for (id, member) in replica.raft.members().iter().filter(|(id, _)| **id != own) {
            let Ok(address) = member.address.parse() else { continue };
            let name = member.name.clone();
            let peer = || Peer { address, line: None, id: Some(*id) };
            self.peers.entry(name).or_insert_with(peer);
        }
    }

    fn dial(&mut self) {
        let hello = self.replica.as_ref().map(|replica| wire::hello(replica.hello()));
        for peer in self.peers.values_mut() {
            let up = peer.line.is_some_and(|token| self.table.get(token).is_some());
            let Some(hello) = hello.as_ref().filter(|_| !up) else { continue };
            peer.line = BufferedStream::connect(peer.address).ok().and_then(|mut channel| {
                channel.push(hello.clone());
                self.table.add(|token| Some(Link { channel, token, watches: false })).ok()?
            });
        }
    }

    // --- those that are watched, and those that watch

    fn watching(&self) -> Vec<Token> {
        self.watchers.iter().copied().collect()
    }

    fn watch(&mut self, now: Time, token: Token, from: Index) {
        self.watchers.insert(token);
        let Some(replica) = &self.replica else { return };
        let lines = replica.state_machine.since(from).map(|changes| {
            let mut lines: Vec<u8> = changes.flat_map(wire::changed).collect();
            lines.extend(wire::at(replica.state_machine.applied(), replica.age_ms(now), false));
            lines
        });
        match lines {
            Some(lines) => self.push(now, token, lines),
            None => self.begin_anew(now, token),
        }
    }

    /// Tells a watcher all that there is.
    fn begin_anew(&mut self, now: Time, token: Token) {
        let Some(replica) = &self.replica else { return };
        let (version, age) = (replica.state_machine.applied(), replica.age_ms(now));
        let mut lines = wire::at(version, age, true);
        for (key, held) in replica.state_machine.all("") {
            let value = Some(held.text.clone());
            lines.extend(wire::changed(&KeyChange { version: held.version, key: key.clone(), value }));
        }
        lines.extend(wire::at(version, age, false));
        self.push(now, token, lines);
    }

    /// Tells watchers how far this member is: their knowledge is as old as its last word from a majority.
    fn beat(&mut self, now: Time) {
        self.beat_at = now + BEAT;
        let Some(replica) = &self.replica else { return };
        // One that nobody leads knows nothing new, and says nothing.
        if replica.raft.leader().is_none() || replica.failed.is_some() {
            return;
        }
        let line = Arc::new(wire::at(replica.state_machine.applied(), replica.age_ms(now), false));
        for token in self.watching() {
            self.push_shared(now, token, line.clone());
        }
        let table = &mut self.table;
        self.watchers.retain(|token| table.get(*token).is_some());
    }

    /// A watcher keeps to one member as long as that says how far it is.
    fn keep_watch(&mut self, now: Time) {
        let line = self.peers.values().find_map(|peer| peer.line);
        let up = line.is_some_and(|token| self.table.get(token).is_some());
        if up && now < self.view.until {
            return;
        }
        if let Some(token) = line {
            self.table.close(now, token, &mut self.shared);
        }
        self.peers.values_mut().for_each(|peer| peer.line = None);
        self.turn += 1;
        let turn = self.turn % self.peers.len().max(1);
        let Some(peer) = self.peers.values_mut().nth(turn) else { return };
        self.view.until = now + SILENT;
        let from = self.view.version.to_string();
        peer.line = BufferedStream::connect(peer.address).ok().and_then(|mut channel| {
            channel.push(crate::net::resp::array(&[b"WATCH", from.as_bytes()]));
            self.table.add(|token| Some(Link { channel, token, watches: true })).ok()?
        });
    }

    fn learn(&mut self, now: Time, token: Token, line: Line) {
        if self.peers.values().all(|peer| peer.line != Some(token)) {
            return; // of one that is not watched any more
        }
        match line {
            Line::At(version, _, true) => {
                // What it held may be gone; what is told next says so.
                self.view.version = self.view.version.min(version);
                self.view.stale = Some(self.view.values.keys().cloned().collect());
            }
            Line::At(version, age, false) => {
                for key in self.view.stale.take().into_iter().flatten() {
                    self.view.values.remove(&key);
                    self.changed.push_back(key);
                }
                // One that is behind what is known here tells nothing new.
                if version >= self.view.version {
                    self.view.version = version;
                    self.view.as_of = Some(now - age);
                    self.view.until = now + SILENT;
                }
            }
            Line::KeyChange(changed) => {
                if let Some(stale) = &mut self.view.stale {
                    stale.remove(&changed.key);
                }
                let held = self.view.values.get(&changed.key).map_or(0, |(version, _)| *version);
                let known = held.max(if self.view.stale.is_some() { 0 } else { self.view.version });
                if changed.version <= known {
                    return;
                }
                match changed.value {
                    Some(text) => drop(self.view.values.insert(changed.key.clone(), (changed.version, text))),
                    None => drop(self.view.values.remove(&changed.key)),
                }
                self.changed.push_back(changed.key);
            }
        }
    }

    /// For operators: a line each.
    fn status(&self, now: Time) -> String {
        let mut text = String::new();
        let Some(replica) = &self.replica else { return text };
        let raft = &replica.raft;
        let role = match raft.members().get(&raft.id()) {
            _ if replica.failed.is_some() => "failed",
            _ if raft.leads() => "leader",
            Some(member) if member.votes => "follower",
            Some(_) => "learner",
            None => "outside",
        };
        // Writing to a string does not fail.
        let _ = writeln!(text, "name={} role={role} term={}", replica.hello().name, raft.term());
        let _ = writeln!(text, "leader={}", replica.leader());
        let _ = writeln!(
            text,
            "committed={} applied={} last={} snapshot={}",
            raft.commit(),
            replica.state_machine.applied(),
            raft.last(),
            raft.snapshot().index
        );
        if let Some(index) = raft.changing() {
            // A split may still undo what the lines of members say.
            let _ = writeln!(text, "changing={index}");
        }
        let _ = writeln!(text, "heard_ms={}", replica.age_ms(now));
        for (id, member) in raft.members() {
            let kind = if member.votes { "voter" } else { "learner" };
            let has = raft.matched(*id).map_or("unknown".into(), |index| index.to_string());
            let _ = writeln!(text, "member={} {} {kind} has={has}", member.name, member.address);
        }
        for hello in replica.met.values().filter(|hello| !raft.members().contains_key(&hello.id)) {
            let _ = writeln!(text, "waits={} {}", hello.name, hello.address);
        }
        if let Some(why) = &replica.failed {
            let _ = writeln!(text, "failed={why}");
        }
        text
    }

    /// Figures, by name.
    pub fn figures(&self, now: Time, mut line: impl FnMut(&str, u64)) {
        let (version, age) = self.known(now);
        line("store.version", version);
        match age {
            Some(age) => line("store.age_ms", (age * 1000.0) as u64),
            None => line("store.unknown", 1),
        }
        if let Some(replica) = &self.replica {
            line("store.term", replica.raft.term());
            line("store.leads", u64::from(replica.raft.leads()));
            line("store.failed", u64::from(replica.failed.is_some()));
            line("store.watchers", self.watchers.len() as u64);
        }
    }
}

/// What a member is asked.
fn call_on(replica: &mut Replica, now: Time, token: Token, call: Call, out: &mut Vec<Told>) {
    match call {
        Call::Raft(message) => replica.message(now, *message, out),
        Call::Get(key) => replica.read(now, token, key, false, out),
        Call::Read(key) => replica.read(now, token, key, true, out),
        Call::Change(command) => replica.propose(now, token, &command, out),
        Call::Init => replica.init(now, token, out),
        Call::Add(name) => replica.add(now, token, &name, out),
        Call::Remove(name) => replica.remove(now, token, &name, out),
        Call::HandOver(name) => replica.hand_over(now, token, &name, out),
        Call::Snapshot => {
            replica.snapshot(now, out);
            out.push(Told::Answer(token, b"+OK\r\n".to_vec()));
        }
        Call::Hello(_) | Call::Watch(_) | Call::Status => {}
    }
}

impl EventHandler for Store {
    fn next_deadline(&mut self) -> Option<Time> {
        let beat = (!self.watchers.is_empty()).then_some(self.beat_at);
        [Some(self.look_at), beat, self.replica.as_ref().and_then(Replica::next_deadline)]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    fn on_timer(&mut self, now: Time) {
        let mut out = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.tick(now, &mut out);
        }
        self.carry_out(now, out);
        if self.look_at <= now {
            self.look_at = now + LOOK;
            if self.replica.is_some() {
                self.follow_members();
                self.dial();
            } else {
                self.keep_watch(now);
            }
        }
        if self.beat_at <= now {
            self.beat(now);
        }
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        if ready.token.slot == BELL {
            let mut out = Vec::new();
            if let Some(replica) = &mut self.replica {
                replica.wrote(now, &mut out);
            }
            self.carry_out(now, out);
        } else if let (Acceptor::SLOT, Some(listener)) = (ready.token.slot, &self.listener) {
            while self.table.len() < self.connections {
                let Ok(Some(channel)) = listener.accept() else { break };
                // A connection that cannot be watched is closed again.
                let _ = self.table.add(|token| Some(Link { channel, token, watches: false }));
            }
        } else {
            self.table.on_ready(now, ready, &mut self.shared);
            self.heard(now);
        }
        let room = self.table.len() < self.connections;
        if let Some(listener) = &mut self.listener {
            listener.room(room);
        }
    }
}

impl Connection for Link {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, _: Time, shared: &mut Shared) -> Flow {
        let mut input = std::mem::take(&mut self.channel.input);
        // A member's message holds one entry at least, however large, and its own frame.
        let most = Most { values: wire::VALUES, bytes: MAX_VALUE_BYTES + FRAME };
        let mut at = 0;
        let flow = loop {
            match read(&input[at..], most) {
                Ok(Some((values, length))) => {
                    at += length;
                    if !self.watches {
                        shared.calls.push_back((self.token, wire::decode(&values)));
                    } else if let Some(line) = line(&values) {
                        shared.told.push_back((self.token, line));
                    } else {
                        break Flow::Close;
                    }
                }
                Ok(None) if input.len() - at <= MAX_VALUE_BYTES + FRAME => break Flow::Open,
                // An answer to what was said from here: nothing comes of it.
                Err(_) if matches!(input.get(at), Some(b'-' | b'+')) => break Flow::Close,
                Ok(None) | Err(_) => {
                    let why = format!("malformed, or a value of over {MAX_VALUE_BYTES} bytes");
                    self.channel.push(wire::error("ERR", &why));
                    break Flow::Finish;
                }
            }
        };
        input.drain(..at);
        self.channel.input = input;
        flow
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, _: &mut Shared) {}
}

/// A line of the member that is watched.
fn line(values: &[&[u8]]) -> Option<Line> {
    let texts = values.iter().map(|value| std::str::from_utf8(value).ok()).collect::<Option<Vec<_>>>()?;
    let changed = |version: &str, key: &str, value| {
        let (version, key) = (version.parse().ok()?, key.to_string());
        Some(Line::KeyChange(KeyChange { version, key, value }))
    };
    match texts.as_slice() {
        ["PUT", version, key, text] => changed(version, key, Some((*text).into())),
        ["GONE", version, key] => changed(version, key, None),
        [word @ ("AT" | "ANEW"), version, age] => {
            let age = age.parse::<u64>().ok()? as Time / 1000.0;
            Some(Line::At(version.parse().ok()?, age, *word == "ANEW"))
        }
        _ => None,
    }
}
