//! Clients: they submit requests, retry them and give up.

use super::event::ModelEvent;
use super::setup::lognormal;
use super::state::{Coordinator, Request, Submission};
use super::{request_id, World};
use crate::scenario::Idempotency;
use crate::{micros, seconds, Micros};
use dahliaspoke::policy::{Event, Query};
use rand::Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// Coefficient of variation of the memory that requests of one class need.
const MEMORY_CV: f64 = 0.5;
/// Delay before a client that finds no running coordinator submits again (us).
const NO_COORDINATOR_DELAY: Micros = 100_000;
/// Minimum delay before a client's retry (us).
const MIN_RETRY_DELAY: Micros = 1000;
/// How long after the deadline an answer is still accepted (s).
const ANSWER_SLACK_S: f64 = 0.02;
/// Distance between the coordinators that a client tries when its own is down; a prime, so that all are
/// tried.
const FAILOVER_STRIDE: usize = 7919;
/// Priority of requests for which the policy has set none.
const DEFAULT_PRIORITY: u8 = 1;

impl World<'_> {
    pub(super) fn schedule_next_request(&mut self, coordinator: usize) {
        let Coordinator { rate, burst, .. } = self.coordinators[coordinator];
        let Ok(delay) = Exp::new(rate * burst) else { return };
        let at = self.now + micros(delay.sample(&mut self.traffic_rng)).max(1);
        if at < self.end {
            self.queue.push(at, ModelEvent::RequestArrives { coordinator });
        }
    }

    pub(super) fn request_arrives(&mut self, home: usize) {
        self.schedule_next_request(home);
        let request = self.draw_request(home);
        let class = &self.scenario.classes[request.class];
        self.tally.request_arrived(self.now, request.class, class.priority_weight, request.work);
        self.requests.push(request);
        self.submit(self.requests.len() - 1);
    }

    fn draw_request(&mut self, home: usize) -> Request {
        let class = self.draw_class();
        let spec = &self.scenario.classes[class];
        let rng = &mut self.traffic_rng;
        let work = lognormal(spec.work_ms, spec.work_cv).sample(rng);
        let memory = lognormal(spec.memory_mb, MEMORY_CV).sample(rng);
        let estimate_error = lognormal(1.0, self.scenario.estimate_noise).sample(rng);
        let groups = self.scenario.table_group_count() as f64;
        let table_group = Zipf::new(groups, self.scenario.zipf).map_or(1.0, |zipf| zipf.sample(rng)) as i64;
        let honours_retry_after = rng.random::<f64>() < self.scenario.retry_after_honoured;
        Request {
            class,
            arrived: self.now,
            deadline: self.now + micros(spec.client_timeout_s),
            work,
            memory,
            estimate: work * estimate_error,
            table_group,
            submissions: 0,
            ended: false,
            home,
            honours_retry_after,
        }
    }

    fn draw_class(&mut self) -> usize {
        let total: f64 = self.scenario.classes.iter().map(|class| class.share).sum();
        let mut draw = self.traffic_rng.random::<f64>() * total;
        let class = self.scenario.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        class.unwrap_or(0)
    }

    /// A client submits its request to its own coordinator or, if that is down, to another one.
    pub(super) fn submit(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.ended || self.now >= request.deadline {
            return self.give_up_request(number, false);
        }
        request.submissions += 1;
        let Some(coordinator) = self.reachable_coordinator(self.requests[number].home) else {
            let at = self.now + NO_COORDINATOR_DELAY;
            return self.queue.push(at, ModelEvent::ClientSubmits { request: number });
        };
        let submission = self.add_submission(number, coordinator);
        let request = &self.requests[number];
        let deadline = request.deadline;
        let query = Query {
            id: request_id(submission),
            class: request.class,
            time_left: seconds(deadline - self.now),
            work: Some(request.estimate),
            memory: Some(request.memory),
            tables: request.table_group,
            ..Query::default()
        };
        self.auditor.request_accepted(submission as u64, request.class, deadline);
        let expiry = deadline + micros(ANSWER_SLACK_S);
        self.queue.push(expiry, ModelEvent::SubmissionExpires { submission });
        self.notify(coordinator, Event::Query(query));
    }

    fn reachable_coordinator(&self, home: usize) -> Option<usize> {
        let count = self.coordinators.len();
        let is_up = |number: &usize| self.coordinators[*number].up;
        let preferred = (0..count).map(|number| (home + number * FAILOVER_STRIDE) % count).find(is_up);
        preferred.or_else(|| (0..count).find(is_up))
    }

    fn add_submission(&mut self, request: usize, coordinator: usize) -> usize {
        let number = self.submissions.len();
        self.submissions.push(Submission {
            request,
            coordinator,
            incarnation: self.coordinators[coordinator].incarnation,
            deadline: self.requests[request].deadline,
            ended: false,
            memory_grant: None,
            priority: DEFAULT_PRIORITY,
            attempts: Vec::new(),
        });
        self.coordinators[coordinator].submissions.push(number);
        number
    }

    /// Handles a rejected or failed submission: its client retries or gives up. `retry_after` in seconds.
    pub(super) fn retry_or_give_up(&mut self, submission: usize, rejected: bool, retry_after: Option<f64>) {
        let number = self.submissions[submission].request;
        let request = &self.requests[number];
        let class = &self.scenario.classes[request.class];
        let dedup_end = request.arrived + micros(class.dedup_window_s);
        let may_repeat = match class.idempotency {
            Idempotency::Always => true,
            Idempotency::WithKey => rejected || self.now < dedup_end,
            Idempotency::Never => rejected,
        };
        let honoured = retry_after.filter(|_| request.honours_retry_after);
        let delay = honoured.unwrap_or(self.scenario.backoff_ms / 1000.0);
        let at = self.now + micros(delay).max(MIN_RETRY_DELAY);
        if may_repeat && request.submissions <= self.scenario.retries && at < request.deadline {
            self.queue.push(at, ModelEvent::ClientSubmits { request: number });
        } else {
            self.give_up_request(number, rejected);
        }
    }

    pub(super) fn give_up_request(&mut self, number: usize, rejected: bool) {
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.ended, true) {
            let class = &mut self.tally.classes[request.class];
            *if rejected { &mut class.rejected } else { &mut class.failed } += 1;
        }
    }

    pub(super) fn request_served(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if std::mem::replace(&mut request.ended, true) {
            return;
        }
        let class = &self.scenario.classes[request.class];
        let stretch = class.objective_stretch * request.work / class.threads / 1000.0;
        let objective_end = request.arrived + micros(class.latency_objective_s + stretch);
        let in_time = self.now <= objective_end;
        let weight = class.priority_weight * if in_time { 1.0 } else { class.late_weight };
        self.tally.request_served(request.arrived, self.now, request.class, weight, in_time);
    }

    /// The deadline of a submission has passed without an answer: its client disconnects.
    pub(super) fn submission_expires(&mut self, submission: usize) {
        if self.submissions[submission].ended {
            return;
        }
        // The auditor tracks deadlines by itself and reports the missing answer.
        self.submissions[submission].ended = true;
        let coordinator = self.submissions[submission].coordinator;
        if self.is_current(submission) {
            self.notify(coordinator, Event::ClientGone { id: request_id(submission) });
        }
        self.give_up_request(self.submissions[submission].request, false);
    }
}
