//! dahliaspoke: the coordinator before the query engines, around the decision module in the library.
#![forbid(unsafe_code)]

mod admin;
mod body_store;
mod check;
mod config;
mod core;
mod daemon;
mod discovery;
mod failpoints;
mod limits;
mod listener;
mod log;
mod mysql;
mod net;
mod shared_file;
mod store;
mod upstream;

use check::CheckError;
use clap::{Parser, Subcommand};
use config::{Config, ConfigError};
use daemon::{Daemon, DaemonError};
use log::LogError;
use std::process::ExitCode;
use thiserror::Error;

/// How clap begins the text of a usage error.
const USAGE_ERROR_PREFIX: &str = "error: ";

/// The coordinator before the query engines. Without a command it starts as the file that `NODE_CONFIG` names says.
#[derive(Debug, Parser)]
#[command(name = "dahliaspoke")]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a file of `deploy/`, or the configuration, without a start.
    Check {
        /// The file; its name says what it must hold.
        file: String,
    },
}

/// Why the program fails.
#[derive(Debug, Error)]
enum MainError {
    /// The log could not be opened.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The configuration could not be read.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The daemon could not start, or not go on.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The checked file would not be accepted.
    #[error(transparent)]
    Check(#[from] CheckError),
}

fn main() -> ExitCode {
    failpoints::configure();
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        Err(error) => return answer_unparsed(&error),
    };
    let result = match command_line.command {
        None => run(),
        Some(Command::Check { file }) => check(&file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

/// Runs the daemon until it is told to shut down.
fn run() -> Result<(), MainError> {
    log::init()?;
    let config = Config::load()?;
    Ok(Daemon::start(config)?.run()?)
}

fn check(file: &str) -> Result<(), MainError> {
    check::check_file(file)?;
    println!("{file}: it can be read");
    Ok(())
}

/// Prints the help, where it was asked for; else the command line is wrong.
fn answer_unparsed(error: &clap::Error) -> ExitCode {
    if error.use_stderr() {
        let text = error.to_string();
        return fail(text.strip_prefix(USAGE_ERROR_PREFIX).unwrap_or(&text).trim_end());
    }
    print!("{error}");
    ExitCode::SUCCESS
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("dahliaspoke: {error}");
    ExitCode::FAILURE
}
