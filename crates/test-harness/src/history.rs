//! What clients called and were told, and whether one order of all calls explains it: linearizability, by Wing and
//! Gong's search with Lowe's memory of what was tried (Testing for linearizability, 2017).

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Instant;

/// What a register holds: the version of the last write, and a value.
pub type Held = Option<(u64, String)>;

/// A call on one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Read it.
    Read,
    /// Write it.
    Write(String),
    /// Write it if it still has that version (0: if it holds nothing).
    Swap(u64, String),
}

/// What a client was told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A read.
    Held(Held),
    /// A write was done; what it holds has this version now.
    Done(u64),
    /// It holds another version.
    Other,
}

/// One call of one client. Times are on one clock.
#[derive(Clone, Debug)]
pub struct Op {
    /// When it was called.
    pub called: u64,
    /// When it was answered, and what; `None` where nobody knows whether it was done.
    pub answered: Option<(u64, Answer)>,
    /// What was called.
    pub call: Call,
}

/// What a register may hold. The version is unknown after a write of which nobody was told; it is at least `floor`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    value: Option<String>,
    version: Option<u64>,
    floor: u64,
}

impl State {
    fn with(version: u64, value: &str) -> Self {
        Self { value: Some(value.into()), version: Some(version), floor: version }
    }

    /// Whether its version may be this one.
    fn may_have(&self, version: u64) -> bool {
        self.value.is_some() && self.version.map_or(version >= self.floor, |own| own == version)
    }

    /// After a write; versions grow.
    fn write(&self, value: &str, told: Option<&Answer>) -> Option<Self> {
        match told {
            Some(Answer::Done(version)) => (*version > self.floor).then(|| Self::with(*version, value)),
            Some(_) => None,
            None => Some(Self { value: Some(value.into()), version: None, floor: self.floor + 1 }),
        }
    }

    /// After a call, if the answer fits.
    fn step(&self, call: &Call, told: Option<&Answer>) -> Option<Self> {
        match (call, told) {
            (Call::Read, None) => Some(self.clone()),
            (Call::Read, Some(Answer::Held(None))) => self.value.is_none().then(|| self.clone()),
            (Call::Read, Some(Answer::Held(Some((version, value))))) => {
                let same = self.value.as_ref() == Some(value) && self.may_have(*version);
                same.then(|| Self::with(*version, value))
            }
            (Call::Read, Some(_)) => None,
            (Call::Write(value), _) => self.write(value, told),
            (Call::Swap(expected, value), _) => {
                let empty = self.value.is_none();
                let fits = if *expected == 0 { empty } else { self.may_have(*expected) };
                let surely = if *expected == 0 { empty } else { self.version == Some(*expected) };
                match told {
                    Some(Answer::Other) => (!surely).then(|| self.clone()),
                    Some(_) if !fits => None,
                    Some(_) => Self { floor: (*expected).max(self.floor), ..self.clone() }.write(value, told),
                    None if fits => self.write(value, None),
                    None => Some(self.clone()),
                }
            }
        }
    }
}

/// Whether some order of the calls, in which none comes before one that was answered before it was called, gives all
/// their answers. Calls without an answer may have been done at any time, or never.
///
/// What needs an unanswered call is a later answer; so each is taken just before an answer that does not fit without
/// it, two in a row at the most. Else histories with many of them could not be searched.
#[must_use]
pub fn is_linearizable(ops: &[Op]) -> bool {
    let mut answered: Vec<usize> = (0..ops.len()).filter(|at| ops[*at].answered.is_some()).collect();
    answered.sort_by_key(|at| ops[*at].called);
    let mut unknown: Vec<usize> = (0..ops.len()).filter(|at| ops[*at].answered.is_none()).collect();
    unknown.retain(|at| ops[*at].call != Call::Read);
    unknown.sort_by_key(|at| ops[*at].called);
    let mut search = Search { ops, answered, unknown, done: vec![false; ops.len()], seen: HashSet::new() };
    search.run()
}

/// Calls that are taken together, and the state after.
type Taken = (Vec<usize>, State);

struct Search<'a> {
    ops: &'a [Op],
    answered: Vec<usize>,
    unknown: Vec<usize>,
    done: Vec<bool>,
    /// What was tried: Lowe's memory.
    seen: HashSet<(Vec<u64>, State)>,
}

struct Frame {
    state: State,
    /// The first answered call that is not done yet, by position.
    first: usize,
    next: usize,
    ways: Vec<Taken>,
    took: Vec<usize>,
}

impl Search<'_> {
    /// Depth-first with an own stack: histories are long, and recursion is not.
    fn run(&mut self) -> bool {
        let begin = Frame { state: State::default(), first: 0, next: 0, ways: Vec::new(), took: Vec::new() };
        let mut stack = vec![begin];
        while let Some(frame) = stack.last_mut() {
            while frame.first < self.answered.len() && self.done[self.answered[frame.first]] {
                frame.first += 1;
            }
            if frame.first == self.answered.len() {
                return true;
            }
            frame.next = frame.next.max(frame.first);
            let Some((took, state)) = self.step(frame) else {
                for at in stack.pop().map(|frame| frame.took).unwrap_or_default() {
                    self.done[at] = false;
                }
                continue;
            };
            took.iter().for_each(|at| self.done[*at] = true);
            if self.seen.insert((self.key(), state.clone())) {
                let first = frame.first;
                stack.push(Frame { state, first, next: first, ways: Vec::new(), took });
            } else {
                took.iter().for_each(|at| self.done[*at] = false);
            }
        }
        false
    }

    fn key(&self) -> Vec<u64> {
        self.done.chunks(64).map(|c| c.iter().fold(0, |bits, d| bits << 1 | u64::from(*d))).collect()
    }

    /// The next way on from here.
    fn step(&self, frame: &mut Frame) -> Option<Taken> {
        // Only calls made before the first answer that is still to come may be next.
        let waiting = self.answered[frame.first..].iter().filter(|at| !self.done[**at]);
        let mut earliest = u64::MAX;
        for at in waiting {
            if self.ops[*at].called > earliest {
                break;
            }
            earliest = earliest.min(self.ops[*at].answered.as_ref().map_or(u64::MAX, |(at, _)| *at));
        }
        loop {
            if let Some(way) = frame.ways.pop() {
                return Some(way);
            }
            let at = *self.answered.get(frame.next)?;
            if self.ops[at].called > earliest {
                return None;
            }
            frame.next += 1;
            if !self.done[at] {
                frame.ways = self.ways(&frame.state, at, earliest, 2);
            }
        }
    }

    /// How an answered call may come after this state: at once, or after calls that were not answered.
    fn ways(&self, state: &State, at: usize, earliest: u64, more: usize) -> Vec<Taken> {
        let Op { call, answered, .. } = &self.ops[at];
        if let Some(after) = state.step(call, answered.as_ref().map(|(_, answer)| answer)) {
            return vec![(vec![at], after)];
        }
        let mut ways = Vec::new();
        let open = self.unknown.iter().filter(|u| !self.done[**u] && self.ops[**u].called <= earliest);
        for unknown in open.filter(|_| more > 0) {
            let Some(between) = state.step(&self.ops[*unknown].call, None).filter(|s| s != state) else {
                continue;
            };
            for (mut took, after) in self.ways(&between, at, earliest, more - 1) {
                if !took.contains(unknown) {
                    took.push(*unknown);
                    ways.push((took, after));
                }
            }
        }
        ways
    }
}

/// A clock for the times of a history, shared by all clients.
#[derive(Clone, Copy, Debug)]
pub struct Watch(Instant);

impl Default for Watch {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Watch {
    /// Nanoseconds since its start.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_nanos() as u64
    }
}
