//! Statistics for operators, and the counters that are logged on SIGUSR1 and at exit.

use super::Daemon;
use crate::body_store;
use crate::discovery::Endpoint;
use crate::net::Time;
use dahliaspoke::policy::Lifecycle;
use std::fmt::{Display, Write};

/// Statistics as text, one line `app.NAME=VALUE` per value.
#[derive(Default)]
struct StatisticsText(String);

impl StatisticsText {
    fn add(&mut self, name: impl Display, value: u64) {
        let _ = writeln!(self.0, "app.{name}={value}"); // writing to a string cannot fail
    }
}

impl Daemon {
    /// The statistics for operators.
    pub(super) fn statistics(&self, now: Time) -> String {
        let mut out = StatisticsText::default();
        self.add_answers(&mut out);
        self.add_bodies(&mut out);
        if let Some(store) = &self.handlers.store {
            store.record_statistics(now, |name, value| out.add(name, value));
        }
        out.add("upstream_requests", self.handlers.routes.attempts_written());
        out.add("pending", self.core.open_requests() as u64);
        self.add_endpoints(&mut out);
        out.0
    }

    /// Answers by class.
    fn add_answers(&self, out: &mut StatisticsText) {
        for (class, answers) in self.class_names.iter().zip(&self.core.counters.answers) {
            out.add(format_args!("completed.{class}"), answers.served);
            out.add(format_args!("rejected.{class}"), answers.rejected);
            out.add(format_args!("failed.{class}"), answers.failed);
        }
    }

    /// Large bodies by class.
    fn add_bodies(&self, out: &mut StatisticsText) {
        let Some(bodies) = &self.handlers.body_store else { return };
        for (class, figures) in self.class_names.iter().zip(bodies.borrow().counters()) {
            body_store::report_counters(class, figures, |name, value| out.add(name, value));
        }
    }

    fn add_endpoints(&self, out: &mut StatisticsText) {
        let endpoints = self.endpoints.all();
        let available = endpoints.iter().filter(|endpoint| self.is_available(endpoint)).count();
        out.add("members", endpoints.len() as u64);
        out.add("members_unavailable", (endpoints.len() - available) as u64);
    }

    /// Whether attempts may go to an endpoint.
    fn is_available(&self, endpoint: &Endpoint) -> bool {
        let entry = &endpoint.entry;
        entry.lifecycle == Lifecycle::Ready
            && !self.maintenance.contains(&entry.id)
            && !self.core.is_ejected(&entry.id)
    }

    /// The counters in one line.
    pub(super) fn counters(&mut self) -> String {
        self.core.counters.bad = self.handlers.routes.malformed_requests();
        format!("counters {} lists_bad={}", self.core.counters, self.handlers.discovery.unusable_responses())
    }
}
