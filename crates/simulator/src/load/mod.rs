//! The core of the load generator, without I/O or a clock: which request is sent when, and how its answer is
//! counted.
//!
//! Latency is measured from the time at which a request was due, whether or not it could be sent then. A
//! server that stalls for two seconds thus shows as all the requests that were due in that time, with
//! latencies of up to two seconds; a generator that waits for an answer before it sends again would show one
//! slow request and omit the others (coordinated omission). [`Mode::Closed`] is such a generator, for
//! comparison.

mod summary;

pub use summary::{ClassSummary, Summary};

use crate::Micros;
use std::collections::VecDeque;
use summary::Latencies;

/// Whether answers delay requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Requests are sent at their scheduled times.
    Open,
    /// Each connection sends again as soon as it has its answer, but not before the scheduled time.
    Closed,
}

/// The answer of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Served.
    Served,
    /// Rejected, with its Retry-After (us) if there was one.
    Rejected(Option<Micros>),
    /// Failed, or the connection ended.
    Failed,
}

/// What clients do after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RetryBehaviour {
    /// Give up.
    GiveUp,
    /// Retry immediately.
    #[value(name = "at-once")]
    Immediately,
    /// Retry after the time in Retry-After, or after 100 ms if there is none.
    #[value(name = "as-told")]
    HonourRetryAfter,
}

/// Delay before a retry without a Retry-After (us).
const DEFAULT_RETRY_DELAY: Micros = 100_000;
/// Maximum number of tries of one request.
const MAX_TRIES: u32 = 5;
/// The generator counts as late if a request is sent more than this long after it was due and a connection
/// was free (us).
pub const MAX_SEND_DELAY: Micros = 10_000;
/// One request in this many may be late because of the generator itself.
const LATE_TOLERANCE: usize = 1000;

/// A try that is to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingTry {
    /// Number of the request.
    pub request: usize,
    /// The connection to send it on.
    pub connection: usize,
    /// Number of earlier tries of the request.
    pub retry: u32,
}

struct Request {
    due: Micros,
    tries: u32,
    done: bool,
}

/// A try that is not due yet or waits for a connection. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingTry {
    due: Micros,
    request: usize,
}

/// The figures of one class.
struct ClassFigures {
    summary: ClassSummary,
    latencies: Latencies,
}

impl ClassFigures {
    fn new(name: String) -> Self {
        Self { summary: ClassSummary::new(name), latencies: Latencies::new() }
    }

    fn into_summary(self) -> ClassSummary {
        let summary = self.summary;
        ClassSummary {
            failed: summary.due - summary.served - summary.rejected,
            millis: self.latencies.millis(),
            ..summary
        }
    }
}

/// Decides which request is sent when, and counts answers.
pub struct Driver {
    mode: Mode,
    behaviour: RetryBehaviour,
    requests: Vec<Request>,
    /// The first request that is not due yet.
    next: usize,
    /// Tries that are due and wait for a connection.
    queue: VecDeque<WaitingTry>,
    /// Retries that are due later.
    retries: Vec<WaitingTry>,
    /// Connections without a try in flight.
    free: Vec<usize>,
    /// Number of tries that wait for an answer.
    open: usize,
    latencies: Latencies,
    classes: Vec<ClassFigures>,
    /// The class of each request, if figures are kept by class.
    class_of: Vec<usize>,
    summary: Summary,
    /// The time since which at least one connection has always been free (us).
    free_since: Micros,
}

impl Driver {
    /// Creates a driver for a schedule of due times, with at most this number of connections.
    #[must_use]
    pub fn new(schedule: &[Micros], mode: Mode, behaviour: RetryBehaviour, connections: usize) -> Self {
        let requests = schedule.iter().map(|due| Request { due: *due, tries: 0, done: false }).collect();
        Self {
            mode,
            behaviour,
            requests,
            next: 0,
            queue: VecDeque::new(),
            retries: Vec::new(),
            free: (0..connections).rev().collect(),
            open: 0,
            latencies: Latencies::new(),
            classes: Vec::new(),
            class_of: Vec::new(),
            summary: Summary { due: schedule.len(), ..Summary::default() },
            free_since: 0,
        }
    }

    /// Also keeps figures by class, from the names of the classes and the class of each request.
    #[must_use]
    pub fn by_class(mut self, names: Vec<String>, class_of: Vec<usize>) -> Self {
        self.classes = names.into_iter().map(ClassFigures::new).collect();
        for class in &class_of {
            self.classes[*class].summary.due += 1;
        }
        self.class_of = class_of;
        self
    }

    /// When the next request or retry is due (us).
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        let due = self.requests.get(self.next).map(|request| request.due);
        self.retries.iter().map(|retry| retry.due).chain(due).min()
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.next == self.requests.len() && self.queue.is_empty() && self.retries.is_empty() && self.open == 0
    }

    /// The tries to send now.
    pub fn poll(&mut self, now: Micros) -> Vec<OutgoingTry> {
        self.queue_due_tries(now);
        let mut sends = Vec::new();
        while !self.queue.is_empty() {
            let Some(connection) = self.free.pop() else { break };
            let Some(waiting) = self.queue.pop_front() else { break };
            sends.push(self.send(now, waiting, connection));
        }
        if !self.queue.is_empty() && self.free.is_empty() {
            self.summary.starved += 1;
        }
        sends
    }

    fn queue_due_tries(&mut self, now: Micros) {
        while let Some(due) =
            self.requests.get(self.next).map(|request| request.due).filter(|due| *due <= now)
        {
            self.queue.push_back(WaitingTry { due, request: self.next });
            self.next += 1;
        }
        self.retries.sort_unstable();
        let due = self.retries.partition_point(|retry| retry.due <= now);
        self.queue.extend(self.retries.drain(..due));
    }

    fn send(&mut self, now: Micros, waiting: WaitingTry, connection: usize) -> OutgoingTry {
        let state = &mut self.requests[waiting.request];
        // The generator itself is late only for the time in which a connection was free.
        let late = now - waiting.due.max(self.free_since).min(now);
        if late > MAX_SEND_DELAY {
            self.summary.late += 1;
            self.summary.late_ms = self.summary.late_ms.max(late as f64 / 1000.0);
        }
        if self.mode == Mode::Closed && state.tries == 0 {
            state.due = now;
        }
        let outgoing = OutgoingTry { request: waiting.request, connection, retry: state.tries };
        state.tries += 1;
        self.summary.tries += 1;
        self.open += 1;
        outgoing
    }

    /// The complete answer of a try has arrived.
    pub fn answered(&mut self, now: Micros, outgoing: OutgoingTry, response: Response) {
        if self.free.is_empty() {
            self.free_since = now;
        }
        self.free.push(outgoing.connection);
        self.open -= 1;
        let state = &mut self.requests[outgoing.request];
        if std::mem::replace(&mut state.done, true) {
            return; // already counted
        }
        match response {
            Response::Served => {
                let latency = now - state.due;
                self.request_served(outgoing.request, latency);
            }
            Response::Rejected(retry_after)
                if self.behaviour != RetryBehaviour::GiveUp && state.tries < MAX_TRIES =>
            {
                state.done = false;
                self.schedule_retry(now, outgoing.request, retry_after);
            }
            Response::Rejected(_) => {
                self.summary.rejected += 1;
                if let Some(class) = self.class_figures(outgoing.request) {
                    class.summary.rejected += 1;
                }
            }
            Response::Failed => self.summary.failed += 1,
        }
    }

    fn request_served(&mut self, request: usize, latency: Micros) {
        self.summary.served += 1;
        self.latencies.record(latency);
        if let Some(class) = self.class_figures(request) {
            class.summary.served += 1;
            class.latencies.record(latency);
        }
    }

    fn schedule_retry(&mut self, now: Micros, request: usize, retry_after: Option<Micros>) {
        let delay = match self.behaviour {
            RetryBehaviour::Immediately => 0,
            _ => retry_after.unwrap_or(DEFAULT_RETRY_DELAY),
        };
        self.retries.push(WaitingTry { due: now + delay, request });
    }

    fn class_figures(&mut self, request: usize) -> Option<&mut ClassFigures> {
        self.class_of.get(request).and_then(|class| self.classes.get_mut(*class))
    }

    /// The results of the run. Requests without an answer by now have failed.
    #[must_use]
    pub fn summary(mut self) -> Summary {
        let ended = self.summary.served + self.summary.rejected + self.summary.failed;
        self.summary.failed += self.summary.due - ended;
        self.summary.millis = self.latencies.millis();
        self.summary.classes = self.classes.into_iter().map(ClassFigures::into_summary).collect();
        let was_late = LATE_TOLERANCE * self.summary.late > self.summary.due;
        let was_starved = self.mode == Mode::Open && self.summary.starved > 0;
        self.summary.void = was_late || was_starved;
        self.summary
    }
}
