//! The lab's command line.

use clap::{Parser, Subcommand};
use dahliaspoke_simulator::account::Account;
use dahliaspoke_simulator::arrivals::{schedule, Gaps, Shape};
use dahliaspoke_simulator::experiment::Experiment;
use dahliaspoke_simulator::load::{Manner, Mode};
use dahliaspoke_simulator::policy::PolicyKind;
use dahliaspoke_simulator::report::Report;
use dahliaspoke_simulator::scenario::Scenario;
use dahliaspoke_simulator::sockets::{self, Part, Target};
use dahliaspoke_simulator::subsets::table;
use dahliaspoke_simulator::trial;
use dahliaspoke_simulator::world;
use indicatif::ProgressBar;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Tries designs on a model of the fleet, in virtual time.
///
/// Exit codes: 0 done, 1 the module broke a rule, 2 a bad file or word, 3 the figures are void.
#[derive(Parser)]
#[command(name = "dahliaspoke-simulator", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints what many coordinators' choices add up to, from their logs with `deploy/trace.toml`.
    ///
    /// Example: dahliaspoke-simulator account logs
    #[command(verbatim_doc_comment)]
    Account {
        /// The folder of the logs, a file a coordinator.
        logs: PathBuf,
    },
    /// Weighs ways to say which engines each gateway keeps to: how evenly, how many pairs move, what it costs.
    ///
    /// Example: dahliaspoke-simulator subsets --gateways 100 --gateways 300 --engines 36
    #[command(verbatim_doc_comment)]
    Subsets {
        /// Gateways; may be given several times.
        #[arg(long, default_value = "300")]
        gateways: Vec<usize>,
        /// Engines; may be given several times.
        #[arg(long, default_value = "36")]
        engines: Vec<usize>,
        /// Engines that a gateway keeps to.
        #[arg(long, default_value = "10")]
        keep: usize,
        /// The draw.
        #[arg(long, default_value = "1")]
        seed: u64,
    },
    /// Plays a scenario and prints what it came to.
    ///
    /// Example: dahliaspoke-simulator run crates/simulator/scenarios/release.toml --policy module --seed 1 --seed 2
    #[command(verbatim_doc_comment)]
    Run {
        /// The scenario (TOML); without one, a quiet day.
        scenario: Option<PathBuf>,
        /// Who decides; may be given several times.
        #[arg(long, value_enum, default_value = "module")]
        policy: Vec<PolicyKind>,
        /// The draw; may be given several times.
        #[arg(long, default_value = "1")]
        seed: Vec<u64>,
        /// A line of JSON for each run, in place of the table.
        #[arg(long)]
        json: bool,
    },
    /// Plays an experiment, or what is missing of it, and writes rows, a plot and the verdicts.
    ///
    /// Example: dahliaspoke-simulator experiment docs/experiments/load/experiment.toml
    #[command(verbatim_doc_comment)]
    Experiment {
        /// The experiment (TOML).
        file: PathBuf,
        /// Where the results go; without it, beside the file.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Runs at a time; without it, one for each core.
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Starts engines, a directory and two coordinators, sends load, kills an engine and a coordinator in the middle,
    /// and prints a table.
    ///
    /// Example: dahliaspoke-simulator try --seconds 20
    #[command(verbatim_doc_comment)]
    Try {
        /// How long (s).
        #[arg(long, default_value = "20")]
        seconds: f64,
        /// Share of what all engines do.
        #[arg(long, default_value = "0.7")]
        load: f64,
        /// The draw.
        #[arg(long, default_value = "1")]
        seed: u64,
    },
    /// Sends an open stream of requests to coordinators on loopback.
    ///
    /// Example: dahliaspoke-simulator load --to 127.0.0.1:5050 --rate 200 --shape spike --class lookup:12:3000:100
    #[command(verbatim_doc_comment)]
    Load {
        /// Where clients connect; several are used in turn.
        #[arg(long, required = true)]
        to: Vec<SocketAddr>,
        /// Requests a second, in the mean.
        #[arg(long, default_value = "100")]
        rate: f64,
        /// How long (s).
        #[arg(long, default_value = "20")]
        seconds: f64,
        /// How the rate moves.
        #[arg(long, value_enum, default_value = "steady")]
        shape: Shape,
        /// How far apart requests come.
        #[arg(long, value_enum, default_value = "poisson")]
        gaps: Gaps,
        /// `NAME:SHARE:ALLOW_MS:SIZE_MS`, with :keyed behind it where a key goes along.
        #[arg(long, default_value = "lookup:1:3000:100", value_parser = part)]
        class: Vec<Part>,
        /// What clients do when they are turned away.
        #[arg(long, value_enum, default_value = "as-told")]
        manner: Manner,
        /// Connections at the most; a run that needs more is void.
        #[arg(long, default_value = "500")]
        connections: usize,
        /// Ask again only after an answer, as tools that hide stalls do: to compare.
        #[arg(long)]
        closed: bool,
        /// The draw.
        #[arg(long, default_value = "1")]
        seed: u64,
    },
}

/// `NAME:SHARE:ALLOW_MS:SIZE_MS`, and :keyed.
fn part(text: &str) -> Result<Part, String> {
    let words: Vec<&str> = text.split(':').collect();
    let keyed = words.get(4) == Some(&"keyed");
    let ((4, false) | (5, true)) = (words.len(), keyed) else {
        return Err("it is NAME:SHARE:ALLOW_MS:SIZE_MS, and :keyed or not".into());
    };
    let number = |at: usize| words[at].parse::<f64>().map_err(|e| format!("{}: {e}", words[at]));
    Ok(Part {
        class: words[0].into(),
        share: number(1)?,
        allow_ms: number(2)? as u64,
        size_ms: number(3)?,
        keyed,
    })
}

fn main() -> ExitCode {
    match Line::parse().command {
        Command::Subsets { gateways, engines, keep, seed } => {
            print!("{}", table(&gateways, &engines, keep, seed));
            ExitCode::SUCCESS
        }
        Command::Account { logs } => match Account::of_folder(&logs) {
            Ok(account) => {
                print!("{account}");
                ExitCode::SUCCESS
            }
            Err(message) => fault(&message),
        },
        Command::Run { scenario, policy, seed, json } => run(scenario, policy, &seed, json),
        Command::Experiment { file, out, jobs } => match experiment(&file, out, jobs) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(message) => fault(&message),
        },
        Command::Try { seconds, load, seed } => {
            match trial::play(seconds, load, seed, |line| println!("{line}")) {
                Ok(outcome) => {
                    print!("\n{}", trial::table(&outcome));
                    ExitCode::from(if outcome.summary.void { 3 } else { 0 })
                }
                Err(message) => fault(&message),
            }
        }
        Command::Load { to, rate, seconds, shape, gaps, class, manner, connections, closed, seed } => {
            let target = match Target::new(to, class, seed) {
                Ok(target) => target,
                Err(message) => return fault(&message),
            };
            let points = schedule(rate, seconds, shape, gaps, seed);
            let mode = if closed { Mode::Closed } else { Mode::Open };
            let driver = target.driver(&points, mode, manner, connections);
            let summary = sockets::run(driver, &target, Duration::from_secs(30)).summary();
            println!("{}", serde_json::json!(summary));
            ExitCode::from(if summary.void { 3 } else { 0 })
        }
    }
}

fn fault(message: &str) -> ExitCode {
    eprintln!("dahliaspoke-simulator: {message}");
    ExitCode::from(2)
}

fn experiment(file: &PathBuf, out: Option<PathBuf>, jobs: Option<usize>) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let experiment = Experiment::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    let folder = out.or_else(|| file.parent().map(PathBuf::from)).unwrap_or_default();
    let jobs = jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let bar = ProgressBar::new(0);
    let result = experiment.run(&folder, jobs, |done, all| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
    });
    bar.finish_and_clear();
    result
}

fn run(scenario: Option<PathBuf>, policy: Vec<PolicyKind>, seeds: &[u64], json: bool) -> ExitCode {
    let scenario = match scenario.map(|path| read(&path)).transpose() {
        Ok(scenario) => scenario.unwrap_or_default(),
        Err(message) => return fault(&message),
    };
    let mut broken = false;
    for kind in policy {
        for seed in seeds {
            let began = Instant::now();
            let report = world::play(&scenario, kind, *seed);
            broken |= report.violation_count > 0 && kind == PolicyKind::Module;
            if json {
                let row = serde_json::json!({"policy": kind, "seed": seed, "report": report});
                println!("{row}");
            } else {
                print(kind, *seed, &report, began.elapsed().as_secs_f64());
            }
        }
    }
    if broken {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

fn read(path: &PathBuf) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn print(kind: PolicyKind, seed: u64, report: &Report, took: f64) {
    let [whole, window, class] = <[f64; 3]>::from(report.served);
    println!(
        "{kind:?} seed {seed}: goal {:.3}  served {whole:.3}, worst 10 s {window:.3}, worst class {class:.3}  \
         prices {:.3?}  attempts {:.2}  rules broken {}",
        report.goal, <[f64; 3]>::from(report.prices), report.attempts, report.violation_count
    );
    for class in &report.classes {
        let share = |count: u64| 100.0 * count as f64 / class.offered.max(1) as f64;
        println!(
            "  {:<8} {:>7} came  in time {:>5.1}%  late {:>4.1}%  refused {:>4.1}%  failed {:>4.1}%  ms {:.0?}",
            class.name,
            class.offered,
            share(class.in_time),
            share(class.late),
            share(class.rejected),
            share(class.failed),
            class.millis
        );
    }
    report
        .violations
        .iter()
        .take(3)
        .for_each(|b| println!("  {} at {:.3} s: {}", b.rule, b.at as f64 / 1e6, b.description));
    println!(
        "  {} events in {took:.2} s, {:.0} ns each",
        report.events,
        took * 1e9 / report.events.max(1) as f64
    );
}
