//! The arguments of the command line.

use clap::{Args, Parser, Subcommand};
use dahliaspoke_simulator::arrivals::{Intervals, Shape};
use dahliaspoke_simulator::load::RetryBehaviour;
use dahliaspoke_simulator::policy::PolicyKind;
use dahliaspoke_simulator::sockets::TrafficClass;
use std::net::SocketAddr;
use std::num::ParseFloatError;
use std::path::PathBuf;
use thiserror::Error;

/// Evaluates designs on a model of the fleet, in virtual time.
///
/// Exit codes: 0 success, 1 the module broke a rule, 2 an invalid file or argument, 3 the figures are void.
#[derive(Parser)]
#[command(name = "dahliaspoke-simulator", version)]
pub struct Arguments {
    /// The command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Aggregates the logs that coordinators write with `deploy/trace.toml`, and prints tables.
    ///
    /// Example: dahliaspoke-simulator account logs
    #[command(verbatim_doc_comment)]
    Account {
        /// The folder of the logs, one file per coordinator.
        logs: PathBuf,
    },
    /// Compares algorithms that choose each coordinator's engines: evenness, pairs that move, time.
    ///
    /// Example: dahliaspoke-simulator subsets --gateways 100 --gateways 300 --engines 36
    #[command(verbatim_doc_comment)]
    Subsets {
        /// Number of coordinators; may be given several times.
        #[arg(long, default_value = "300")]
        gateways: Vec<usize>,
        /// Number of engines; may be given several times.
        #[arg(long, default_value = "36")]
        engines: Vec<usize>,
        /// Number of engines in each coordinator's subset.
        #[arg(long, default_value = "10")]
        keep: usize,
        /// Seed of the random numbers.
        #[arg(long, default_value = "1")]
        seed: u64,
    },
    /// Runs a scenario and prints the results.
    ///
    /// Example: dahliaspoke-simulator run crates/simulator/scenarios/release.toml --policy module --seed 1 --seed 2
    #[command(verbatim_doc_comment)]
    Run {
        /// The scenario (TOML); without one, the default scenario, which has no faults.
        scenario: Option<PathBuf>,
        /// The policy; may be given several times.
        #[arg(long, value_enum, default_value = "module")]
        policy: Vec<PolicyKind>,
        /// Seed of the run; may be given several times.
        #[arg(long, default_value = "1")]
        seed: Vec<u64>,
        /// Print one line of JSON per run instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Executes the missing runs of an experiment and writes rows, a plot and the verdicts.
    ///
    /// Example: dahliaspoke-simulator experiment docs/experiments/load/experiment.toml
    #[command(verbatim_doc_comment)]
    Experiment {
        /// The experiment (TOML).
        file: PathBuf,
        /// Folder for the results; by default that of the file.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Number of parallel runs; by default one per core.
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Starts engines, a directory and two coordinators, sends load, kills an engine and a coordinator in the middle,
    /// and prints a table.
    ///
    /// Example: dahliaspoke-simulator try --seconds 20
    #[command(verbatim_doc_comment)]
    Try {
        /// Duration (s).
        #[arg(long, default_value = "20")]
        seconds: f64,
        /// Load, as a share of the capacity of all engines.
        #[arg(long, default_value = "0.7")]
        load: f64,
        /// Seed of the random numbers.
        #[arg(long, default_value = "1")]
        seed: u64,
    },
    /// Sends an open-loop stream of requests to coordinators on loopback.
    ///
    /// Example: dahliaspoke-simulator load --to 127.0.0.1:5050 --rate 200 --shape spike --class lookup:12:3000:100
    #[command(verbatim_doc_comment)]
    Load(LoadArguments),
}

/// The arguments of `load`.
#[derive(Args)]
pub struct LoadArguments {
    /// Address of a coordinator's HTTP listener; several are used in turn.
    #[arg(long, required = true)]
    pub to: Vec<SocketAddr>,
    /// Mean request rate (1/s).
    #[arg(long, default_value = "100")]
    pub rate: f64,
    /// Duration (s).
    #[arg(long, default_value = "20")]
    pub seconds: f64,
    /// How the rate changes over the run.
    #[arg(long, value_enum, default_value = "steady")]
    pub shape: Shape,
    /// Distribution of the intervals between requests.
    #[arg(long = "gaps", value_name = "GAPS", value_enum, default_value = "poisson")]
    pub intervals: Intervals,
    /// `NAME:SHARE:ALLOW_MS:SIZE_MS`, followed by :keyed if requests have an idempotency key.
    #[arg(long, default_value = "lookup:1:3000:100", value_parser = parse_class)]
    pub class: Vec<TrafficClass>,
    /// What clients do after a rejection.
    #[arg(long = "manner", value_name = "MANNER", value_enum, default_value = "as-told")]
    pub behaviour: RetryBehaviour,
    /// Maximum number of connections; a run that needs more is void.
    #[arg(long, default_value = "500")]
    pub connections: usize,
    /// Send again only after an answer, as tools that hide stalls do; for comparison.
    #[arg(long)]
    pub closed: bool,
    /// Seed of the random numbers.
    #[arg(long, default_value = "1")]
    pub seed: u64,
}

/// Why a class on the command line was not accepted.
#[derive(Debug, Error)]
pub enum ClassArgumentError {
    /// It does not have four parts, optionally followed by `keyed`.
    #[error("expected NAME:SHARE:ALLOW_MS:SIZE_MS, optionally followed by :keyed")]
    Parts,
    /// A part is not a number.
    #[error("{text}: {source}")]
    NotANumber {
        /// The part.
        text: String,
        /// What is wrong.
        source: ParseFloatError,
    },
}

/// Parses `NAME:SHARE:ALLOW_MS:SIZE_MS`, optionally followed by `:keyed`.
fn parse_class(text: &str) -> Result<TrafficClass, ClassArgumentError> {
    let parts: Vec<&str> = text.split(':').collect();
    let (numbers, has_key) = match parts[..] {
        [_, share, timeout, work] => ([share, timeout, work], false),
        [_, share, timeout, work, "keyed"] => ([share, timeout, work], true),
        _ => return Err(ClassArgumentError::Parts),
    };
    let [share, timeout, work] = numbers.map(parse_number);
    Ok(TrafficClass {
        name: parts[0].into(),
        share: share?,
        timeout_ms: timeout? as u64,
        work_ms: work?,
        has_key,
    })
}

fn parse_number(text: &str) -> Result<f64, ClassArgumentError> {
    text.parse().map_err(|source| ClassArgumentError::NotANumber { text: text.to_string(), source })
}
