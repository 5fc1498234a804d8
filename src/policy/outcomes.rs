//! Outcomes of attempts: the next step of the request, and what is learned about its engine and class.

use super::attempt_plan::MIN_EXPECTED_SHARE;
use super::cost_model::{reported_service_time, service_time, CostModel};
use super::engine_state::{AbandonedWork, AttemptKey};
use super::outlier::{failure_slowdown, measured_slowdown, EngineHealth, EJECTION_SCORE};
use super::pi_controller::PiController;
use super::request_state::{AttemptState, Request, RequestNumber};
use super::{Action, AttemptEnd, Outcome, Policy};

/// Upper limit on reported work, relative to what the engine's cores can do until the request's deadline
/// (ratio): some engines are faster than nominal.
const MAX_REPORTED_WORK: f64 = 2.0;
/// How long abandoned work counts in the backlog (expected delays).
const ABANDONED_WORK_DELAYS: f64 = 2.0;
/// Weight of an outcome in the recent utilization of cores (share): about seven outcomes.
const UTILIZATION_WEIGHT: f64 = 0.15;
/// Lower limit on service times that delays are compared with (seconds).
const MIN_COMPARED_SERVICE_TIME_S: f64 = 1e-4;

/// An outcome with the attempt's delay, and the values that the delay is compared with.
struct MeasuredOutcome {
    /// When the attempt ended (seconds).
    now: f64,
    /// Class of the request, by position in the settings.
    class: usize,
    /// How the attempt ended.
    outcome: Outcome,
    /// Delay (seconds).
    delay: f64,
    /// Expected service time (seconds).
    expected: f64,
    /// Delay-to-deadline ratio.
    ddr: f64,
}

impl MeasuredOutcome {
    /// Whether the engine worked on the attempt and did not return an error.
    fn ran(&self) -> bool {
        matches!(self.outcome, Outcome::Ok | Outcome::Timeout | Outcome::Cancelled)
    }

    /// Records the outcome in the controller of its engine. Errors are left out: a fast error must not look
    /// like fast service.
    fn record_in_controller(&self, controller: &mut PiController) {
        if self.outcome == Outcome::Ok {
            controller.add_served();
        }
        if self.ran() {
            controller.add_ddr(self.ddr);
        } else if self.outcome == Outcome::Full {
            controller.add_full();
        }
    }

    /// Records the outcome in the health of its engine and in the slowness of its class. A failure counts as
    /// very slow service; a full engine is not unhealthy.
    fn record_in_health(&self, health: &mut EngineHealth, costs: &mut CostModel) {
        let mut slowdown = failure_slowdown(self.outcome);
        if self.ran() {
            let usual = costs.slowness(self.class);
            slowdown = measured_slowdown(self.delay / self.expected / usual);
            costs.add_slowness(self.class, slowdown.min(EJECTION_SCORE) * usual);
        }
        if self.outcome != Outcome::Full {
            health.add_outcome(self.now, slowdown);
        }
    }
}

impl Policy {
    /// Handles the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, now: f64, mut ended: AttemptEnd, out: &mut Vec<Action>) {
        let Some(number) = self.requests.number_of(&ended.id) else { return };
        let Some(delay) = self.finish_attempt(now, number, &mut ended) else { return };
        self.record_outcome(now, number, &ended, delay);
        if ended.outcome == Outcome::Ok {
            let request = &self.requests[number];
            self.control.add_served(request.cost);
            self.costs.learn_work(&self.settings, request, delay, ended.work);
            self.costs.learn_memory(&self.settings, request, ended.memory);
        }
        self.proceed(now, number, ended.outcome, out);
        self.engines.remove_departed();
    }

    /// Marks an attempt as ended and returns its delay (seconds); `None` if it was not in flight. Discards
    /// implausible reports of work.
    fn finish_attempt(&mut self, now: f64, number: RequestNumber, ended: &mut AttemptEnd) -> Option<f64> {
        let request = self.requests.get_mut(number)?;
        let attempt = request.attempts.get_mut(ended.attempt as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        let never_ran = ended.outcome.never_ran();
        attempt.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let delay = now - attempt.sent_at;
        // No query can do more work than its engine does until the query's deadline.
        let engine = self.engines.get(&attempt.engine);
        let max_rate = engine.map_or(0.0, |engine| MAX_REPORTED_WORK * 1000.0 * engine.cores);
        request.finished |= ended.finished;
        ended.work = ended.work.filter(|work| *work <= max_rate * request.query.time_left);
        if matches!(ended.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            self.pause_key(now, number);
        }
        Some(delay)
    }

    /// Closes a request that is finished, or retries one without attempts in flight.
    fn proceed(&mut self, now: f64, number: RequestNumber, outcome: Outcome, out: &mut Vec<Action>) {
        let request = &self.requests[number];
        if request.finished {
            return self.close(number, out);
        }
        if request.in_flight() {
            return;
        }
        // Too late for a retry, or never sent for lack of time: answered at once.
        if outcome == Outcome::Expired || request.deadline - now < self.answer_margin() {
            self.give_up(number, out);
        } else {
            self.dispatch(now, number, out);
        }
    }

    /// Records an outcome in the backlog, the controller and the health of its engine.
    fn record_outcome(&mut self, now: f64, number: RequestNumber, ended: &AttemptEnd, delay: f64) {
        let request = &self.requests[number];
        let attempt = &request.attempts[ended.attempt as usize];
        let measured = self.measure(now, request, ended, delay);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        let key = AttemptKey { request: number, attempt: ended.attempt };
        let in_flight = engine.in_flight.remove(&key);
        engine.load = ended.report.unwrap_or(engine.load);
        if let Some(utilization) = ended.report.and_then(|report| report.util) {
            self.utilization.add(utilization, UTILIZATION_WEIGHT);
        }
        engine.sent_since_report = 0.0; // without reports, the load is estimated from the backlog
        match ended.outcome {
            Outcome::Expired => return self.retry_budget.remove_attempt(key),
            Outcome::Cancelled if attempt.cancelled_for_resources => return,
            // The delay depended on the client's upload.
            Outcome::Ok | Outcome::Timeout | Outcome::Cancelled if request.query.uploading => return,
            Outcome::Timeout | Outcome::Cancelled => {
                // Work that cannot be cancelled still occupies the engine.
                if let Some(in_flight) = in_flight.filter(|_| !self.settings.may_cancel) {
                    let until = now + ABANDONED_WORK_DELAYS * measured.expected;
                    engine.abandoned.push(AbandonedWork { until, cost: in_flight.cost });
                }
            }
            _ => engine.health.last_received_at = now,
        }
        // An engine that refuses connections is probably restarting, which discovery may report late: it
        // falls under slow start (rule 4).
        if ended.outcome == Outcome::Unreachable {
            engine.warm_up.unreachable_at = now;
        }
        measured.record_in_controller(&mut engine.controller);
        measured.record_in_health(&mut engine.health, &mut self.costs);
    }

    /// Compares the delay of an attempt with the expected delay.
    fn measure(&self, now: f64, request: &Request, ended: &AttemptEnd, delay: f64) -> MeasuredOutcome {
        let class = request.query.class;
        let class_settings = &self.settings.classes[class];
        let estimated = service_time(class_settings, request.cost).max(MIN_COMPARED_SERVICE_TIME_S);
        let usual = self.costs.usual_service_time(&self.settings, class);
        // The deadline is based on reported work where there is any: estimates are noisy.
        let known = ended.work.map_or(estimated, |work| reported_service_time(class_settings, work));
        // An attempt that was cancelled for its slow pace counts with its projected delay.
        let cancelled = ended.outcome == Outcome::Cancelled && !request.finished;
        let projected = request.attempts[ended.attempt as usize].projected_delay;
        let delay = projected.filter(|_| cancelled).unwrap_or(delay);
        MeasuredOutcome {
            now,
            class,
            outcome: ended.outcome,
            delay,
            expected: estimated.max(MIN_EXPECTED_SHARE * usual),
            ddr: self.slack.ddr(class, delay, known),
        }
    }
}
