//! Requests, attempts and outcomes.
//!
//! The core connects the listeners, the upstreams and the policy. It passes events to the policy, executes
//! the actions that the policy returns, and ensures that every request gets one final answer and every
//! attempt one end. It is independent of wire protocols: listeners decode requests and encode answers,
//! upstreams run attempts.
//!
//! The daemon calls it from the event loop, passing the current time and the [`Route`]s each time.

mod actions;
mod attempt;
mod counters;
mod derived_classes;
mod fixed_settings;
mod order_locks;
mod request;
mod request_table;
mod route;
mod trace;

pub use attempt::{Attempt, AttemptOutcome, AttemptReport, Upstream, UpstreamEvent};
pub use counters::{Answers, Counters};
pub use fixed_settings::FixedSettingsError;
pub use request::{
    Answer, Listener, ListenerEvent, LongParameter, ParameterValue, QueryPayload, Request, ResultParts,
};
pub use route::Route;
pub use trace::Trace;

use crate::net::{Time, TimerQueue};
use crate::order_lock::{ticket::Ticket, OrderLocks};
use crate::request_ids::RequestIds;
use dahliaspoke::policy::{
    Action, AttemptEnd, EngineEntry, EngineId, Event, ListScope, OrderLock, Outcome, Policy, Progress, Query,
    RequestId, Settings,
};
use dahliaspoke_body_store::plan::BodyId;
use derived_classes::DerivedClasses;
use fixed_settings::FixedSettings;
use request_table::{AttemptId, RequestState, RequestStatus, RequestTable};
use std::collections::VecDeque;
use trace::EngineTotals;

/// Interval between trace lines with the sums over all engines (s).
const TOTALS_INTERVAL: Time = 1.0;

/// An event on the core's timer queue.
enum TimerEvent {
    /// A timer that the policy set, with its token.
    Policy(u64),
    /// An attempt times out.
    AttemptDeadline(AttemptId),
    /// Requests that wait for the lock of their key are checked.
    OrderLockPoll,
    /// The key is no longer paused, and its lock is released.
    OrderLockRelease(Ticket),
}

/// What the processes of an upgrade know of each other's requests.
pub struct SharedLocks {
    /// The locks of order keys.
    pub order_locks: OrderLocks,
    /// The ids of requests that may have run.
    pub request_ids: RequestIds,
}

impl SharedLocks {
    /// Opens the files that the processes share; `shares_clients`: whether there may be another process.
    pub fn open(shares_clients: bool) -> Self {
        if shares_clients {
            Self { order_locks: OrderLocks::open(), request_ids: RequestIds::open_shared() }
        } else {
            Self { order_locks: OrderLocks::unshared(), request_ids: RequestIds::default() }
        }
    }
}

/// The state of all requests, and the policy that decides on them.
pub struct Core {
    policy: Policy,
    fixed_settings: FixedSettings,
    /// Whether bodies may be passed through: forwarded to the engine as they arrive instead of being stored.
    may_pass_through: bool,
    derived_classes: DerivedClasses,
    requests: RequestTable,
    /// The locks of order keys among the processes of an upgrade.
    order_locks: OrderLocks,
    request_ids: RequestIds,
    /// Whether [`TimerEvent::OrderLockPoll`] is set.
    polls_order_locks: bool,
    timers: TimerQueue<TimerEvent>,
    /// Events that the policy has not handled yet.
    events: VecDeque<Event>,
    /// Empty between events; reused to avoid reallocation.
    actions: Vec<Action>,
    /// Counts since the start.
    pub counters: Counters,
    trace: Trace,
    /// When the sums over all engines are next written to the trace.
    next_totals: Time,
}

impl Core {
    /// Creates a core without engines. `seed` is the seed of the policy's random numbers;
    /// `may_pass_through`: whether bodies may be passed through instead of being stored.
    pub fn new(
        mut settings: Settings,
        seed: u64,
        may_pass_through: bool,
        shared: SharedLocks,
        trace: Trace,
    ) -> Self {
        let SharedLocks { order_locks, request_ids } = shared;
        let answers = vec![Answers::default(); settings.classes.len()];
        let fixed_settings = FixedSettings::of(&settings);
        let derived_classes = DerivedClasses::append_to(&mut settings, may_pass_through);
        Self {
            policy: Policy::new(settings, seed),
            fixed_settings,
            may_pass_through,
            derived_classes,
            requests: RequestTable::default(),
            order_locks,
            request_ids,
            polls_order_locks: false,
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters { answers, ..Counters::default() },
            trace,
            next_totals: 0.0,
        }
    }

    /// When [`Core::on_timer`] must be called next; `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Whether an engine is currently ejected.
    pub fn is_ejected(&self, engine: &EngineId) -> bool {
        self.policy.engine(engine).is_some_and(|status| status.ejected)
    }

    /// Number of requests that still need an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.open_count()
    }

    /// Answers all open requests at once, since the process exits before they would complete.
    pub fn shut_down(&mut self, now: Time, routes: &mut [Route]) {
        self.feed(now, Event::Shutdown, routes);
    }

    /// Returns a function that checks whether settings can be applied in service, without borrowing the core.
    pub fn settings_check(&self) -> impl Fn(&Settings) -> Result<(), FixedSettingsError> + 'static {
        let fixed_settings = self.fixed_settings.clone();
        move |settings| fixed_settings.check(settings)
    }

    /// Applies new settings. The policy keeps its learned statistics, and open requests keep their deadlines.
    ///
    /// # Errors
    /// Names the part of the settings that cannot change in service.
    pub fn apply_settings(
        &mut self,
        now: Time,
        mut settings: Settings,
        routes: &mut [Route],
    ) -> Result<(), FixedSettingsError> {
        self.fixed_settings.check(&settings)?;
        self.derived_classes = DerivedClasses::append_to(&mut settings, self.may_pass_through);
        self.feed(now, Event::Settings(Box::new(settings)), routes);
        Ok(())
    }

    /// Passes a list of engines, or changes to the list, to the policy.
    pub fn update_engines(
        &mut self,
        now: Time,
        scope: ListScope,
        entries: Vec<EngineEntry>,
        routes: &mut [Route],
    ) {
        self.feed(now, Event::EngineList(scope, entries), routes);
    }

    /// Handles an event from a listener.
    pub fn on_listener_event(&mut self, now: Time, event: ListenerEvent, routes: &mut [Route]) {
        match event {
            ListenerEvent::Request(request) => self.receive(now, request, routes),
            ListenerEvent::Rejected(class) => {
                self.counters.received += 1;
                self.counters.answers[class].rejected += 1;
            }
            ListenerEvent::ClientGone(id) => {
                if self.withdraw(&id) {
                    self.feed(now, Event::ClientGone { id: id.clone() }, routes);
                    self.remove_finished(now, &id);
                }
            }
        }
    }

    /// Handles the loss of bytes of a stored body: the request that it belongs to gets no further attempt.
    pub fn on_body_dropped(&mut self, now: Time, body: BodyId, routes: &mut [Route]) {
        if let Some(id) = self.requests.find_by_body(body).cloned() {
            self.feed(now, Event::BodyDropped { id }, routes);
        }
    }

    /// Handles an event from an upstream.
    pub fn on_upstream_event(&mut self, now: Time, event: UpstreamEvent, routes: &mut [Route]) {
        match event {
            UpstreamEvent::AttemptEnd { id, attempt, outcome, report } => {
                let attempt = AttemptId { request: id, number: attempt };
                self.on_attempt_end(now, attempt, outcome, report, routes);
            }
            UpstreamEvent::Progress { id, attempt, progress } => {
                let attempt = AttemptId { request: id, number: attempt };
                self.on_progress(now, attempt, progress, routes);
            }
        }
    }

    /// Sets a timer. Those of requests and attempts that have ended are removed now and then: clients choose how
    /// far ahead they are, and how many.
    fn set_timer(&mut self, at: Time, event: TimerEvent) {
        self.timers.set(at, event);
        let (policy, requests) = (&self.policy, &self.requests);
        self.timers.discard_stale(|event| match event {
            TimerEvent::Policy(token) => policy.needs_timer(*token),
            TimerEvent::AttemptDeadline(attempt) => requests.is_running(attempt),
            TimerEvent::OrderLockPoll | TimerEvent::OrderLockRelease(_) => true,
        });
    }

    /// Handles the timers that are due.
    pub fn on_timer(&mut self, now: Time, routes: &mut [Route]) {
        if now >= self.next_totals {
            self.next_totals = now + TOTALS_INTERVAL;
            self.trace.engine_totals(now, || engine_totals(&self.policy));
        }
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Policy(token) => self.feed(now, Event::Timer(token), routes),
                TimerEvent::AttemptDeadline(attempt) => self.on_attempt_deadline(now, attempt, routes),
                TimerEvent::OrderLockPoll => self.poll_order_locks(now, routes),
                TimerEvent::OrderLockRelease(ticket) => self.order_locks.release(ticket),
            }
        }
    }

    fn receive(&mut self, now: Time, request: Request, routes: &mut [Route]) {
        self.counters.received += 1;
        self.trace.request_received(now, &request);
        // A request with the id of one that is open or may have run fails: it must not run again, and the policy and
        // the engines know requests by this id.
        let is_open = self.requests.get(&request.id).is_some();
        if is_open || !self.request_ids.begin(now, &request.id) {
            self.counters.answers[request.class].count(&Answer::Failed);
            routes[request.route].listener.answer(now, &request.id, Answer::Failed);
            return;
        }
        let mut query = self.query(now, &request);
        query.order_lock = self.acquire_order_lock(now, &query);
        self.requests.insert(request.id.clone(), RequestState::new(request));
        self.feed(now, Event::Query(query), routes);
    }

    /// The policy's view of a request.
    fn query(&self, now: Time, request: &Request) -> Query {
        Query {
            id: request.id.clone(),
            class: self.derived_classes.class_of(request),
            tenant: request.tenant,
            key: request.order_key.clone(),
            time_left: request.deadline - now,
            work: request.estimated_work,
            memory: request.estimated_memory,
            tables: request.table_group,
            uploading: request.uploading,
            order_lock: OrderLock::NotShared,
        }
    }

    /// Closes a request whose client has disconnected. Returns false if it was not open.
    fn withdraw(&mut self, id: &RequestId) -> bool {
        let was_open = self.requests.close(id, RequestStatus::Withdrawn).is_some();
        self.counters.withdrawn += u64::from(was_open);
        was_open
    }

    fn on_attempt_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: AttemptReport,
        routes: &mut [Route],
    ) {
        if !self.requests.end_attempt(&attempt) {
            return;
        }
        let policy_outcome = outcome.for_policy();
        if let AttemptOutcome::Served(parts) = outcome {
            self.answer(now, &attempt.request, Answer::Served(parts), routes);
        }
        self.feed_attempt_end(now, attempt, policy_outcome, report, routes);
    }

    fn on_progress(&mut self, now: Time, attempt: AttemptId, progress: Progress, routes: &mut [Route]) {
        if !self.requests.is_running(&attempt) {
            return;
        }
        self.counters.progress_reports += 1;
        self.trace.progress(now, &attempt, progress);
        let AttemptId { request: id, number: attempt } = attempt;
        self.feed(now, Event::Progress { id, attempt, progress }, routes);
    }

    fn on_attempt_deadline(&mut self, now: Time, attempt: AttemptId, routes: &mut [Route]) {
        if !self.requests.end_attempt(&attempt) {
            return;
        }
        let unsent = self.abandon(now, &attempt, routes);
        let outcome = if unsent { Outcome::Unsent } else { Outcome::Timeout };
        self.feed_attempt_end(now, attempt, outcome, AttemptReport::default(), routes);
    }

    /// Has the upstream abandon an attempt. Returns whether none of its bytes were sent.
    fn abandon(&self, now: Time, attempt: &AttemptId, routes: &mut [Route]) -> bool {
        let route = self.requests.get(&attempt.request).map_or(0, |request| request.route);
        routes[route].upstream.abandon(now, &attempt.request, attempt.number)
    }

    /// Reports the end of an attempt to the policy.
    fn feed_attempt_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        report: AttemptReport,
        routes: &mut [Route],
    ) {
        let id = attempt.request.clone();
        let event = self.attempt_end(now, attempt, outcome, report);
        self.feed(now, event, routes);
        self.remove_finished(now, &id);
    }

    /// Removes a request if it is finished.
    fn remove_finished(&mut self, now: Time, id: &RequestId) {
        if let Some(request) = self.requests.remove_finished(id) {
            self.request_ids.end(now, id, request.may_have_run);
        }
    }

    /// Counts an attempt's end and returns the event that reports it to the policy.
    fn attempt_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: Outcome,
        report: AttemptReport,
    ) -> Event {
        self.counters.count_attempt(outcome);
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.may_have_run |= !outcome.never_ran();
        }
        self.trace.attempt_ended(now, &attempt, outcome, report);
        let finished = !self.requests.is_open(&attempt.request);
        let AttemptId { request: id, number: attempt } = attempt;
        let AttemptReport { work, memory, load } = report;
        Event::AttemptEnded(AttemptEnd { id, attempt, outcome, finished, work, memory, report: load })
    }

    /// Sends a request its final answer, unless it is closed.
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer, routes: &mut [Route]) {
        let Some(request) = self.requests.close(id, RequestStatus::Answered) else { return };
        self.counters.answers[request.class].count(&answer);
        self.trace.answered(now, id, &answer);
        routes[request.route].listener.answer(now, id, answer);
    }
}

/// Sums over the policy's engines.
fn engine_totals(policy: &Policy) -> EngineTotals {
    let mut totals = EngineTotals::default();
    for engine in policy.engines() {
        totals.bounds += engine.bound;
        totals.backlog += engine.backlog;
        totals.ejected += u32::from(engine.ejected);
    }
    totals
}
