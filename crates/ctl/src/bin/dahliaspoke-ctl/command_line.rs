//! The command line. The doc comments of its types are printed by `--help`.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reads and changes the coordinators' replicated store and its membership.
///
/// Exit codes: 0 success; 1 refused, version mismatch, no value, or unreadable input; 2 invalid command line;
/// 3 no member leads or can be reached (nothing was done); 4 unknown outcome (it may have been done).
///
/// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 status
#[derive(Parser)]
#[command(name = "dahliaspoke-ctl", version, verbatim_doc_comment)]
pub struct CommandLine {
    /// The addresses of the members.
    #[arg(long, env = "DAHLIASPOKE_STORE", value_delimiter = ',', required = true)]
    pub store: Vec<SocketAddr>,
    /// Give up after this time without success (ms).
    #[arg(long, default_value_t = 10_000)]
    pub give_up_ms: u64,
    #[command(subcommand)]
    pub command: Command,
}

/// A command.
#[derive(Subcommand)]
pub enum Command {
    /// Prints each member's status, as reported by that member: its own state, the leader and the other members.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 status
    #[command(verbatim_doc_comment)]
    Status,
    /// Prints the current value of a key, after its version.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 get settings
    #[command(verbatim_doc_comment)]
    Get {
        /// The key.
        key: String,
    },
    /// Writes a key; `-` reads the value from standard input.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 set settings - < settings.json
    #[command(verbatim_doc_comment)]
    Set {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Writes a key if its current version is the given one; version 0 means that it has no value.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 cas settings 17 - < settings.json
    #[command(verbatim_doc_comment)]
    Cas {
        /// The key.
        key: String,
        /// The expected version.
        version: u64,
        /// The value.
        value: String,
    },
    /// Removes a key.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 del maintenance/e7
    #[command(verbatim_doc_comment)]
    Del {
        /// The key.
        key: String,
    },
    /// Prints changes as they happen, starting after a version.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 watch --from 17
    #[command(verbatim_doc_comment)]
    Watch {
        /// The last version that is already known; changes after it are printed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Exit after this many changes.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Bootstraps a new store with one member, the first of the given addresses; fails if it already has a log.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 init
    #[command(verbatim_doc_comment)]
    Init,
    /// Adds or removes a member, one at a time, or transfers leadership.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 member add c1
    #[command(verbatim_doc_comment, subcommand)]
    Member(MemberCommand),
    /// Makes each member replace its log entries with a snapshot now.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 snapshot
    #[command(verbatim_doc_comment)]
    Snapshot,
    /// Imports the values in a file of the former gossip store; keys that already have a value keep it.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 take-over store.json
    #[command(verbatim_doc_comment)]
    TakeOver {
        /// The file.
        file: PathBuf,
    },
}

/// A membership command.
#[derive(Subcommand)]
pub enum MemberCommand {
    /// Adds a member that is waiting to join. If it lost its disk, it replaces its earlier instance.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member add c1
    #[command(verbatim_doc_comment)]
    Add {
        /// Its name.
        name: String,
    },
    /// Removes a member.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member remove c1
    #[command(verbatim_doc_comment)]
    Remove {
        /// Its name.
        name: String,
    },
    /// Transfers leadership to another member.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member transfer c1
    #[command(verbatim_doc_comment)]
    Transfer {
        /// Its name.
        name: String,
    },
}
