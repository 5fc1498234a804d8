//! A log line for each step of a request, for tools that add up the logs of many coordinators; the simulator's `account`
//! reads them. Off unless `deploy/trace.toml` switches it on: under load it is most of what the program writes.

use super::request_table::AttemptId;
use super::{Answer, AttemptReport, Request};
use crate::config::{read_optional, ConfigError};
use crate::net::Time;
use dahliaspoke::policy::{EngineId, Outcome, Progress, RequestId};
use serde::Deserialize;
use std::fmt;

/// The file's path, relative to the working directory.
const FILE: &str = "deploy/trace.toml";
/// Stands for a figure that was not reported.
const NOT_REPORTED: &str = "-";

/// Which lines are written.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Each request, attempt, end and answer.
    #[serde(default)]
    requests: bool,
}

/// Sums over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    /// Bounds of the work in hand (ms of one thread).
    pub bounds: f64,
    /// Work in hand (ms of one thread).
    pub backlog: f64,
    /// Engines that are ejected.
    pub ejected: u32,
}

impl Trace {
    /// Reads the file; nothing is written without one.
    ///
    /// # Errors
    /// What is wrong with the file.
    pub fn from_file() -> Result<Self, ConfigError> {
        Ok(read_optional(FILE)?.unwrap_or_default())
    }

    fn write(self, now: Time, line: fmt::Arguments) {
        if self.requests {
            tracing::info!(at = now, "{line}");
        }
    }

    /// A request came in: its class, its estimated work (ms of one thread), and how long its client waits (s).
    pub(super) fn request_received(self, now: Time, request: &Request) {
        let Request { id, class, .. } = request;
        let work = request.estimated_work.unwrap_or(0.0);
        let time_left = request.deadline - now;
        self.write(now, format_args!("taken {id} {class} {work:.0} {time_left:.3}"));
    }

    /// An upstream was asked to start an attempt.
    pub(super) fn attempt_sent(self, now: Time, attempt: &AttemptId, engine: &EngineId) {
        let AttemptId { request, number } = attempt;
        self.write(now, format_args!("sent {request} {number} {engine}"));
    }

    /// An attempt ended: the parts of the engine's cores, memory and disks in use, and the work (ms of one thread) and memory
    /// (MB) that the query needed, as far as they were reported.
    pub(super) fn attempt_ended(
        self,
        now: Time,
        attempt: &AttemptId,
        outcome: Outcome,
        report: AttemptReport,
    ) {
        let AttemptId { request, number } = attempt;
        let load = report.load.unwrap_or_default();
        let [cores, memory, disks] = [load.util, load.memory, load.disk].map(share);
        let [work, need] = [report.work, report.memory].map(amount);
        self.write(
            now,
            format_args!("ended {request} {number} {outcome:?} {cores} {memory} {disks} {work} {need}"),
        );
    }

    /// A running attempt reported of itself.
    pub(super) fn progress(self, now: Time, attempt: &AttemptId, progress: Progress) {
        let AttemptId { request, number } = attempt;
        self.write(now, format_args!("noted {request} {number} {progress:?}"));
    }

    /// Sums over all engines; they are computed only if the line is written.
    pub(super) fn engine_totals(self, now: Time, totals: impl FnOnce() -> EngineTotals) {
        if self.requests {
            let EngineTotals { bounds, backlog, ejected } = totals();
            self.write(now, format_args!("pool {bounds:.0} {backlog:.0} {ejected}"));
        }
    }

    /// A request has its final answer.
    pub(super) fn answered(self, now: Time, id: &RequestId, answer: &Answer) {
        let answer = match answer {
            Answer::Served(_) => "served",
            Answer::Rejected(_) => "refused",
            Answer::Failed => "failed",
        };
        self.write(now, format_args!("answered {id} {answer}"));
    }
}

/// A share with two digits.
fn share(share: Option<f64>) -> String {
    share.map_or(NOT_REPORTED.into(), |share| format!("{share:.2}"))
}

/// An amount without a fraction.
fn amount(amount: Option<f64>) -> String {
    amount.map_or(NOT_REPORTED.into(), |amount| format!("{amount:.0}"))
}
