//! The operators' program for the store.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use dahliaspoke_ctl::{Answer, Door, Failed, Store};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Reads and changes what the coordinators' store holds, and who its members are.
///
/// Exit codes: 0 done, 1 refused or another version, 2 a bad word, 3 nobody leads or can be reached (nothing was
/// done), 4 nobody knows whether it was done.
///
/// Example: dahliaspoke-ctl --store 127.0.0.1:7400,127.0.0.1:7401 status
#[derive(Parser)]
#[command(name = "dahliaspoke-ctl", version, verbatim_doc_comment)]
struct Line {
    /// The members, by their addresses.
    #[arg(long, env = "DAHLIASPOKE_STORE", value_delimiter = ',', required = true)]
    store: Vec<SocketAddr>,
    /// A call is given up after this (ms).
    #[arg(long, default_value_t = 10_000)]
    give_up_ms: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
    Member(Member),
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

#[derive(Subcommand)]
enum Member {
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

fn main() -> ExitCode {
    let line = Line::parse();
    match run(line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            eprintln!("dahliaspoke-ctl: {failed}");
            ExitCode::from(match failed {
                Failed::Refused(_) => 1,
                Failed::Nobody(_) => 3,
                Failed::Unknown(_) => 4,
            })
        }
    }
}

fn run(line: Line) -> Result<(), Failed> {
    let until = Instant::now() + Duration::from_millis(line.give_up_ms);
    let members = line.store.clone();
    let mut store = Store::new(members, until);
    match line.command {
        Command::Status => {
            let said = store.each(&["STATUS"]);
            let none = said.iter().all(|(_, said)| said.is_err());
            for (member, said) in said {
                match said {
                    Ok(Answer::Text(Some(text))) => println!("{member}\n{text}"),
                    Ok(other) => println!("{member}\nan odd answer: {other:?}\n"),
                    Err(e) => println!("{member}\nnot reached: {e}\n"),
                }
            }
            if none {
                return Err(Failed::Nobody("no member could be reached".into()));
            }
        }
        Command::Get { key } => match store.call(&["READ", &key])? {
            Answer::Texts(texts) if texts.len() == 2 => println!("{} {}", texts[0], texts[1]),
            Answer::Text(None) => return Err(Failed::Refused(format!("{key} holds nothing"))),
            other => return odd(&other),
        },
        Command::Set { key, value } => done(store.call(&["SET", &key, &value_of(value)?])?)?,
        Command::Cas { key, version, value } => {
            done(store.call(&["CAS", &key, &version.to_string(), &value_of(value)?])?)?;
        }
        Command::Del { key } => done(store.call(&["DEL", &key])?)?,
        Command::Watch { from, count } => watch(&line.store, from, count.unwrap_or(usize::MAX), until)?,
        Command::Init => {
            let first = Store::new(line.store[..1].to_vec(), until).call(&["INIT"])?;
            done(first)?;
        }
        Command::Member(Member::Add { name }) => add(&mut store, &name, until)?,
        Command::Member(Member::Remove { name }) => done(store.call(&["MEMBER", "REMOVE", &name])?)?,
        Command::Member(Member::Transfer { name }) => done(store.call(&["MEMBER", "TRANSFER", &name])?)?,
        Command::Snapshot => {
            for (member, said) in store.each(&["SNAPSHOT"]) {
                match said {
                    Ok(Answer::Line(word)) => println!("{member} {word}"),
                    Ok(other) => println!("{member} an odd answer: {other:?}"),
                    Err(e) => println!("{member} not reached: {e}"),
                }
            }
        }
        Command::TakeOver { file } => take_over(&mut store, &file)?,
    }
    Ok(())
}

fn odd(answer: &Answer) -> Result<(), Failed> {
    Err(Failed::Unknown(format!("an odd answer: {answer:?}")))
}

fn done(answer: Answer) -> Result<(), Failed> {
    match answer {
        Answer::Line(word) => {
            println!("{word}");
            Ok(())
        }
        other => odd(&other),
    }
}

fn value_of(word: String) -> Result<String, Failed> {
    if word == "-" {
        return std::io::read_to_string(std::io::stdin())
            .map_err(|e| Failed::Refused(format!("standard input: {e}")));
    }
    Ok(word)
}

/// Waits until the member counts: it gets all entries first, and one of its name that lost its disk goes before that.
fn add(store: &mut Store, name: &str, until: Instant) -> Result<(), Failed> {
    let mut why = String::new();
    while Instant::now() < until {
        let leads = |text: &str| text.contains("role=leader");
        let mut said = store.each(&["STATUS"]).into_iter().filter_map(|(_, said)| match said {
            Ok(Answer::Text(Some(text))) if leads(&text) => Some(text),
            _ => None,
        });
        if let Some(text) = said.next_back() {
            // It waits to come in, or a change of members may still be undone.
            let waits = format!("waits={name} ");
            let waits = text.lines().any(|line| line.starts_with(&waits) || line.starts_with("changing="));
            let counts =
                |line: &str| line.starts_with(&format!("member={name} ")) && line.contains(" voter ");
            if !waits && text.lines().any(counts) {
                println!("{name} counts");
                return Ok(());
            }
            match store.call(&["MEMBER", "ADD", name]) {
                Ok(_) => {}
                // It is on its way, or another change is; the status tells.
                Err(failed) => why = failed.to_string(),
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(Failed::Unknown(format!("{name} does not count yet; {why}")))
}

/// Prints changes; goes to another member where one is lost.
fn watch(members: &[SocketAddr], mut from: u64, count: usize, mut until: Instant) -> Result<(), Failed> {
    let (mut printed, mut turn) = (0, 0);
    let patience = Duration::from_secs(5);
    while printed < count {
        if Instant::now() > until {
            return Err(Failed::Nobody("no member tells what changes".into()));
        }
        let member = members[turn % members.len()];
        turn += 1;
        let Ok(mut door) = Door::open(member, patience) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        if door.say(&["WATCH", &from.to_string()]).is_err() {
            continue;
        }
        while let (true, Ok(Answer::Texts(texts))) = (printed < count, door.hear()) {
            let words: Vec<&str> = texts.iter().map(String::as_str).collect();
            match words.as_slice() {
                ["PUT", version, key, value] => println!("{version} {key} {value}"),
                ["GONE", version, key] => println!("{version} {key}"),
                ["ANEW", ..] => {
                    println!("anew: what was told before counts no more");
                    continue;
                }
                ["AT", version, _] => {
                    from = version.parse().unwrap_or(from);
                    until = until.max(Instant::now() + 2 * patience);
                    continue;
                }
                _ => break,
            }
            printed += 1;
        }
    }
    Ok(())
}

/// The gossip store's file: by key, version, origin and value. Keys that hold something here already stay.
fn take_over(store: &mut Store, file: &std::path::Path) -> Result<(), Failed> {
    let wrong = |e: &dyn std::fmt::Display| Failed::Refused(format!("{}: {e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| wrong(&e))?;
    let entries: BTreeMap<String, (u64, String, String)> =
        serde_json::from_str(&text).map_err(|e| wrong(&e))?;
    for (key, (_, _, value)) in entries {
        match store.call(&["CAS", &key, "0", &value]) {
            Ok(Answer::Line(word)) => println!("{key}: {word}"),
            Ok(other) => return odd(&other),
            Err(Failed::Refused(why)) => println!("{key}: stays as it is: {why}"),
            Err(failed) => return Err(failed),
        }
    }
    Ok(())
}
