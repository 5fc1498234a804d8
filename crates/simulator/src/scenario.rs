//! What is played: sizes, traffic, network, troubles. Every value has a default, so a file names what differs.

use crate::engine::Spec;
use crate::report::PRICES;
use dahliaspoke::policy::*;
use serde::Deserialize;

/// A scenario, as its file has it (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// How long requests come (s).
    pub seconds: f64,
    /// Coordinators.
    pub coordinators: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Work asked for, over what all cores do.
    pub load: f64,
    /// How unevenly coordinators are asked: the coefficient of variation of their shares.
    pub uneven: f64,
    /// Halls; coordinators and engines are spread over them in turn.
    pub halls: usize,
    /// One way inside a hall (ms).
    pub same_ms: f64,
    /// One way between halls (ms).
    pub cross_ms: f64,
    /// A new connection takes this much more (ms).
    pub handshake_ms: f64,
    /// A connect that nobody answers ends after this (ms).
    pub connect_ms: f64,
    /// From a change of the list until coordinators hear of it, in the mean (ms).
    pub list_ms: f64,
    /// From the end of an engine that says nothing until the list knows (s).
    pub silent_s: f64,
    /// Pause between two load reports of an engine (ms).
    pub report_ms: f64,
    /// Pause between two notes of a running query (ms).
    pub note_ms: f64,
    /// Groups of tables.
    pub groups: u64,
    /// How unevenly they are asked for: the exponent of Zipf's law.
    pub zipf: f64,
    /// How far estimates are off: standard deviation of their logarithm.
    pub estimate_noise: f64,
    /// Speed of engines: coefficient of variation.
    pub speed_cv: f64,
    /// Further tries of a client.
    pub retries: u32,
    /// A client's pause before it tries again (ms), where it does not heed the time told.
    pub backoff_ms: f64,
    /// Share of clients that do.
    pub honour: f64,
    /// A coordinator that died is up again after this (s).
    pub restart_s: f64,
    /// A client notices that its coordinator died after this (s).
    pub notice_s: f64,
    /// What drains leave (s).
    pub grace_s: f64,
    /// What engines are made of.
    pub engine: Spec,
    /// Classes of requests; without any, the usual three.
    pub class: Vec<Class>,
    /// What goes wrong.
    pub trouble: Vec<Trouble>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seconds: 40.0,
            coordinators: 3,
            engines: 6,
            load: 0.7,
            uneven: 0.2,
            halls: 2,
            same_ms: 0.2,
            cross_ms: 2.0,
            handshake_ms: 1.0,
            connect_ms: 250.0,
            list_ms: 500.0,
            silent_s: 6.0,
            report_ms: 400.0,
            note_ms: 500.0,
            groups: 0,
            zipf: 0.75,
            estimate_noise: 0.3,
            speed_cv: 0.1,
            retries: 1,
            backoff_ms: 200.0,
            honour: 0.6,
            restart_s: 1.0,
            notice_s: 2.0,
            grace_s: 1.0,
            engine: Spec::default(),
            class: usual(),
            trouble: Vec::new(),
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, against the others.
    pub share: f64,
    /// Work in the mean (ms of one thread).
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Share of the work on disks.
    pub io: f64,
    /// Threads.
    pub threads: f64,
    /// Memory in the mean (MB).
    pub memory_mb: f64,
    /// Full worth within this many seconds ...
    pub aim_s: f64,
    /// ... plus this times work over threads.
    pub stretch: f64,
    /// A client waits so long in all (s).
    pub deadline_s: f64,
    /// Worth of one.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth after the aim.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// May it be repeated.
    #[serde(rename = "effect")]
    pub idempotency: Repeats,
    /// For keyed ones: how long repeats are dropped (s).
    pub window_s: f64,
    /// It holds its group of tables while it runs.
    pub load: bool,
    /// It stands still while a load holds its group.
    pub waits: bool,
}

/// How a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeats {
    /// Any number of times.
    Repeatable,
    /// Engines drop repeats for a while.
    Keyed,
    /// Never.
    Once,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: "query".into(),
            share: 1.0,
            work_ms: 100.0,
            cv: 1.0,
            io: 0.3,
            threads: 1.0,
            memory_mb: 100.0,
            aim_s: 1.0,
            stretch: 1.5,
            deadline_s: 5.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Repeats::Repeatable,
            window_s: 5.0,
            load: false,
            waits: false,
        }
    }
}

/// Look-ups, reports and loads, in the proportions of a service that mixes them.
fn usual() -> Vec<Class> {
    vec![
        Class {
            name: "lookup".into(),
            share: 12.0,
            work_ms: 110.0,
            aim_s: 0.6,
            deadline_s: 3.0,
            waits: true,
            ..Class::default()
        },
        Class {
            name: "report".into(),
            share: 2.4,
            work_ms: 2500.0,
            cv: 1.3,
            io: 0.5,
            threads: 2.0,
            memory_mb: 700.0,
            aim_s: 1.5,
            stretch: 2.5,
            deadline_s: 25.0,
            priority_weight: 7.5,
            late_weight: 0.3,
            ..Class::default()
        },
        Class {
            name: "load".into(),
            share: 1.0,
            work_ms: 5000.0,
            cv: 0.6,
            io: 0.5,
            threads: 2.0,
            memory_mb: 700.0,
            aim_s: 3.0,
            stretch: 3.0,
            deadline_s: 20.0,
            priority_weight: 20.0,
            late_weight: 0.6,
            idempotency: Repeats::Keyed,
            window_s: 20.0,
            load: true,
            ..Class::default()
        },
    ]
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When (s).
    pub at_s: f64,
    /// For how long (s).
    #[serde(default)]
    pub for_s: f64,
    /// Share of the engines, or of the coordinators for a herd.
    #[serde(default = "part")]
    pub part: f64,
    /// How bad, where that can be told: a share.
    #[serde(default = "part")]
    pub size: f64,
}

fn part() -> f64 {
    0.25
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Engines end at once, and come back cold.
    Crash,
    /// Engines take queries and do nothing.
    Hang,
    /// A share of the queries fails at once.
    Errors,
    /// Something else takes a share of the cores.
    Neighbour,
    /// Load reports stay as they were.
    LateReports,
    /// Engines drain, go, and are replaced by cold ones in the same places.
    Replace,
    /// A hall cannot be reached, and its engines come back cold.
    LostHall,
    /// A share of the answers never arrives.
    LostAnswers,
    /// Coordinators die at once and start with nothing but their list.
    Herd,
    /// Clients of a part of the coordinators ask for `size` more.
    Burst,
}

impl Scenario {
    /// Reads a file's text.
    ///
    /// # Errors
    /// Where it is none, with the line.
    pub fn read(text: &str) -> Result<Self, String> {
        let scenario: Self = crate::from_toml(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("{name} is {value}, not between {least} and {most}"))
            }
        };
        within("seconds", self.seconds, 0.1, 1e5)?;
        within("coordinators", self.coordinators as f64, 1.0, 1000.0)?;
        within("engines", self.engines as f64, 1.0, 200.0)?;
        within("load", self.load, 0.001, 10.0)?;
        within("halls", self.halls as f64, 1.0, 16.0)?;
        within("honour", self.honour, 0.0, 1.0)?;
        within("report_ms", self.report_ms, 1.0, 1e5)?;
        within("note_ms", self.note_ms, 1.0, 1e5)?;
        if self.class.is_empty() {
            return Err("class: there is none".into());
        }
        self.trouble.iter().try_for_each(|t| within("trouble part", t.part, 0.0, 1.0))
    }

    /// Groups of tables: two an engine, unless told.
    #[must_use]
    pub fn all_groups(&self) -> u64 {
        if self.groups > 0 {
            self.groups
        } else {
            2 * self.engines as u64
        }
    }

    /// What a coordinator is told at its start.
    #[must_use]
    pub fn settings(&self, number: usize) -> Settings {
        let classes = self.class.iter().map(|class| ClassSettings {
            name: class.name.clone(),
            latency_objective: class.aim_s,
            objective_stretch: class.stretch,
            client_timeout: class.deadline_s,
            priority_weight: class.priority_weight,
            late_weight: class.late_weight,
            idempotency: match class.idempotency {
                Repeats::Repeatable => Idempotency::Always,
                Repeats::Keyed => Idempotency::WithKey,
                Repeats::Once => Idempotency::Never,
            },
            dedup_scope: DedupScope::All,
            dedup_window: class.window_s,
            ordered: false,
            stream: false,
            zones: None,
            kinds: None,
            threads: class.threads,
            is_load: class.load,
            yields_to_loads: class.waits,
        });
        Settings {
            classes: classes.collect(),
            kinds: vec![KindSettings {
                name: "std".into(),
                cores: self.engine.cores,
                memory: self.engine.memory_mb,
            }],
            tenants: Vec::new(),
            gateways: self.coordinators as f64,
            index: number as f64,
            zone: hall(number % self.halls),
            cross_zone_cost: PRICES.0,
            handshake_cost: PRICES.2,
            must_subscribe: false,
            may_cancel: true,
            may_hedge: true,
            retry_after: Some(0.5),
            priorities: true,
            grants: true,
            reports_cost: false,
            max_attempts: 4,
            tick: 0.005,
            // What operators tell: a little less than it is.
            initial_capacity_share: self.engine.cold_from * 0.85,
            warmup_time: self.engine.cold_s * 1.2,
            overload_multiple: self.engine.overload_multiple,
            overload_window: self.engine.fall_s,
            order_settle: 0.0,
            retry_budget: None,
        }
    }
}

/// Name of a hall.
#[must_use]
pub fn hall(number: usize) -> String {
    format!("hall-{number}")
}
