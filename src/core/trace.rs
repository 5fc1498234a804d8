//! A log line for each step of a request, for tools that aggregate the logs of many coordinators, such as the
//! simulator's `account`. Off unless `deploy/trace.toml` enables it: under load, trace lines make up most of
//! the program's output.

use super::request_table::AttemptId;
use super::{Answer, AttemptReport, Request};
use crate::config::{read_optional, ConfigError};
use crate::net::Time;
use dahliaspoke::policy::{EngineId, Outcome, Progress, RequestId};
use serde::Deserialize;
use std::fmt;

/// Path of the configuration file, relative to the working directory.
const FILE: &str = "deploy/trace.toml";
/// Placeholder for a value that was not reported.
const NOT_REPORTED: &str = "-";

/// Which trace lines are written.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Lines for each request, attempt, progress report, end and answer, and for the sums over all engines.
    #[serde(default)]
    requests: bool,
}

/// Sums over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    /// Bounds on the backlogs (ms of one thread).
    pub bounds: f64,
    /// Backlogs (ms of one thread).
    pub backlog: f64,
    /// Number of ejected engines.
    pub ejected: u32,
}

impl Trace {
    /// Reads the configuration file; without it, nothing is traced.
    ///
    /// # Errors
    /// If the file cannot be read or is invalid.
    pub fn from_file() -> Result<Self, ConfigError> {
        Ok(read_optional(FILE)?.unwrap_or_default())
    }

    fn write(self, now: Time, line: fmt::Arguments) {
        if self.requests {
            tracing::info!(at = now, "{line}");
        }
    }

    /// A request arrived: its class, its estimated work (ms of one thread), and its client's timeout (s).
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

    /// An attempt ended: the shares of the engine's cores, memory and disks in use, and the work (ms of one
    /// thread) and memory (MB) that the query needed, each if reported.
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

    /// A running attempt reported its progress.
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

/// Formats a share with two decimals.
fn share(share: Option<f64>) -> String {
    share.map_or(NOT_REPORTED.into(), |share| format!("{share:.2}"))
}

/// Formats an amount without decimals.
fn amount(amount: Option<f64>) -> String {
    amount.map_or(NOT_REPORTED.into(), |amount| format!("{amount:.0}"))
}
