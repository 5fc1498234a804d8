//! A log line for each step of a request, for whoever counts over many coordinators. Off unless
//! `deploy/trace.toml` says otherwise: at size it is most of what the program writes.

use super::AttemptReport;
use crate::config::optional;
use crate::net::Time;
use dahliaspoke::policy::{EngineId, EngineStatus, Outcome, Progress, RequestId};
use dahliaspoke::settings::Res;
use serde::Deserialize;
use std::fmt;

/// Where the file is, from the folder that the daemon is started in.
const FILE: &str = "deploy/trace.toml";

/// What is written out.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Each request, attempt, end and answer.
    #[serde(default)]
    requests: bool,
}

impl Trace {
    /// What the file asks for; nothing without one.
    pub fn from_file() -> Res<Self> {
        Ok(optional(FILE)?.unwrap_or_default())
    }

    fn line(self, now: Time, line: fmt::Arguments) {
        if self.requests {
            tracing::info!(at = now, "{line}");
        }
    }

    /// A request came in: its class, its estimate (ms of one thread), and the time its client waits (s).
    pub fn taken(self, now: Time, id: &RequestId, class: usize, estimate: Option<f64>, left: f64) {
        self.line(now, format_args!("taken {id} {class} {:.0} {left:.3}", estimate.unwrap_or(0.0)));
    }

    pub fn sent(self, now: Time, id: &RequestId, attempt: u32, engine: &EngineId) {
        self.line(now, format_args!("sent {id} {attempt} {engine}"));
    }

    /// The engine's cores, memory and disks, as parts in use, and the attempt's work (ms) and memory (MB), where told.
    pub fn ended(self, now: Time, id: &RequestId, attempt: u32, outcome: Outcome, told: AttemptReport) {
        let report = told.report.unwrap_or_default();
        let [work, need] = [told.work, told.memory].map(|n| n.map_or("-".into(), |n| format!("{n:.0}")));
        let [cores, memory, disks] = [report.util, report.memory, report.disk]
            .map(|part| part.map_or("-".into(), |p| format!("{p:.2}")));
        self.line(
            now,
            format_args!("ended {id} {attempt} {outcome:?} {cores} {memory} {disks} {work} {need}"),
        );
    }

    pub fn noted(self, now: Time, id: &RequestId, attempt: u32, progress: Progress) {
        self.line(now, format_args!("noted {id} {attempt} {progress:?}"));
    }

    /// Once a second: bounds and work in hand over all engines (ms), and how many are left out as bad.
    pub fn pool(self, now: Time, engines: impl Iterator<Item = EngineStatus>) {
        if self.requests {
            let (mut bounds, mut backlogs, mut ejected) = (0.0, 0.0, 0);
            for engine in engines {
                bounds += engine.bound;
                backlogs += engine.backlog;
                ejected += u32::from(engine.ejected);
            }
            self.line(now, format_args!("pool {bounds:.0} {backlogs:.0} {ejected}"));
        }
    }

    pub fn answered(self, now: Time, id: &RequestId, word: &str) {
        self.line(now, format_args!("answered {id} {word}"));
    }
}
