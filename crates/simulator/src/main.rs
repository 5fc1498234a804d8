//! The simulator's command line.

mod arguments;

use arguments::{Arguments, Command, LoadArguments};
use clap::Parser;
use dahliaspoke_simulator::account::Account;
use dahliaspoke_simulator::arrivals::schedule;
use dahliaspoke_simulator::experiment::{Experiment, ExperimentError};
use dahliaspoke_simulator::file_error::FileError;
use dahliaspoke_simulator::load::Mode;
use dahliaspoke_simulator::policy::PolicyKind;
use dahliaspoke_simulator::report::{ClassReport, Report};
use dahliaspoke_simulator::scenario::{Scenario, ScenarioError};
use dahliaspoke_simulator::sockets::{self, Target, TargetError};
use dahliaspoke_simulator::subsets;
use dahliaspoke_simulator::trial::{self, TrialError, TrialParameters};
use dahliaspoke_simulator::world;
use indicatif::ProgressBar;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Exit code if the module broke a rule.
const RULE_BROKEN: u8 = 1;
/// Exit code for an invalid file or argument.
const BAD_INPUT: u8 = 2;
/// Exit code if the figures are void.
const VOID: u8 = 3;
/// How long `load` waits for the last answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of violations printed per run.
const PRINTED_VIOLATIONS: usize = 3;

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: {source}", path.display())]
    Scenario { path: PathBuf, source: ScenarioError },
    #[error("{}: {source}", path.display())]
    ExperimentFile { path: PathBuf, source: Box<ExperimentError> },
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    Target(#[from] TargetError),
    #[error(transparent)]
    Trial(#[from] TrialError),
}

fn main() -> ExitCode {
    execute(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("dahliaspoke-simulator: {error}");
        ExitCode::from(BAD_INPUT)
    })
}

fn execute(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Subsets { gateways, engines, keep, seed } => {
            print!("{}", subsets::table(&gateways, &engines, keep, seed));
        }
        Command::Account { logs } => print!("{}", Account::of_folder(&logs)?),
        Command::Run { scenario, policy, seed, json } => {
            let scenario = scenario.map(|path| read_scenario(&path)).transpose()?.unwrap_or_default();
            return Ok(run(&scenario, &policy, &seed, json));
        }
        Command::Experiment { file, out, jobs } => println!("{}", experiment(&file, out, jobs)?),
        Command::Try { seconds, load, seed } => {
            let outcome = trial::play(TrialParameters { seconds, load, seed }, |line| println!("{line}"))?;
            print!("\n{outcome}");
            return Ok(void_code(outcome.summary.void));
        }
        Command::Load(arguments) => return load(arguments),
    }
    Ok(ExitCode::SUCCESS)
}

fn void_code(void: bool) -> ExitCode {
    if void {
        ExitCode::from(VOID)
    } else {
        ExitCode::SUCCESS
    }
}

fn load(arguments: LoadArguments) -> Result<ExitCode, CommandError> {
    let LoadArguments { to, rate, seconds, shape, intervals, class, behaviour, connections, closed, seed } =
        arguments;
    let target = Target::new(to, class, seed)?;
    let points = schedule(rate, seconds, shape, intervals, seed);
    let mode = if closed { Mode::Closed } else { Mode::Open };
    let driver = target.driver(&points, mode, behaviour, connections);
    let summary = sockets::run(driver, &target, ANSWER_TIMEOUT).summary();
    println!("{}", serde_json::json!(summary));
    Ok(void_code(summary.void))
}

fn experiment(file: &Path, out: Option<PathBuf>, jobs: Option<usize>) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file).map_err(file_error(file))?;
    let experiment = Experiment::read(&text).map_err(|source| CommandError::ExperimentFile {
        path: file.to_path_buf(),
        source: Box::new(source),
    })?;
    let folder = out.or_else(|| file.parent().map(PathBuf::from)).unwrap_or_default();
    let jobs = jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let bar = ProgressBar::new(0);
    let result = experiment.run(&folder, jobs, |done, all| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
    });
    bar.finish_and_clear();
    Ok(result?)
}

fn file_error(path: &Path) -> impl Fn(std::io::Error) -> FileError + '_ {
    move |source| FileError { path: path.to_path_buf(), source }
}

fn read_scenario(path: &Path) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(path).map_err(file_error(path))?;
    Scenario::read(&text).map_err(|source| CommandError::Scenario { path: path.to_path_buf(), source })
}

fn run(scenario: &Scenario, policies: &[PolicyKind], seeds: &[u64], json: bool) -> ExitCode {
    let mut module_broke_a_rule = false;
    for policy in policies.iter().copied() {
        for seed in seeds.iter().copied() {
            let started = Instant::now();
            let report = world::play(scenario, policy, seed);
            module_broke_a_rule |= report.violation_count > 0 && policy == PolicyKind::Module;
            if json {
                println!("{}", serde_json::json!({"policy": policy, "seed": seed, "report": report}));
            } else {
                print_report(policy, seed, &report, started.elapsed());
            }
        }
    }
    if module_broke_a_rule {
        ExitCode::from(RULE_BROKEN)
    } else {
        ExitCode::SUCCESS
    }
}

fn print_report(policy: PolicyKind, seed: u64, report: &Report, elapsed: Duration) {
    let Report { goal, served, attempts, violation_count, events, .. } = report;
    let prices = <[f64; 3]>::from(report.prices);
    println!(
        "{policy:?} seed {seed}: goal {goal:.3}  served {:.3}, worst 10 s {:.3}, worst class {:.3}  \
         prices {prices:.3?}  attempts {attempts:.2}  rules broken {violation_count}",
        served.total, served.worst_window, served.worst_class
    );
    for class in &report.classes {
        print_class(class);
    }
    for violation in report.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {} at {:.3} s: {}", violation.rule, violation.at as f64 / 1e6, violation.description);
    }
    let seconds = elapsed.as_secs_f64();
    let nanos_each = seconds * 1e9 / (*events).max(1) as f64;
    println!("  {events} events in {seconds:.2} s, {nanos_each:.0} ns each");
}

fn print_class(class: &ClassReport) {
    let percent = |count: u64| 100.0 * count as f64 / class.offered.max(1) as f64;
    println!(
        "  {:<8} {:>7} came  in time {:>5.1}%  late {:>4.1}%  refused {:>4.1}%  failed {:>4.1}%  ms {:.0?}",
        class.name,
        class.offered,
        percent(class.in_time),
        percent(class.late),
        percent(class.rejected),
        percent(class.failed),
        class.millis
    );
}
