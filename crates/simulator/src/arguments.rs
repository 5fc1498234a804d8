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

/// Tries designs on a model of the fleet, in virtual time.
///
/// Exit codes: 0 done, 1 the module broke a rule, 2 a bad file or word, 3 the figures are void.
#[derive(Parser)]
#[command(name = "dahliaspoke-simulator", version)]
pub struct Arguments {
    /// What is done.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
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
    Load(LoadArguments),
}

/// The arguments of `load`.
#[derive(Args)]
pub struct LoadArguments {
    /// Where clients connect; several are used in turn.
    #[arg(long, required = true)]
    pub to: Vec<SocketAddr>,
    /// Requests a second, in the mean.
    #[arg(long, default_value = "100")]
    pub rate: f64,
    /// How long (s).
    #[arg(long, default_value = "20")]
    pub seconds: f64,
    /// How the rate moves.
    #[arg(long, value_enum, default_value = "steady")]
    pub shape: Shape,
    /// How far apart requests come.
    #[arg(long = "gaps", value_name = "GAPS", value_enum, default_value = "poisson")]
    pub intervals: Intervals,
    /// `NAME:SHARE:ALLOW_MS:SIZE_MS`, with :keyed behind it where a key goes along.
    #[arg(long, default_value = "lookup:1:3000:100", value_parser = parse_class)]
    pub class: Vec<TrafficClass>,
    /// What clients do when they are turned away.
    #[arg(long = "manner", value_name = "MANNER", value_enum, default_value = "as-told")]
    pub behaviour: RetryBehaviour,
    /// Connections at the most; a run that needs more is void.
    #[arg(long, default_value = "500")]
    pub connections: usize,
    /// Ask again only after an answer, as tools that hide stalls do: to compare.
    #[arg(long)]
    pub closed: bool,
    /// The draw.
    #[arg(long, default_value = "1")]
    pub seed: u64,
}

/// Why a class on the command line was not accepted.
#[derive(Debug, Error)]
pub enum ClassArgumentError {
    /// It does not have four parts, and `keyed` or not.
    #[error("it is NAME:SHARE:ALLOW_MS:SIZE_MS, and :keyed or not")]
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

/// Parses `NAME:SHARE:ALLOW_MS:SIZE_MS`, and `:keyed`.
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
