//! Retry budget (rule 7 on attempts): a limit on retries and hedged requests over a sliding window.

use super::engine_state::{AttemptKey, EXPIRY_MARGIN_S};
use super::Settings;

/// An attempt other than its request's first.
struct Retry {
    /// When it was sent (seconds).
    sent_at: f64,
    key: AttemptKey,
}

/// Requests and retries in the window of the retry budget.
#[derive(Default)]
pub struct RetryBudgetTracker {
    /// When requests were accepted (seconds).
    accepted: Vec<f64>,
    retries: Vec<Retry>,
}

impl RetryBudgetTracker {
    /// Records an accepted request.
    pub fn add_request(&mut self, now: f64, settings: &Settings) {
        if settings.retry_budget.is_some() {
            self.accepted.push(now);
        }
    }

    /// Records an attempt if it is a retry.
    pub fn add_attempt(&mut self, now: f64, settings: &Settings, key: AttemptKey) {
        if key.attempt > 0 && settings.retry_budget.is_some() {
            self.retries.push(Retry { sent_at: now, key });
        }
    }

    /// Removes an attempt that was never sent and thus used none of the budget.
    pub fn remove_attempt(&mut self, key: AttemptKey) {
        self.retries.retain(|retry| retry.key != key);
    }

    /// Whether the budget allows a retry now, counting it and those in the window before it.
    pub fn allows(&self, now: f64, settings: &Settings) -> bool {
        let Some(budget) = settings.retry_budget else { return true };
        let from = now - budget.window;
        let retries =
            self.retries.iter().filter(|retry| retry.sent_at >= from - settings.tick).count() as f64;
        let accepted = self.accepted.iter().filter(|at| **at > from + settings.tick).count() as f64;
        retries + 1.0 <= budget.min_attempts + budget.attempts_per_request * accepted
    }

    /// Drops requests and retries that have left the window.
    pub fn expire(&mut self, now: f64, settings: &Settings) {
        if let Some(budget) = settings.retry_budget {
            let from = now - budget.window - EXPIRY_MARGIN_S;
            self.retries.retain(|retry| retry.sent_at > from);
            self.accepted.retain(|at| *at >= from);
        }
    }
}
