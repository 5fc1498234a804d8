//! A trial: a directory, engines, two coordinators that are the real program, load, and a kill of an engine
//! and of a coordinator in the middle. It creates everything it needs and removes it afterwards.

mod coordinator;
mod error;
mod table;

pub use coordinator::program;
pub use error::TrialError;

use crate::arrivals::{schedule, Intervals, Shape};
use crate::file_error::FileError;
use crate::load::{Driver, Mode, RetryBehaviour, Summary};
use crate::scenario::{Class, Scenario};
use crate::sockets::{run, Target, TrafficClass};
use crate::standin::{Directory, DirectoryEntry, EngineServer};
use coordinator::{Coordinator, CoordinatorSetup};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of engines.
const ENGINES: usize = 4;
/// Cores of each engine; few, so that a small machine can run the trial.
const CORES: f64 = 4.0;
/// The zone of all engines.
const ZONE: &str = "hall-0";
/// Maximum number of connections of the load generator.
const CONNECTIONS: usize = 600;
/// How long the load generator waits for the last answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// When the engine is killed, as a share of the trial.
const ENGINE_KILL: f64 = 0.35;
/// Time from the kill of the engine to its restart, and from there to the kill of the coordinator, as a share
/// of the trial.
const BETWEEN_FAULTS: f64 = 0.1;
/// Time from the kill of the coordinator to its restart, as a share of the trial.
const COORDINATOR_DOWN: f64 = 0.05;

/// The parameters of a trial.
#[derive(Clone, Copy, Debug)]
pub struct TrialParameters {
    /// How long load is sent (s).
    pub seconds: f64,
    /// Load, as a share of the capacity of all engines.
    pub load: f64,
    /// Seed of the requests.
    pub seed: u64,
}

/// Queries that one engine served.
pub struct EngineTotal {
    /// The engine.
    pub id: String,
    /// Its queries.
    pub queries: u64,
}

/// The results of a trial. [`Display`](std::fmt::Display) prints them as a table.
pub struct TrialOutcome {
    /// The summary of all requests.
    pub summary: Summary,
    /// Queries served, by engine.
    pub served: Vec<EngineTotal>,
}

/// The stand-ins of a trial, and the parameters of its coordinators.
struct Testbed {
    engines: Vec<EngineServer>,
    directory: Directory,
    setup: CoordinatorSetup,
}

/// Runs a trial; `announce` is called with a line for each step.
///
/// # Errors
/// Returns an error if the daemon or a stand-in cannot be started.
pub fn play(parameters: TrialParameters, announce: impl Fn(&str) + Sync) -> Result<TrialOutcome, TrialError> {
    let program = program()?;
    let folder = std::env::temp_dir().join(format!("dahliaspoke-trial-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
    let outcome = Testbed::start(&program, &folder).and_then(|testbed| testbed.play(parameters, announce));
    let _ = std::fs::remove_dir_all(&folder); // a failure leaves only temporary files behind
    outcome
}

impl Testbed {
    fn start(program: &Path, folder: &Path) -> Result<Self, TrialError> {
        let scenario = Scenario::default();
        let mut spec = scenario.engine.clone();
        (spec.cores, spec.disks) = (CORES, CORES);
        let start =
            |number| EngineServer::start(&format!("e{number}"), spec.clone(), scenario.classes.clone());
        let engines: Vec<EngineServer> = (0..ENGINES).map(start).collect::<Result<_, _>>()?;
        let entries: Vec<DirectoryEntry> = engines.iter().map(directory_entry).collect();
        let directory = Directory::start(entries.clone())?;
        let setup = CoordinatorSetup {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            directory: directory.address,
            engines: entries,
        };
        Ok(Self { engines, directory, setup })
    }

    fn play(
        &self,
        parameters: TrialParameters,
        announce: impl Fn(&str) + Sync,
    ) -> Result<TrialOutcome, TrialError> {
        let first = self.setup.start("c0", "127.0.0.1:0")?;
        let second = self.setup.start("c1", "127.0.0.1:0")?;
        announce(&format!(
            "{ENGINES} engines, a directory, coordinators on {} and {}",
            first.address, second.address
        ));
        let target = target(&[first.address, second.address], parameters.seed)?;
        let driver = driver(&target, parameters);
        let driver = std::thread::scope(|scope| {
            let faults = scope.spawn(|| self.inject_faults(second, parameters.seconds, &announce));
            let driver = run(driver, &target, ANSWER_TIMEOUT);
            let restarted = faults.join().map_err(|_| TrialError::FaultThread)?;
            restarted.map(|_| driver)
        })?;
        let total = |engine: &EngineServer| EngineTotal { id: engine.id.clone(), queries: engine.served() };
        Ok(TrialOutcome { summary: driver.summary(), served: self.engines.iter().map(total).collect() })
    }

    /// Kills an engine, then a coordinator, and starts both again. Returns the restarted coordinator.
    fn inject_faults(
        &self,
        coordinator: Coordinator,
        seconds: f64,
        announce: &impl Fn(&str),
    ) -> Result<Coordinator, TrialError> {
        let sleep = |share: f64| std::thread::sleep(Duration::from_secs_f64(seconds * share));
        sleep(ENGINE_KILL);
        announce("an engine is killed, and restarts with a warm-up");
        self.engines[0].kill();
        sleep(BETWEEN_FAULTS);
        self.engines[0].restart();
        self.directory.change(|entries| entries[0].started_ms = unix_millis());
        sleep(BETWEEN_FAULTS);
        announce("a coordinator is killed, and restarts");
        let listen = coordinator.address.to_string();
        drop(coordinator);
        sleep(COORDINATOR_DOWN);
        self.setup.start("c1", &listen)
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn directory_entry(engine: &EngineServer) -> DirectoryEntry {
    DirectoryEntry {
        id: engine.id.clone(),
        zone: ZONE.into(),
        address: engine.address,
        drains: false,
        started_ms: 0,
    }
}

fn target(coordinators: &[SocketAddr], seed: u64) -> Result<Target, TrialError> {
    let classes = Scenario::default().classes.iter().map(traffic_class).collect();
    Ok(Target::new(coordinators.to_vec(), classes, seed)?)
}

fn traffic_class(class: &Class) -> TrafficClass {
    TrafficClass {
        name: class.name.clone(),
        share: class.share,
        timeout_ms: (class.client_timeout_s * 1000.0) as u64,
        work_ms: class.work_ms,
        has_key: class.is_load,
    }
}

/// Creates a driver whose requests amount to the trial's load on average.
fn driver(target: &Target, parameters: TrialParameters) -> Driver {
    let TrialParameters { seconds, load, seed } = parameters;
    let classes = Scenario::default().classes;
    let share: f64 = classes.iter().map(|class| class.share).sum();
    let mean_work = classes.iter().map(|class| class.share * class.work_ms).sum::<f64>() / share;
    let rate = load * ENGINES as f64 * CORES * 1000.0 / mean_work;
    let points = schedule(rate, seconds, Shape::Steady, Intervals::Poisson, seed);
    target.driver(&points, Mode::Open, RetryBehaviour::HonourRetryAfter, CONNECTIONS)
}
