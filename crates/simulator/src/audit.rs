//! The rules, checked from outside: the auditor is told what happened and trusts nobody's word for it.
//!
//! | rule | what breaks it |
//! | --- | --- |
//! | answers | a request without a final answer in its time, or with two; a send after it was over |
//! | repeats | a send that its class does not allow after one that may have run; a refusal that lies |
//! | drains | a send to an engine that was told to drain or to be gone, more than the grace ago |
//! | cold | a cold engine that falls over, where two thirds of the work came from those who knew |
//! | attempts | more than the most that one request may have; two out at once where that is not allowed |

use crate::{micros, seconds, Micros};
use dahliaspoke::policy::{DedupScope, Idempotency, Lifecycle, Outcome, Settings};
use serde::Serialize;
use std::collections::HashMap;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: &'static str,
    /// When (us).
    pub at: Micros,
    /// What happened.
    pub what: String,
}

struct Attempt {
    sent: Micros,
    /// How it ended, once it has.
    outcome: Option<Outcome>,
}

struct Request {
    class: usize,
    deadline: Micros,
    attempts: Vec<Attempt>,
    over: bool,
    /// The client has gone: nothing is owed.
    left: bool,
}

/// What all coordinators together sent to a cold engine in one window, in calls of mean work, by those that had been
/// told of its start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ramp {
    /// Calls that were sent.
    pub calls: f64,
    /// Calls that the settings let it have.
    pub budget: f64,
}

impl Ramp {
    /// Calls over the budget that are no chance: two deviations of it, and two.
    #[must_use]
    pub fn beyond(self) -> f64 {
        self.calls - self.budget - 2.0 * self.budget.sqrt() - 2.0
    }
}

/// Checks one run.
pub struct Auditor {
    settings: Settings,
    /// Time that an answer may come late, and that sends may follow a drain in.
    slack: Micros,
    grace: Micros,
    requests: HashMap<u64, Request>,
    /// What each coordinator was told of each engine, and when it stopped being ready.
    told: HashMap<(usize, usize), Micros>,
    /// What each coordinator was told of an engine's start.
    started: HashMap<(usize, usize), Micros>,
    /// Work sent to each engine lately: time, ms, whether its sender knew of the start.
    sent: HashMap<usize, Vec<(Micros, f64, bool)>>,
    /// Work of all queries that reached engines, and how many (ms).
    reached: (f64, f64),
    /// The cold engine that was sent most beside what the settings let it have.
    pub ramp: Option<Ramp>,
    /// Rules that were broken, the first hundred.
    pub broken: Vec<Broken>,
    /// How many in all.
    pub count: u64,
}

impl Auditor {
    /// `grace` is what a drain leaves (s).
    #[must_use]
    pub fn new(settings: Settings, grace: f64) -> Self {
        Self {
            settings,
            slack: micros(0.02),
            grace: micros(grace),
            requests: HashMap::new(),
            told: HashMap::new(),
            started: HashMap::new(),
            sent: HashMap::new(),
            reached: (0.0, 0.0),
            ramp: None,
            broken: Vec::new(),
            count: 0,
        }
    }

    fn breaks(&mut self, rule: &'static str, at: Micros, what: String) {
        self.count += 1;
        if self.broken.len() < 100 {
            self.broken.push(Broken { rule, at, what });
        }
    }

    /// A coordinator has taken a request.
    pub fn taken(&mut self, request: u64, class: usize, deadline: Micros) {
        let request_state = Request { class, deadline, attempts: Vec::new(), over: false, left: false };
        self.requests.insert(request, request_state);
    }

    /// A coordinator was told of an engine.
    pub fn told(
        &mut self,
        now: Micros,
        coordinator: usize,
        engine: usize,
        lifecycle: Lifecycle,
        started: Option<Micros>,
    ) {
        if lifecycle == Lifecycle::Ready {
            self.told.remove(&(coordinator, engine));
            if let Some(started) = started {
                self.started.insert((coordinator, engine), started);
            }
        } else {
            self.told.entry((coordinator, engine)).or_insert(now);
        }
    }

    /// A coordinator started anew and remembers nothing.
    pub fn forgot(&mut self, coordinator: usize) {
        self.told.retain(|(c, _), _| *c != coordinator);
        self.started.retain(|(c, _), _| *c != coordinator);
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: Micros, coordinator: usize, request: u64, engine: usize) {
        if let Some(since) = self.told.get(&(coordinator, engine)) {
            if now > since + self.grace {
                let late = now - since;
                self.breaks(
                    "drains",
                    now,
                    format!("c{coordinator} sends to e{engine} {late} us after it was told"),
                );
            }
        }
        let most = self.settings.max_attempts as usize;
        let copies = self.settings.may_hedge;
        let Some(state) = self.requests.get_mut(&request) else {
            return self.breaks("answers", now, format!("a send for {request}, which was never taken"));
        };
        let class = &self.settings.classes[state.class];
        let ran = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
        let window = micros(class.dedup_window);
        let allowed = match class.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => state.attempts.iter().filter(ran).count() == 0,
            // Where the group is all of them, any engine drops it.
            Idempotency::WithKey => {
                class.dedup_scope != DedupScope::All
                    || state.attempts.iter().filter(ran).all(|a| now <= a.sent + window)
            }
        };
        let over = state.over;
        let out = state.attempts.iter().filter(|a| a.outcome.is_none()).count();
        state.attempts.push(Attempt { sent: now, outcome: None });
        let count = state.attempts.len();
        if over {
            self.breaks("answers", now, format!("a send for {request}, which is over"));
        }
        if !allowed {
            self.breaks("repeats", now, format!("{request} is sent again and may have run"));
        }
        if count > most || out > 0 && !copies {
            self.breaks("attempts", now, format!("{request} has attempt {count} with {out} out"));
        }
    }

    /// Work reached an engine that may be cold.
    pub fn reached(
        &mut self,
        now: Micros,
        coordinator: usize,
        engine: usize,
        work: f64,
        started: Option<Micros>,
    ) {
        self.reached = (self.reached.0 + work, self.reached.1 + 1.0);
        let Some(started) = started else { return };
        let knew = self.started.get(&(coordinator, engine)) == Some(&started);
        let sent = self.sent.entry(engine).or_default();
        sent.retain(|(at, ..)| *at + 10_000_000 > now);
        sent.push((now, work, knew));
        let s = &self.settings;
        let from = now.saturating_sub(micros(s.overload_window));
        let told: f64 = sent.iter().filter(|(at, _, k)| *k && *at >= from).map(|(_, work, _)| work).sum();
        let mean = self.reached.0 / self.reached.1;
        let warmed = (seconds(now.saturating_sub(started)) / s.warmup_time.max(1e-9)).min(1.0);
        let capacity = s.kinds.first().map_or(1.0, |kind| kind.cores) * 1000.0;
        let capacity = capacity * (s.initial_capacity_share + (1.0 - s.initial_capacity_share) * warmed);
        let ramp =
            Ramp { calls: told / mean, budget: s.overload_multiple * capacity * s.overload_window / mean };
        if self.ramp.is_none_or(|widest| ramp.beyond() > widest.beyond()) {
            self.ramp = Some(ramp);
        }
    }

    /// A cold engine has fallen over under what it was sent in the window before.
    pub fn fell(&mut self, now: Micros, engine: usize, window: f64) {
        let from = now.saturating_sub(micros(window));
        let sent = self.sent.get(&engine).map_or(&[][..], Vec::as_slice);
        let sum = |knew: bool| -> f64 {
            sent.iter().filter(|(at, _, k)| *at >= from && (*k || !knew)).map(|(_, work, _)| work).sum()
        };
        let (all, knew) = (sum(false), sum(true));
        if knew * 3.0 >= all * 2.0 && all > 0.0 {
            self.breaks(
                "cold",
                now,
                format!("e{engine} fell over under {all:.0} ms, {knew:.0} of it knowingly"),
            );
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Micros, request: u64, attempt: u32, outcome: Outcome) {
        let state = self.requests.get_mut(&request).and_then(|r| r.attempts.get_mut(attempt as usize));
        let Some(state) = state else {
            return self.breaks(
                "answers",
                now,
                format!("an end of {request}/{attempt}, which was never sent"),
            );
        };
        if state.outcome.replace(outcome).is_some() {
            self.breaks("answers", now, format!("a second end of {request}/{attempt}"));
        }
    }

    /// A request had its final answer.
    pub fn answered(&mut self, now: Micros, request: u64, refused: bool) {
        let slack = self.slack;
        let Some(state) = self.requests.get_mut(&request) else {
            return self.breaks("answers", now, format!("an answer to {request}, which was never taken"));
        };
        let class = &self.settings.classes[state.class];
        let ran = state.attempts.iter().any(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let harmless = match class.idempotency {
            Idempotency::Always => true,
            Idempotency::WithKey => !ran || class.dedup_scope == DedupScope::All,
            Idempotency::Never => !ran,
        };
        let (twice, late) = (state.over, now > state.deadline + slack && !state.left);
        state.over = true;
        if twice {
            self.breaks("answers", now, format!("a second answer to {request}"));
        }
        if late {
            self.breaks("answers", now, format!("{request} is answered after its time"));
        }
        if refused && !harmless {
            self.breaks("repeats", now, format!("{request} is refused and may have run"));
        }
    }

    /// The client has gone, or its coordinator has died: nothing is owed.
    pub fn released(&mut self, request: u64) {
        if let Some(state) = self.requests.get_mut(&request) {
            (state.over, state.left) = (true, true);
        }
    }

    /// The run is over: requests whose time has passed must have had their answer.
    pub fn close(&mut self, now: Micros) {
        let late = |r: &Request| !r.over && now > r.deadline + self.slack;
        let mut open: Vec<u64> = self.requests.iter().filter(|(_, r)| late(r)).map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.iter().for_each(|id| self.breaks("answers", now, format!("{id} never had an answer")));
    }
}
