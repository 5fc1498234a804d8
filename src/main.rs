//! dahliaspoke: the coordinator before the query engines, round the decision module in the library.
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

use std::process::ExitCode;

const USAGE: &str =
    "without words, starts as NODE_CONFIG says; `check FILE` checks a file of deploy/, or the configuration";

fn main() -> ExitCode {
    failpoints::configure();
    let words: Vec<String> = std::env::args().skip(1).collect();
    let end = match words.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        [] => log::init()
            .map_err(|error| error.to_string())
            .and_then(|()| config::Config::from_env())
            .and_then(|config| daemon::Daemon::start(config)?.run()),
        ["check", file] => check::file(file).map(|said| println!("{file}: {said}")),
        _ => Err(USAGE.into()),
    };
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dahliaspoke: {message}");
            ExitCode::FAILURE
        }
    }
}
