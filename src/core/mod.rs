//! Requests, attempts and outcomes. The core carries out what the decision module asks for and sees to it
//! that every request gets one final answer and every attempt one end. It knows no wire: fronts bring
//! requests and take answers, links run attempts.

mod counters;
mod trace;

pub use counters::{Answers, Counters};
pub use trace::Trace;

use crate::net::{Time, TimerQueue};
use dahliaspoke::policy::Policy;
use dahliaspoke::policy::*;
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::spool::Body;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What an engine is to run, as the front took it and the link sends it; opaque here.
#[derive(Clone, Debug, Default)]
pub struct QueryPayload {
    pub class: Arc<str>,
    pub statement: Arc<[u8]>,
    /// Arguments of a prepared statement.
    pub arguments: Option<Arc<[u8]>>,
    /// What the spool has: the statement, or what follows the arguments above where there are any.
    pub body: Option<Body>,
    /// Parameters whose values came ahead of the execution, by position.
    pub long: Vec<(u16, Value)>,
    /// The client's idempotency key.
    pub key: Option<Arc<str>>,
}

/// A value that came by itself.
#[derive(Clone, Debug)]
pub enum Value {
    Here(Arc<[u8]>),
    Spool(Body),
}

impl QueryPayload {
    /// Whether that body is a part of it.
    fn has(&self, body: BodyId) -> bool {
        let long = self.long.iter().any(|(_, value)| matches!(value, Value::Spool(b) if b.id() == body));
        long || self.body.as_ref().is_some_and(|b| b.id() == body)
    }
}

/// A request that a front has taken.
#[derive(Clone, Debug)]
pub struct Request {
    /// Which door it came in by.
    pub route: usize,
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings, where it belongs to one.
    pub tenant: Option<usize>,
    /// Requests of a class that keeps order run one at a time where this is the same.
    pub order: Option<Arc<str>>,
    /// When the client gives up.
    pub deadline: Time,
    /// Estimated work (ms of one thread).
    pub estimate: Option<f64>,
    /// Estimated memory (MB).
    pub memory: Option<f64>,
    /// Group of tables that it reads or writes.
    pub tables: i64,
    /// Its body is passed on as it comes and not kept: it must not run twice, whatever its class.
    pub uploading: bool,
    pub work: QueryPayload,
}

/// A result's parts in order, as the link received them.
pub type ResultParts = Vec<Vec<u8>>;

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    Served(ResultParts),
    /// Not served; trying again is harmless, after so many seconds.
    Rejected(Option<f64>),
    /// Not served; it may have run.
    Failed,
}

/// An attempt that a link is to run.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: RequestId,
    pub attempt: u32,
    pub engine: EngineId,
    /// When the coordinator stops waiting.
    pub deadline: Time,
    /// When its first byte must have gone out, or it is not sent at all.
    pub begins_by: Time,
    /// Memory granted (MB).
    pub memory: Option<f64>,
    /// Priority, 0 to 3.
    pub rank: u8,
    pub work: QueryPayload,
}

/// How a link saw an attempt end.
#[derive(Debug)]
pub enum AttemptOutcome {
    Served(ResultParts),
    /// The engine said that it failed.
    Error,
    /// The engine turned it away unseen, or there was no connection left for it.
    Full,
    /// Its machine refused the connection.
    ConnectionRefused,
    /// No byte of it went out in time.
    Unsent,
    /// The connection broke after a byte of it went out.
    Reset,
    /// The engine says that it was over already and never ran.
    Expired,
}

/// What fronts tell the core.
#[derive(Debug)]
pub enum ListenerEvent {
    Request(Request),
    /// The client has gone; no answer is owed.
    ClientGone(RequestId),
    /// A request of that class was turned away before it was one, with an answer.
    Rejected(usize),
}

/// What an engine told beside an attempt's end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Work that the query needed (ms of one thread, at least 0).
    pub work: Option<f64>,
    /// Memory that it needed (MB, at least 0).
    pub memory: Option<f64>,
    pub report: Option<LoadReport>,
}

/// What links tell the core.
#[derive(Debug)]
pub enum UpstreamEvent {
    AttemptEnd { id: RequestId, attempt: u32, ending: AttemptOutcome, told: AttemptReport },
    Progress { id: RequestId, attempt: u32, progress: Progress },
}

impl UpstreamEvent {
    /// An attempt's end with nothing told beside it.
    pub fn ended(id: &RequestId, attempt: u32, ending: AttemptOutcome) -> Self {
        UpstreamEvent::AttemptEnd { id: id.clone(), attempt, ending, told: AttemptReport::default() }
    }
}

/// Where requests come from.
pub trait Listener {
    /// Gives a request its final answer. One whose client has gone is passed over.
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer);
    /// Whether its client still waits for that answer, by what its connection tells at this moment.
    fn waits(&mut self, id: &RequestId) -> bool;
}

/// Where attempts run.
pub trait Upstream {
    /// Starts an attempt. Its end comes as news, once, unless it is dropped.
    fn start(&mut self, now: Time, call: Attempt);
    /// Gives an attempt up; no more news of it comes. True if no byte of it has gone out.
    fn drop_call(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool;
    /// Changes the priority of an attempt that is out.
    fn rank(&mut self, now: Time, id: &RequestId, attempt: u32, rank: u8);
    /// Attempts that have gone out whole.
    fn written(&self) -> u64;
}

/// A front and the link that runs what comes in there.
pub struct Route<'a> {
    pub front: &'a mut dyn Listener,
    pub link: &'a mut dyn Upstream,
}

struct AttemptState {
    out: bool,
    rank: u8,
}

struct RequestState {
    route: usize,
    class: usize,
    work: QueryPayload,
    deadline: Time,
    memory: Option<f64>,
    rank: u8,
    attempts: Vec<AttemptState>,
    /// The final answer is given, or none is owed any more.
    over: bool,
}

enum TimerEvent {
    Module(u64),
    AttemptState(RequestId, u32),
}

/// A class as requests and twins hang on it.
fn shape(settings: &Settings) -> Vec<(String, Idempotency)> {
    settings.classes.iter().map(|class| (class.name.clone(), class.idempotency)).collect()
}

/// The tenants as requests hang on them.
fn names_of_tenants(settings: &Settings) -> Vec<String> {
    settings.tenants.iter().map(|tenant| tenant.name.clone()).collect()
}

/// A keyed request that came without its key must not be repeated: it is of a twin class that says so. So is any that
/// cannot be sent again. By class, the one for requests without a key, and the one for bodies that are not kept.
fn with_twins(mut settings: Settings, uploads: bool) -> (Settings, Vec<usize>, Vec<usize>) {
    let mut keyless: Vec<usize> = (0..settings.classes.len()).collect();
    let mut once = keyless.clone();
    for at in 0..keyless.len() {
        let class = &settings.classes[at];
        let (keyed, twin) = (class.idempotency == Idempotency::WithKey, settings.classes.len());
        if keyed || uploads && class.idempotency == Idempotency::Always {
            let class = ClassSettings { idempotency: Idempotency::Never, ..class.clone() };
            settings.classes.push(class);
            once[at] = twin;
        }
        if keyed {
            keyless[at] = twin;
        }
    }
    (settings, keyless, once)
}

/// Everything between the fronts, the links and the decision module.
pub struct Core {
    gateway: Policy,
    /// What of the classes cannot change in service.
    classes: Vec<(String, Idempotency)>,
    /// The same of the tenants.
    tenants: Vec<String>,
    uploads: bool,
    /// By class, the one for its requests without a key.
    keyless: Vec<usize>,
    /// By class, the one for its requests whose body is not kept.
    once: Vec<usize>,
    requests: HashMap<RequestId, RequestState>,
    open: usize,
    timers: TimerQueue<TimerEvent>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    pub counters: Counters,
    trace: Trace,
    /// When bounds and work in hand are next written out.
    pool_at: Time,
}

impl Core {
    /// `uploads` says that bodies may be passed on without being kept.
    pub fn new(settings: Settings, seed: u64, uploads: bool, trace: Trace) -> Self {
        let answers = vec![Answers::default(); settings.classes.len()];
        let (classes, tenants) = (shape(&settings), names_of_tenants(&settings));
        let (settings, keyless, once) = with_twins(settings, uploads);
        Self {
            classes,
            tenants,
            uploads,
            keyless,
            once,
            gateway: Policy::new(settings, seed),
            requests: HashMap::new(),
            open: 0,
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            counters: Counters { answers, ..Counters::default() },
            trace,
            pool_at: 0.0,
        }
    }

    /// When the core next has something to do by itself.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Whether the decisions leave an engine out for now.
    pub fn avoids(&self, engine: &EngineId) -> bool {
        self.gateway.engine(engine).is_some_and(|status| status.ejected)
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The program ends before its requests do: each is given up, with an answer.
    pub fn give_up(&mut self, now: Time, routes: &mut [Route]) {
        self.feed(now, Event::Shutdown, routes);
    }

    /// A check whether settings can count in service; it fails with key and reason.
    pub fn fitting(&self) -> impl Fn(&Settings) -> Result<(), String> + 'static {
        let (classes, tenants) = (self.classes.clone(), self.tenants.clone());
        move |settings| {
            if shape(settings) != classes {
                return Err(
                    "classes: names, order and effect cannot change in service, only at a restart".into()
                );
            }
            if names_of_tenants(settings) != tenants {
                return Err("tenants: names and order cannot change in service, only at a restart".into());
            }
            Ok(())
        }
    }

    /// These settings count from here on. What was learnt stays, and what is open keeps its deadline.
    pub fn settings(&mut self, now: Time, settings: Settings, routes: &mut [Route]) -> Result<(), String> {
        self.fitting()(&settings)?;
        let (settings, ..) = with_twins(settings, self.uploads);
        self.feed(now, Event::Settings(Box::new(settings)), routes);
        Ok(())
    }

    pub fn engines(&mut self, now: Time, scope: ListScope, entries: Vec<EngineEntry>, routes: &mut [Route]) {
        self.feed(now, Event::EngineList(scope, entries), routes);
    }

    /// Takes what a front brings.
    pub fn front_event(&mut self, now: Time, event: ListenerEvent, routes: &mut [Route]) {
        match event {
            ListenerEvent::Request(ask) => self.ask(now, ask, routes),
            ListenerEvent::Rejected(class) => {
                self.counters.taken += 1;
                self.counters.answers[class].refused += 1;
            }
            ListenerEvent::ClientGone(id) => {
                if self.withdraw(&id) {
                    self.feed(now, Event::ClientGone { id: id.clone() }, routes);
                    self.forget(&id);
                }
            }
        }
    }

    /// The client has gone: nothing more is done for its request. False if it was over.
    fn withdraw(&mut self, id: &RequestId) -> bool {
        let Some(request) = self.requests.get_mut(id).filter(|r| !r.over) else { return false };
        request.over = true;
        self.open -= 1;
        self.counters.withdrawn += 1;
        true
    }

    fn ask(&mut self, now: Time, ask: Request, routes: &mut [Route]) {
        self.counters.taken += 1;
        self.trace.taken(now, &ask.id, ask.class, ask.estimate, ask.deadline - now);
        // The module keeps requests by id, and engines are sent the client's id as it is.
        if self.requests.contains_key(&ask.id) {
            self.counters.answers[ask.class].failed += 1;
            return routes[ask.route].front.answer(now, &ask.id, Answer::Failed);
        }
        let class = match ask.work.key {
            _ if ask.uploading => self.once[ask.class],
            Some(_) => ask.class,
            None => self.keyless[ask.class],
        };
        let request = RequestState {
            route: ask.route,
            class: ask.class,
            work: ask.work,
            deadline: ask.deadline,
            memory: None,
            rank: 1,
            attempts: Vec::new(),
            over: false,
        };
        self.requests.insert(ask.id.clone(), request);
        self.open += 1;
        let query = Query {
            id: ask.id,
            class,
            tenant: ask.tenant,
            key: ask.order,
            time_left: ask.deadline - now,
            work: ask.estimate,
            memory: ask.memory,
            tables: ask.tables,
            uploading: ask.uploading,
        };
        self.feed(now, Event::Query(query), routes);
    }

    /// Bytes of a body are gone: whatever request has it gets no further attempt.
    pub fn spent(&mut self, now: Time, body: BodyId, routes: &mut [Route]) {
        let id = self.requests.iter().find(|(_, r)| r.work.has(body)).map(|(id, _)| id.clone());
        if let Some(id) = id {
            self.feed(now, Event::BodyDropped { id }, routes);
        }
    }

    /// Takes what a link tells.
    pub fn news(&mut self, now: Time, news: UpstreamEvent, routes: &mut [Route]) {
        match news {
            UpstreamEvent::AttemptEnd { id, attempt, ending, told } => {
                let (outcome, parts) = match ending {
                    AttemptOutcome::Served(parts) => (Outcome::Ok, Some(parts)),
                    AttemptOutcome::Error => (Outcome::Error, None),
                    AttemptOutcome::Full => (Outcome::Full, None),
                    AttemptOutcome::ConnectionRefused => (Outcome::Unreachable, None),
                    AttemptOutcome::Unsent => (Outcome::Unsent, None),
                    AttemptOutcome::Reset => (Outcome::Reset, None),
                    AttemptOutcome::Expired => (Outcome::Expired, None),
                };
                if !self.end(&id, attempt) {
                    return;
                }
                if let Some(parts) = parts {
                    self.answer(now, &id, Answer::Served(parts), routes);
                }
                self.ended(now, id, attempt, outcome, told, routes);
            }
            UpstreamEvent::Progress { id, attempt, progress } => {
                if self.is_out(&id, attempt) {
                    self.counters.notes += 1;
                    self.trace.noted(now, &id, attempt, progress);
                    self.feed(now, Event::Progress { id, attempt, progress }, routes);
                }
            }
        }
    }

    /// Whatever has come due.
    pub fn on_timer(&mut self, now: Time, routes: &mut [Route]) {
        if now >= self.pool_at {
            self.pool_at = now + 1.0;
            self.trace.pool(now, self.gateway.engines());
        }
        while let Some(on_timer) = self.timers.due(now) {
            match on_timer {
                TimerEvent::Module(token) => self.feed(now, Event::Timer(token), routes),
                TimerEvent::AttemptState(id, attempt) => {
                    if self.end(&id, attempt) {
                        let unsent = routes[self.route(&id)].link.drop_call(now, &id, attempt);
                        let outcome = if unsent { Outcome::Unsent } else { Outcome::Timeout };
                        self.ended(now, id, attempt, outcome, AttemptReport::default(), routes);
                    }
                }
            }
        }
    }

    fn route(&self, id: &RequestId) -> usize {
        self.requests.get(id).map_or(0, |r| r.route)
    }

    fn is_out(&self, id: &RequestId, attempt: u32) -> bool {
        self.requests.get(id).and_then(|r| r.attempts.get(attempt as usize)).is_some_and(|a| a.out)
    }

    /// Marks an attempt as ended. False if it was not out: whatever came second is passed over.
    fn end(&mut self, id: &RequestId, attempt: u32) -> bool {
        let request = self.requests.get_mut(id);
        let attempt = request.and_then(|r| r.attempts.get_mut(attempt as usize));
        attempt.is_some_and(|a| std::mem::replace(&mut a.out, false))
    }

    /// Tells the module of an attempt's one end.
    fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        told: AttemptReport,
        routes: &mut [Route],
    ) {
        let event = self.end_event(now, id.clone(), attempt, outcome, told);
        self.feed(now, event, routes);
        self.forget(&id);
    }

    fn end_event(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        told: AttemptReport,
    ) -> Event {
        self.counters.ended(outcome);
        self.trace.ended(now, &id, attempt, outcome, told);
        let finished = self.requests.get(&id).is_none_or(|r| r.over);
        let AttemptReport { work, memory, report } = told;
        Event::AttemptEnded(AttemptEnd { id, attempt, outcome, finished, work, memory, report })
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer, routes: &mut [Route]) {
        let Some(request) = self.requests.get_mut(id).filter(|r| !r.over) else { return };
        request.over = true;
        self.open -= 1;
        let answers = &mut self.counters.answers[request.class];
        let (word, count) = match answer {
            Answer::Served(_) => ("served", &mut answers.served),
            Answer::Rejected(_) => ("refused", &mut answers.refused),
            Answer::Failed => ("failed", &mut answers.failed),
        };
        *count += 1;
        self.trace.answered(now, id, word);
        routes[request.route].front.answer(now, id, answer);
    }

    /// Forgets a request that is over once its last attempt has ended.
    fn forget(&mut self, id: &RequestId) {
        if self.requests.get(id).is_some_and(|r| r.over && r.attempts.iter().all(|a| !a.out)) {
            self.requests.remove(id);
        }
    }

    /// Hands the module one event and carries out all that it leads to.
    fn feed(&mut self, now: Time, event: Event, routes: &mut [Route]) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, routes);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, routes: &mut [Route]) {
        match action {
            Action::Send { id, engine, timeout, within } => {
                self.send(now, (id, engine), timeout, within, routes);
            }
            Action::Cancel { id, attempt } => {
                if self.end(&id, attempt) {
                    routes[self.route(&id)].link.drop_call(now, &id, attempt);
                    let event = self.end_event(
                        now,
                        id.clone(),
                        attempt,
                        Outcome::Cancelled,
                        AttemptReport::default(),
                    );
                    self.events.push_back(event);
                    self.forget(&id);
                }
            }
            Action::Reject { id, retry_after } => {
                self.answer(now, &id, Answer::Rejected(retry_after), routes);
                self.forget(&id);
            }
            Action::Fail { id } => {
                self.answer(now, &id, Answer::Failed, routes);
                self.forget(&id);
            }
            Action::SetTerms { id, memory, rank } => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                (request.memory, request.rank) = (memory, rank);
                let link = &mut routes[request.route].link;
                let out = request.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && a.rank != rank);
                for (at, attempt) in out {
                    attempt.rank = rank;
                    link.rank(now, &id, at as u32, rank);
                }
            }
            Action::SetTimer { after, token } => self.timers.set(now + after, TimerEvent::Module(token)),
            Action::Subscribe => {} // the directory is polled anyway
            Action::Log(line) => tracing::info!(at = now, "{line}"),
        }
    }

    fn send(
        &mut self,
        now: Time,
        (id, engine): (RequestId, EngineId),
        timeout: Option<f64>,
        within: Option<f64>,
        routes: &mut [Route],
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        let (rank, route) = (request.rank, request.route);
        // Word that the client has gone may stand unread behind what led here: it is asked for at this moment.
        if !request.over && !routes[route].front.waits(&id) && self.withdraw(&id) {
            self.events.push_back(Event::ClientGone { id: id.clone() });
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.over {
            request.attempts.push(AttemptState { out: false, rank });
            let event = self.end_event(now, id.clone(), attempt, Outcome::Expired, AttemptReport::default());
            self.events.push_back(event);
            return self.forget(&id);
        }
        let deadline = timeout.map_or(request.deadline, |t| request.deadline.min(now + t));
        let begins_by = within.map_or(deadline, |w| deadline.min(now + w));
        request.attempts.push(AttemptState { out: true, rank });
        let (memory, work) = (request.memory, request.work.clone());
        self.counters.sends += 1;
        self.trace.sent(now, &id, attempt, &engine);
        self.timers.set(deadline, TimerEvent::AttemptState(id.clone(), attempt));
        routes[route]
            .link
            .start(now, Attempt { id, attempt, engine, deadline, begins_by, memory, rank, work });
    }
}
