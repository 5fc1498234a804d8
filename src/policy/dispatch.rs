//! Dispatch: accepts queries, sends attempts, and gives final answers.

use super::attempt_plan::{AttemptPlan, AttemptPlanner};
use super::engine_state::{AttemptKey, Engine, InFlightAttempt};
use super::estimators::uniform;
use super::load_balancing::LoadBalancer;
use super::request_state::{Attempt, AttemptState, ProgressMark, Request, RequestNumber};
use super::slow_start::RecentSend;
use super::{Action, EngineId, Policy, Query};

/// Mean retry-after of a rejection (latency objectives), jittered by up to half in either direction.
const RETRY_AFTER_OBJECTIVES: f64 = 0.25;
/// Ticks before its deadline at which a request is answered: a later answer could reach the client too late.
const ANSWER_MARGIN_TICKS: f64 = 2.0;

impl Policy {
    /// Accepts a query and dispatches it.
    pub(super) fn on_query(&mut self, now: f64, query: Query, out: &mut Vec<Action>) {
        let number = self.requests.allocate_number();
        self.retry_budget.add_request(now, &self.settings);
        let request = self.new_request(now, query);
        let class = request.query.class;
        let time_left = request.query.time_left;
        self.costs.add_demand(class, request.cost);
        if let (true, Some(key)) = (self.settings.classes[class].ordered, request.query.key.clone()) {
            self.order.enqueue(key, number);
        }
        self.requests.insert(number, request);
        let margin = self.answer_margin();
        if time_left <= margin {
            return self.give_up(number, out);
        }
        out.push(Action::SetTimer { after: time_left - margin, token: number });
        self.dispatch(now, number, out);
    }

    fn new_request(&mut self, now: f64, query: Query) -> Request {
        let cost = self.costs.estimate(&self.settings.classes[query.class], &query);
        let tenant = query.tenant;
        let over_quota = tenant.is_some_and(|tenant| self.quotas.is_exceeded(now, &self.settings, tenant));
        Request { deadline: now + query.time_left, query, cost, over_quota, ..Request::default() }
    }

    /// Time before a deadline at which a request is answered (seconds).
    pub(super) fn answer_margin(&self) -> f64 {
        ANSWER_MARGIN_TICKS * self.settings.tick
    }

    /// Sends a request, leaves it waiting for its key, or gives up on it.
    pub(super) fn dispatch(&mut self, now: f64, number: RequestNumber, out: &mut Vec<Action>) {
        self.order.remove_waiting(number);
        let Some(request) = self.requests.get(number) else { return };
        if request.finished {
            return;
        }
        let class = &self.settings.classes[request.query.class];
        if let Some(queue) = self.order.queue_of(request, class) {
            if !queue.admits(now, number, request) {
                let ahead = queue.ahead_of(number, request.query.order_lock) as f64;
                let usual = self.costs.usual_service_time(&self.settings, request.query.class);
                // A request that cannot be served in time behind the others is answered at once.
                if request.deadline - now < usual * (ahead + 1.0) {
                    return self.give_up(number, out);
                }
                return self.order.add_waiting(number);
            }
        }
        if let Some(engine) = self.pick_engine(now, number) {
            self.send(now, number, &engine, out);
        } else {
            self.control.add_rejected();
            self.give_up(number, out);
        }
    }

    fn pick_engine(&mut self, now: f64, number: RequestNumber) -> Option<EngineId> {
        let request = &self.requests[number];
        let balancer = LoadBalancer {
            request,
            class: &self.settings.classes[request.query.class],
            settings: &self.settings,
            engines: &self.engines,
            costs: &self.costs,
            retry_budget: &self.retry_budget,
            control: &self.control,
            utilization: self.utilization.value,
            now,
        };
        balancer.pick(&mut self.rng)
    }

    /// Sends the next attempt of a request to an engine.
    fn send(&mut self, now: f64, number: RequestNumber, id: &EngineId, out: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(request) = self.requests.get_mut(number) else { return };
        let planner =
            AttemptPlanner { request, settings: &self.settings, costs: &self.costs, slack: &self.slack, now };
        let plan = planner.plan(engine);
        let class = request.query.class;
        let key = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        self.retry_budget.add_attempt(now, &self.settings, key);
        let work = self.costs.usual_work(&self.settings, class);
        engine.warm_up.recent_sends.push(RecentSend { sent_at: now, work, class });
        let is_load = self.settings.classes[class].is_load;
        record_in_flight(engine, key, in_flight_attempt(now, request, &plan, is_load));
        request.granted_memory = plan.memory;
        request.attempts.push(new_attempt(now, engine, &plan));
        let id = request.query.id.clone();
        let target = engine.entry.id.clone();
        self.control.observe_backlog(self.engines.backlog());
        if self.settings.priorities || plan.memory.is_some() {
            out.push(Action::SetTerms { id: id.clone(), memory: plan.memory, rank: plan.rank });
        }
        out.push(Action::Send { id, engine: target, timeout: plan.timeout, within: plan.send_within });
    }

    /// Gives up on a request and answers it at once: rejected if a retry is safe, failed otherwise.
    pub(super) fn give_up(&mut self, number: RequestNumber, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(number) else { return };
        if request.finished || request.streaming {
            return;
        }
        let class = &self.settings.classes[request.query.class];
        let id = request.query.id.clone();
        if request.is_retry_safe(class) {
            let jitter = 0.5 + uniform(&mut self.rng);
            let usual = RETRY_AFTER_OBJECTIVES * class.latency_objective * jitter;
            let retry_after = self.settings.retry_after.map(|longest| usual.min(longest));
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(number, out);
    }

    /// Closes a request that needs no further answer: cancels its attempts in flight where that is allowed,
    /// and removes it if there are none.
    pub(super) fn close(&mut self, number: RequestNumber, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(number) else { return };
        request.finished = true;
        self.order.remove_waiting(number);
        if self.settings.may_cancel && !request.streaming {
            for (at, attempt) in request.attempts.iter().enumerate() {
                if attempt.state == AttemptState::InFlight {
                    out.push(Action::Cancel { id: request.query.id.clone(), attempt: at as u32 });
                }
            }
        }
        if !request.in_flight() {
            self.leave_order(number, out);
            self.requests.remove(number);
        }
    }

    /// Dispatches waiting requests again; those that still may not run keep waiting.
    pub(super) fn dispatch_waiting(&mut self, now: f64, out: &mut Vec<Action>) {
        for number in self.order.waiting() {
            self.dispatch(now, number, out);
        }
    }
}

fn in_flight_attempt(now: f64, request: &Request, plan: &AttemptPlan, is_load: bool) -> InFlightAttempt {
    InFlightAttempt {
        sent_at: now,
        expected_delay: plan.expected_delay,
        cost: request.cost,
        memory: request.query.memory.unwrap_or(0.0),
        tables: request.query.tables,
        is_load,
    }
}

/// Adds an attempt to the load of its engine.
fn record_in_flight(engine: &mut Engine, key: AttemptKey, attempt: InFlightAttempt) {
    engine.sent_since_report += 1.0;
    engine.last_used_at = attempt.sent_at;
    engine.in_flight.insert(key, attempt);
    engine.controller.observe_backlog(engine.backlog());
}

fn new_attempt(now: f64, engine: &Engine, plan: &AttemptPlan) -> Attempt {
    Attempt {
        engine: engine.entry.id.clone(),
        location: engine.location(),
        sent_at: now,
        state: AttemptState::InFlight,
        expected_delay: plan.expected_delay,
        progress_since: Some(ProgressMark { at: now, share_done: 0.0 }),
        cancelled_for_resources: false,
        projected_delay: None,
    }
}
