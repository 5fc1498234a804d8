//! The command line. Doc comments of its types are the texts that `--help` prints.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reads and changes what the coordinators' store holds, and who its members are.
///
/// Exit codes: 0 done, 1 refused or another version, 2 a bad word, 3 nobody leads or can be reached (nothing was
/// done), 4 nobody knows whether it was done.
///
/// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 status
#[derive(Parser)]
#[command(name = "dahliaspoke-ctl", version, verbatim_doc_comment)]
pub struct CommandLine {
    /// The members, by their addresses.
    #[arg(long, env = "DAHLIASPOKE_STORE", value_delimiter = ',', required = true)]
    pub store: Vec<SocketAddr>,
    /// A call is given up after this (ms).
    #[arg(long, default_value_t = 10_000)]
    pub give_up_ms: u64,
    #[command(subcommand)]
    pub command: Command,
}

/// What is to be done.
#[derive(Subcommand)]
pub enum Command {
    /// What each member says of itself, the leader and the others.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 status
    #[command(verbatim_doc_comment)]
    Status,
    /// What a key holds now, with its version in front.
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
    /// Writes a key if it still has that version; 0: if it holds nothing.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 cas settings 17 - < settings.json
    #[command(verbatim_doc_comment)]
    Cas {
        /// The key.
        key: String,
        /// The version.
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
    /// Prints changes as they come, from a version on.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 watch --from 17
    #[command(verbatim_doc_comment)]
    Watch {
        /// The last version that is known already.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Ends after so many changes.
        #[arg(long)]
        count: Option<usize>,
    },
    /// Founds a store of one member, once: the first address.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 init
    #[command(verbatim_doc_comment)]
    Init,
    /// Changes who the members are, one at a time.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 member add c1
    #[command(verbatim_doc_comment, subcommand)]
    Member(MemberCommand),
    /// Has each member keep its state in place of the log's entries now.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 snapshot
    #[command(verbatim_doc_comment)]
    Snapshot,
    /// Takes over what the gossip store before this one has kept in a file.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400 take-over store.json
    #[command(verbatim_doc_comment)]
    TakeOver {
        /// The file.
        file: PathBuf,
    },
}

/// A change of members.
#[derive(Subcommand)]
pub enum MemberCommand {
    /// Brings in a member that has presented itself; one that has lost its disk replaces the one of its name.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member add c1
    #[command(verbatim_doc_comment)]
    Add {
        /// Its name.
        name: String,
    },
    /// Takes a member out.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member remove c1
    #[command(verbatim_doc_comment)]
    Remove {
        /// Its name.
        name: String,
    },
    /// Has another member lead.
    ///
    /// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 member transfer c1
    #[command(verbatim_doc_comment)]
    Transfer {
        /// Its name.
        name: String,
    },
}
