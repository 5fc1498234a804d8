//! The operators' command-line client of the replicated store.
#![forbid(unsafe_code)]

mod command_line;
mod commands;
mod error;
mod member_add;
mod take_over;
mod watch;

use clap::Parser;
use command_line::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaspoke-ctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
