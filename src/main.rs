//! dahliaspoke: the coordinator in front of the query engines, built around the decision module in the
//! library.
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
mod order_lock;
mod request_ids;
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

/// The prefix of clap's usage errors.
const USAGE_ERROR_PREFIX: &str = "error: ";

/// The coordinator in front of the query engines. Without a command it starts with the configuration file
/// that `NODE_CONFIG` names.
#[derive(Debug, Parser)]
#[command(name = "dahliaspoke")]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a file of `deploy/`, or the configuration, without starting the coordinator.
    Check {
        /// The file; its name determines what it is checked as.
        file: String,
    },
}

/// Why the program failed.
#[derive(Debug, Error)]
enum MainError {
    /// The log could not be opened.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The configuration could not be read.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The daemon could not start or keep running.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The checked file is invalid.
    #[error(transparent)]
    Check(#[from] CheckError),
}

fn main() -> ExitCode {
    failpoints::configure();
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        Err(error) => return handle_parse_error(&error),
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

/// Runs the daemon until a graceful shutdown has completed.
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

/// Prints the help if it was requested; any other parse error is a usage error, on which the program fails.
fn handle_parse_error(error: &clap::Error) -> ExitCode {
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
