//! Classes of requests in a scenario.

use dahliaspoke::policy;
use serde::Deserialize;

/// One class of requests. The keys are those of scenario files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work (ms of one thread).
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    #[serde(rename = "cv")]
    pub work_cv: f64,
    /// Share of the work that is done on disks.
    #[serde(rename = "io")]
    pub io_share: f64,
    /// Number of threads.
    pub threads: f64,
    /// Mean memory (MB).
    pub memory_mb: f64,
    /// Fixed part of the latency objective, the time within which requests earn their full weight (s).
    #[serde(rename = "aim_s")]
    pub latency_objective_s: f64,
    /// Variable part of the latency objective: factor on the work divided by the threads.
    #[serde(rename = "stretch")]
    pub objective_stretch: f64,
    /// How long a client waits in total, including retries (s).
    #[serde(rename = "deadline_s")]
    pub client_timeout_s: f64,
    /// Weight that a request earns when served in time.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight that it earns when served after the objective.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether its requests may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// With an idempotency key: how long engines drop repeats (s).
    #[serde(rename = "window_s")]
    pub dedup_window_s: f64,
    /// Whether its requests lock their group of tables while they run.
    #[serde(rename = "load")]
    pub is_load: bool,
    /// Whether its requests wait while a load locks their group.
    #[serde(rename = "waits")]
    pub yields_to_loads: bool,
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Idempotency {
    /// It may run any number of times.
    #[serde(rename = "repeatable")]
    Always,
    /// Engines drop repeats with the same key within the dedup window.
    #[serde(rename = "keyed")]
    WithKey,
    /// It must run at most once.
    #[serde(rename = "once")]
    Never,
}

impl From<Idempotency> for policy::Idempotency {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Always => Self::Always,
            Idempotency::WithKey => Self::WithKey,
            Idempotency::Never => Self::Never,
        }
    }
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: "query".into(),
            share: 1.0,
            work_ms: 100.0,
            work_cv: 1.0,
            io_share: 0.3,
            threads: 1.0,
            memory_mb: 100.0,
            latency_objective_s: 1.0,
            objective_stretch: 1.5,
            client_timeout_s: 5.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Always,
            dedup_window_s: 5.0,
            is_load: false,
            yields_to_loads: false,
        }
    }
}

/// Look-ups, reports and loads, in the proportions of a service that mixes them.
pub(super) fn default_classes() -> Vec<Class> {
    vec![lookup(), report(), load()]
}

fn lookup() -> Class {
    Class {
        name: "lookup".into(),
        share: 12.0,
        work_ms: 110.0,
        latency_objective_s: 0.6,
        client_timeout_s: 3.0,
        yields_to_loads: true,
        ..Class::default()
    }
}

fn report() -> Class {
    Class {
        name: "report".into(),
        share: 2.4,
        work_ms: 2500.0,
        work_cv: 1.3,
        io_share: 0.5,
        threads: 2.0,
        memory_mb: 700.0,
        latency_objective_s: 1.5,
        objective_stretch: 2.5,
        client_timeout_s: 25.0,
        priority_weight: 7.5,
        late_weight: 0.3,
        ..Class::default()
    }
}

fn load() -> Class {
    Class {
        name: "load".into(),
        share: 1.0,
        work_ms: 5000.0,
        work_cv: 0.6,
        io_share: 0.5,
        threads: 2.0,
        memory_mb: 700.0,
        latency_objective_s: 3.0,
        objective_stretch: 3.0,
        client_timeout_s: 20.0,
        priority_weight: 20.0,
        late_weight: 0.6,
        idempotency: Idempotency::WithKey,
        dedup_window_s: 20.0,
        is_load: true,
        ..Class::default()
    }
}
