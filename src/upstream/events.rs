//! Events queued for the core.

use crate::core::{AttemptOutcome, AttemptReport, UpstreamEvent};
use crate::net::{BufferedStream, ConnectState};
use dahliaspoke::policy::{Progress, RequestId};
use std::collections::VecDeque;

/// One attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub number: u32,
}

impl AttemptKey {
    /// Builds the key of an attempt.
    pub fn new(id: &RequestId, number: u32) -> Self {
        Self { id: id.clone(), number }
    }
}

/// Events queued for the core, oldest first.
#[derive(Default)]
pub struct EventQueue(VecDeque<UpstreamEvent>);

impl EventQueue {
    /// Reports the end of an attempt without a report from the engine.
    pub fn attempt_ended(&mut self, id: &RequestId, number: u32, outcome: AttemptOutcome) {
        self.0.push_back(UpstreamEvent::ended(id, number, outcome));
    }

    /// Reports the end of an attempt with the engine's report.
    pub fn attempt_reported(&mut self, key: AttemptKey, outcome: AttemptOutcome, report: AttemptReport) {
        let AttemptKey { id, number } = key;
        self.0.push_back(UpstreamEvent::AttemptEnd { id, attempt: number, outcome, report });
    }

    /// Reports the progress of a running attempt.
    pub fn progress(&mut self, key: AttemptKey, progress: Progress) {
        self.0.push_back(UpstreamEvent::Progress { id: key.id, attempt: key.number, progress });
    }

    /// Removes and returns the oldest event.
    pub fn pop(&mut self) -> Option<UpstreamEvent> {
        self.0.pop_front()
    }
}

/// The outcome of an attempt whose connection is closed; `unsent` if no byte of the attempt was written.
pub fn outcome_of_close(stream: &BufferedStream, unsent: bool) -> AttemptOutcome {
    match unsent {
        true if stream.connect_state() == ConnectState::Refused => AttemptOutcome::ConnectionRefused,
        true => AttemptOutcome::Unsent,
        false => AttemptOutcome::Reset,
    }
}
