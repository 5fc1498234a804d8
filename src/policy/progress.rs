//! Progress of attempts in flight: an attempt is cancelled and retried where that is expected to be faster.
//!
//! - After a spill, once, with the missing memory added: the estimate was too low. May hurt where progress is
//!   reported late.
//! - While it waits for memory or for a load: the engine is fuller than its reports show. May hurt where all
//!   engines queue.
//! - At a pace that leaves more than twice the expected delay: a bad plan, or an engine that has become slow.

use super::cost_model::service_time;
use super::request_state::{Attempt, ProgressMark, Request, RequestNumber};
use super::{Action, Idempotency, Policy, Progress, RequestId};

/// Remaining delay, projected from its pace, above which an attempt is cancelled (expected delays).
const MAX_REMAINING_DELAYS: f64 = 2.0;
/// How long tables that were reported locked are assumed to stay so (durations of an average load).
const LOCK_VALIDITY_LOADS: f64 = 0.5;
/// Minimum cost of a spill for a retry to be worthwhile (ticks).
const MIN_SPILL_TICKS: f64 = 2.0;
/// Lower limit on the share of work done since the mark (0 to 1) that a pace is computed from.
const MIN_SHARE_DONE: f64 = 0.01;

/// A progress report of one attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptProgress {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// What it reported.
    pub progress: Progress,
}

/// Conditions for a retry after a progress report.
struct RetryOptions {
    /// Whether the rules and limits allow cancelling the attempt and retrying.
    allowed: bool,
    /// Whether an untried engine without locks on the request's tables is available.
    engine_available: bool,
    /// Whether the attempt was already waiting, and has done no work.
    still_waiting: bool,
    /// Whether the attempt lacks memory or waits for a load, rather than being slow.
    lacks_resources: bool,
}

impl Policy {
    /// Handles a progress report.
    pub(super) fn on_progress(
        &mut self,
        now: f64,
        id: &RequestId,
        report: AttemptProgress,
        out: &mut Vec<Action>,
    ) {
        let AttemptProgress { attempt, progress } = report;
        let Some(number) = self.requests.number_of(id) else { return };
        let request = &self.requests[number];
        let is_latest = attempt as usize + 1 == request.attempts.len();
        if !is_latest || !request.in_flight() || request.finished {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&request.attempts[attempt as usize].engine) {
            engine.health.last_received_at = now;
        }
        let options = self.retry_options(now, number, report);
        if progress == Progress::WaitsForLoad {
            self.record_locked_tables(now, number, attempt);
        }
        let better = self.is_retry_better(now, number, report, &options);
        if options.allowed && better && (options.engine_available || self.settings.may_hedge) {
            if let Some(request) = self.requests.get_mut(number) {
                request.attempts[attempt as usize].cancelled_for_resources = options.lacks_resources;
            }
            out.push(Action::Cancel { id: id.clone(), attempt });
        }
    }

    fn retry_options(&self, now: f64, number: RequestNumber, report: AttemptProgress) -> RetryOptions {
        let request = &self.requests[number];
        let attempt = &request.attempts[report.attempt as usize];
        let still_waiting = attempt.progress_since.is_none()
            && matches!(report.progress, Progress::Done(share) if share <= 0.0);
        let lacks_resources = still_waiting || !matches!(report.progress, Progress::Done(_));
        // Such retries leave one attempt for failures.
        let reserved = u32::from(lacks_resources);
        let attempts_left = report.attempt + 1 + reserved < self.settings.max_attempts;
        let idempotent = self.settings.classes[request.query.class].idempotency == Idempotency::Always;
        let in_budget = || self.retry_budget.allows(now, &self.settings);
        RetryOptions {
            allowed: idempotent && attempts_left && self.settings.may_cancel && in_budget(),
            engine_available: self.is_untried_engine_available(now, request),
            still_waiting,
            lacks_resources,
        }
    }

    /// Whether an untried engine is available on which no load locks the request's tables.
    fn is_untried_engine_available(&self, now: f64, request: &Request) -> bool {
        let tables = request.query.tables;
        let mut engines = self.engines.available();
        engines.any(|engine| !engine.has_locked(now, tables) && !request.tried(&engine.entry.id))
    }

    fn record_locked_tables(&mut self, now: f64, number: RequestNumber, attempt: u32) {
        let validity = LOCK_VALIDITY_LOADS * self.costs.load_duration(&self.settings);
        let request = &self.requests[number];
        let engine = &request.attempts[attempt as usize].engine;
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.locked_tables.insert(request.query.tables, now + validity);
        }
    }

    /// Whether a retry would be faster than waiting for the attempt. Updates the attempt's pace with the
    /// report.
    fn is_retry_better(
        &mut self,
        now: f64,
        number: RequestNumber,
        report: AttemptProgress,
        options: &RetryOptions,
    ) -> bool {
        let Some(request) = self.requests.get_mut(number) else { return false };
        let service_time = service_time(&self.settings.classes[request.query.class], request.cost);
        let time_left = request.deadline - now;
        let attempt = &mut request.attempts[report.attempt as usize];
        match (report.progress, request.granted_memory) {
            (Progress::Spills(missing), Some(granted)) if request.required_memory.is_none() => {
                request.required_memory = Some(granted + missing);
                let spill_delay = service_time * missing / (granted + missing);
                spill_delay > MIN_SPILL_TICKS * self.settings.tick
            }
            (Progress::Spills(_), _) => false,
            (Progress::WaitsForMemory, _) => {
                attempt.progress_since = None; // its pace is computed from the next report on
                true
            }
            (Progress::WaitsForLoad, _) => {
                attempt.progress_since = None; // it is blocked: no pace until it continues
                options.engine_available
            }
            (Progress::Done(_), _) if options.still_waiting => options.engine_available,
            (Progress::Done(share), _) => {
                let remaining = project_remaining(now, attempt, share);
                time_left > attempt.expected_delay
                    && remaining > MAX_REMAINING_DELAYS * attempt.expected_delay
            }
        }
    }
}

/// Remaining time of an attempt projected from its pace (seconds), with `share` of the work done (0 to 1).
fn project_remaining(now: f64, attempt: &mut Attempt, share: f64) -> f64 {
    let mark = *attempt.progress_since.get_or_insert(ProgressMark { at: now, share_done: share });
    let remaining = (now - mark.at) * (1.0 - share) / (share - mark.share_done).max(MIN_SHARE_DONE);
    attempt.projected_delay = Some(now - attempt.sent_at + remaining);
    remaining
}
