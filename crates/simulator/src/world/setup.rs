//! The initial state of a run, drawn from a scenario and a seed.

use super::state::{Connections, Coordinator};
use super::{PolicyFactory, World};
use crate::audit::Auditor;
use crate::engine::Engine;
use crate::micros;
use crate::policy::PolicyKind;
use crate::queue::Queue;
use crate::report::{RunTrace, Tally};
use crate::scenario::{zone_name, Scenario};
use dahliaspoke::policy::{EngineEntry, Lifecycle, Settings};
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal, Normal};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Speed of the slowest and the fastest engine, relative to the mean.
const ENGINE_SPEED_RANGE: (f64, f64) = (0.5, 2.0);

impl<'a> World<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        kind: PolicyKind,
        seed: u64,
        make_policy: PolicyFactory<'a>,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings: Vec<Settings> =
            (0..scenario.coordinators).map(|number| scenario.settings(number)).collect();
        let engines = draw_engines(scenario, &mut rng);
        let rates = draw_rates(scenario, &engines, &mut rng);
        let coordinators = rates.into_iter().enumerate().map(|(number, rate)| Coordinator {
            zone: number % scenario.zones,
            policy: make_policy(&settings[number], seed ^ (number as u64 + 1) << 20),
            incarnation: 0,
            up: true,
            rate,
            burst: 1.0,
            connections: vec![Connections::default(); scenario.engines],
            submissions: Vec::new(),
        });
        Self {
            coordinators: coordinators.collect(),
            auditor: Auditor::new(settings[0].clone(), scenario.grace_s),
            load_reports: engines.iter().map(Engine::report).collect(),
            engine_delays: vec![0.0; engines.len()],
            entries: (0..scenario.engines).map(|number| entry(scenario, number)).collect(),
            tally: Tally::new(scenario.classes.iter().map(|class| class.name.clone())),
            end: micros(scenario.seconds),
            traffic_rng: Pcg64Mcg::seed_from_u64(!seed),
            scenario,
            settings,
            kind,
            make_policy,
            rng,
            queue: Queue::default(),
            now: 0,
            engines,
            reports_frozen: false,
            lost_answers: 0.0,
            unreachable_zone: None,
            requests: Vec::new(),
            submissions: Vec::new(),
            attempts: Vec::new(),
            trace: RunTrace::default(),
            actions: Vec::new(),
            pending: VecDeque::new(),
        }
    }
}

fn draw_engines(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<Engine> {
    let speeds = Normal::new(1.0, scenario.speed_cv.max(0.0)).ok();
    let (slowest, fastest) = ENGINE_SPEED_RANGE;
    let engine = |_| {
        let factor = speeds.map_or(1.0, |normal| normal.sample(rng).clamp(slowest, fastest));
        let mut spec = scenario.engine.clone();
        spec.speed *= factor;
        Engine::new(spec)
    };
    (0..scenario.engines).map(engine).collect()
}

/// Request rate of each coordinator's clients (1/s); together they make up the scenario's load on all
/// engines.
fn draw_rates(scenario: &Scenario, engines: &[Engine], rng: &mut Pcg64Mcg) -> Vec<f64> {
    let distribution = lognormal(1.0, scenario.traffic_cv);
    let weights: Vec<f64> = (0..scenario.coordinators).map(|_| distribution.sample(rng)).collect();
    let share: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let mean_work = scenario.classes.iter().map(|class| class.share * class.work_ms).sum::<f64>() / share;
    let capacity: f64 = engines.iter().map(|engine| engine.capacity(0)).sum();
    let rate = scenario.load * capacity / mean_work;
    let total_weight: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| rate * weight / total_weight).collect()
}

fn entry(scenario: &Scenario, number: usize) -> EngineEntry {
    EngineEntry {
        id: format!("e{number}").into(),
        zone: zone_name(number % scenario.zones).into(),
        kind: "std".into(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        started: None,
    }
}

/// A log-normal distribution with this mean and coefficient of variation.
pub(super) fn lognormal(mean: f64, cv: f64) -> LogNormal<f64> {
    LogNormal::from_mean_cv(mean.max(1e-9), cv.max(0.0)).unwrap_or_else(|_| {
        // Only if the mean or the variation is not a number, which the validation of scenarios rules out.
        LogNormal::new(0.0, 0.0).unwrap_or_else(|_| unreachable!("a standard deviation of 0 is valid"))
    })
}
