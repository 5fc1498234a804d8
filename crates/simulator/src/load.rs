//! The load tool's core, without I/O or clock: which request goes out when, and what its answer counts.
//!
//! Latency runs from the point at which a request was to be sent, whether or not it could be. A server that stands
//! still for two seconds then shows as requests that took up to two seconds, in the number in which they were due;
//! a tool that waits for its answers before it asks again would show one slow request and many that never were
//! (coordinated omission). [`Mode::Closed`] is that tool, to compare with.

use crate::{seconds, Micros};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::VecDeque;

/// Whether answers hold requests up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Requests are due when the schedule says.
    Open,
    /// Each connection asks again as soon as it has its answer, but no sooner than the schedule says.
    Closed,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Served,
    /// Turned away; a word on when to come back (us), if there was one.
    Refused(Option<Micros>),
    /// Failed, or the connection ended.
    Failed,
}

/// What clients do when they are turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Manner {
    /// Give up.
    GiveUp,
    /// Try again at once.
    AtOnce,
    /// Try again when they were told to, or after 100 ms.
    AsTold,
}

/// Pause where no time was told (us).
const UNTOLD: Micros = 100_000;
/// The tool itself is late when a request goes out so long after its time with a connection free (us).
pub const LATE: Micros = 10_000;

/// A try that is to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number of the request.
    pub request: usize,
    /// The connection that it goes by.
    pub connection: usize,
    /// Number of the try, from 0.
    pub again: u32,
}

struct Request {
    due: Micros,
    tries: u32,
    over: bool,
}

/// Requests of one class.
#[derive(Debug, Serialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Requests that were due.
    pub due: usize,
    /// Of those, served.
    pub served: usize,
    /// Turned away at last.
    pub refused: usize,
    /// Failed, or without an answer at the end.
    pub failed: usize,
    /// Quantiles of the time to the end of the served ones (ms): 0.5, 0.9, 0.99, 0.999, the longest.
    pub millis: [f64; 5],
}

/// Times of those that were served.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        // Up to an hour, in microseconds, to three digits.
        Self(
            Histogram::new_with_max(3_600_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are good")),
        )
    }

    fn millis(&self) -> [f64; 5] {
        let at = |q: f64| seconds(self.0.value_at_quantile(q)) * 1000.0;
        [at(0.5), at(0.9), at(0.99), at(0.999), seconds(self.0.max()) * 1000.0]
    }
}

/// What a run came to.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// By class, where there are several.
    pub groups: Vec<Group>,
    /// Requests that were due; each counts once, however often it was tried.
    pub due: usize,
    /// Of those, served.
    pub served: usize,
    /// Turned away at last.
    pub refused: usize,
    /// Failed, or without an answer at the end.
    pub failed: usize,
    /// Tries in all.
    pub tries: usize,
    /// Quantiles of the time to the end of the served ones (ms): 0.5, 0.9, 0.99, 0.999, the longest.
    pub millis: [f64; 5],
    /// How much later than it should have been a request went out by the tool's own fault (ms), at the most.
    pub late_ms: f64,
    /// Requests of which that is true.
    pub late: usize,
    /// The figures say nothing: the tool was late for more than one request in a thousand, or short of connections.
    pub void: bool,
    /// Requests that found no connection free, however many there may be.
    pub starved: usize,
}

/// Which request goes out when.
pub struct Driver {
    mode: Mode,
    manner: Manner,
    most_tries: u32,
    requests: Vec<Request>,
    /// The next that has not come due.
    next: usize,
    /// Due, and waiting for a connection: request, and since when it has been due as a try.
    line: VecDeque<(usize, Micros)>,
    /// To be tried again, by time.
    later: Vec<(Micros, usize)>,
    free: Vec<usize>,
    open: usize,
    times: Times,
    /// By class: its figures and times.
    groups: Vec<(Group, Times)>,
    /// The class of each request.
    of: Vec<usize>,
    summary: Summary,
    /// A connection has been free at all times since then.
    free_since: Micros,
}

impl Driver {
    /// For that schedule, with so many connections at the most.
    #[must_use]
    pub fn new(schedule: &[Micros], mode: Mode, manner: Manner, connections: usize) -> Self {
        let requests = schedule.iter().map(|due| Request { due: *due, tries: 0, over: false }).collect();
        let summary = Summary {
            groups: Vec::new(),
            due: schedule.len(),
            served: 0,
            refused: 0,
            failed: 0,
            tries: 0,
            millis: [0.0; 5],
            late_ms: 0.0,
            late: 0,
            void: false,
            starved: 0,
        };
        Self {
            mode,
            manner,
            most_tries: 5,
            requests,
            next: 0,
            line: VecDeque::new(),
            later: Vec::new(),
            free: (0..connections).rev().collect(),
            open: 0,
            times: Times::new(),
            groups: Vec::new(),
            of: Vec::new(),
            summary,
            free_since: 0,
        }
    }

    /// Counts by class as well: names, and the class of each request by position.
    #[must_use]
    pub fn by_class(mut self, names: Vec<String>, of: Vec<usize>) -> Self {
        let empty = |name| Group { name, due: 0, served: 0, refused: 0, failed: 0, millis: [0.0; 5] };
        self.groups = names.into_iter().map(|name| (empty(name), Times::new())).collect();
        of.iter().for_each(|class| self.groups[*class].0.due += 1);
        self.of = of;
        self
    }

    /// When something is due next by itself.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let due = self.requests.get(self.next).map(|r| r.due);
        self.later.iter().map(|l| l.0).chain(due).min()
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.next == self.requests.len() && self.line.is_empty() && self.later.is_empty() && self.open == 0
    }

    /// What is to be sent now.
    pub fn poll(&mut self, now: Micros) -> Vec<Order> {
        while let Some(due) = self.requests.get(self.next).map(|r| r.due).filter(|due| *due <= now) {
            self.line.push_back((self.next, due));
            self.next += 1;
        }
        self.later.sort_unstable();
        let ready = self.later.partition_point(|(at, _)| *at <= now);
        self.line.extend(self.later.drain(..ready).map(|(at, request)| (request, at)));
        let mut orders = Vec::new();
        while let (Some((request, due)), true) = (self.line.front().copied(), !self.free.is_empty()) {
            self.line.pop_front();
            let Some(connection) = self.free.pop() else { break };
            let state = &mut self.requests[request];
            // It is the tool's own fault only as far as a connection was free.
            let late = now - due.max(self.free_since).min(now);
            if late > LATE {
                self.summary.late += 1;
                self.summary.late_ms = self.summary.late_ms.max(late as f64 / 1000.0);
            }
            if self.mode == Mode::Closed && state.tries == 0 {
                state.due = now;
            }
            orders.push(Order { request, connection, again: state.tries });
            state.tries += 1;
            self.summary.tries += 1;
            self.open += 1;
        }
        if !self.line.is_empty() && self.free.is_empty() {
            self.summary.starved += 1;
        }
        orders
    }

    /// An answer has come, whole.
    pub fn answered(&mut self, now: Micros, order: Order, ending: Ending) {
        if self.free.is_empty() {
            self.free_since = now;
        }
        self.free.push(order.connection);
        self.open -= 1;
        let state = &mut self.requests[order.request];
        if std::mem::replace(&mut state.over, true) {
            return; // it was counted
        }
        match ending {
            Ending::Served => {
                self.summary.served += 1;
                self.times.0.saturating_record(now - state.due);
                if let Some((group, times)) =
                    self.of.get(order.request).and_then(|at| self.groups.get_mut(*at))
                {
                    group.served += 1;
                    times.0.saturating_record(now - state.due);
                }
            }
            Ending::Refused(wait) if self.manner != Manner::GiveUp && state.tries < self.most_tries => {
                state.over = false;
                let pause = if self.manner == Manner::AtOnce { 0 } else { wait.unwrap_or(UNTOLD) };
                self.later.push((now + pause, order.request));
            }
            Ending::Refused(_) => {
                self.summary.refused += 1;
                if let Some((group, _)) = self.of.get(order.request).and_then(|at| self.groups.get_mut(*at)) {
                    group.refused += 1;
                }
            }
            Ending::Failed => self.summary.failed += 1,
        }
    }

    /// What it came to. Whatever has no answer by now has failed.
    #[must_use]
    pub fn summary(mut self) -> Summary {
        let ended = self.summary.served + self.summary.refused + self.summary.failed;
        self.summary.failed += self.summary.due - ended;
        self.summary.millis = self.times.millis();
        let close = |(group, times): (Group, Times)| Group {
            failed: group.due - group.served - group.refused,
            millis: times.millis(),
            ..group
        };
        self.summary.groups = self.groups.into_iter().map(close).collect();
        let open = self.mode == Mode::Open;
        self.summary.void = 1000 * self.summary.late > self.summary.due || open && self.summary.starved > 0;
        self.summary
    }
}
