//! Dispatches the commands, and implements those that need only one call.

use crate::command_line::{Command, CommandLine, MemberCommand};
use crate::error::CommandError;
use crate::{member_add, take_over, watch};
use dahliaspoke_ctl::{Client, Reply};
use std::time::{Duration, Instant};

/// Runs the command of a command line and prints its result.
///
/// # Errors
/// If the command was refused, could not be carried out, or its outcome is unknown.
pub fn run(line: CommandLine) -> Result<(), CommandError> {
    let deadline = Instant::now() + Duration::from_millis(line.give_up_ms);
    let mut client = Client::new(line.store.clone(), deadline);
    match line.command {
        Command::Status => status(&client),
        Command::Get { key } => get(&mut client, key),
        Command::Set { key, value } => call(&mut client, &["SET", &key, &value_or_input(value)?]),
        Command::Cas { key, version, value } => {
            call(&mut client, &["CAS", &key, &version.to_string(), &value_or_input(value)?])
        }
        Command::Del { key } => call(&mut client, &["DEL", &key]),
        Command::Watch { from, count } => watch::run(&line.store, from, count, deadline),
        Command::Init => {
            let first = line.store[..1].to_vec();
            call(&mut Client::new(first, deadline), &["INIT"])
        }
        Command::Member(MemberCommand::Add { name }) => member_add::run(&mut client, &name, deadline),
        Command::Member(MemberCommand::Remove { name }) => call(&mut client, &["MEMBER", "REMOVE", &name]),
        Command::Member(MemberCommand::Transfer { name }) => {
            call(&mut client, &["MEMBER", "TRANSFER", &name])
        }
        Command::Snapshot => {
            snapshot(&client);
            Ok(())
        }
        Command::TakeOver { file } => take_over::run(&mut client, &file),
    }
}

/// Makes a call and prints the status line of the reply.
fn call(client: &mut Client, arguments: &[&str]) -> Result<(), CommandError> {
    match client.call(arguments)? {
        Reply::Status(line) => {
            println!("{line}");
            Ok(())
        }
        other => Err(CommandError::UnexpectedReply(other)),
    }
}

fn status(client: &Client) -> Result<(), CommandError> {
    let replies = client.call_each(&["STATUS"]);
    for member in &replies {
        let address = member.address;
        match &member.reply {
            Ok(Reply::Text(Some(text))) => println!("{address}\n{text}"),
            Ok(other) => println!("{address}\nunexpected reply: {other}\n"),
            Err(e) => println!("{address}\nrequest failed: {e}\n"),
        }
    }
    if replies.iter().all(|member| member.reply.is_err()) {
        return Err(CommandError::NoMemberReached);
    }
    Ok(())
}

fn get(client: &mut Client, key: String) -> Result<(), CommandError> {
    match client.call(&["READ", &key])? {
        Reply::Texts(texts) if texts.len() == 2 => {
            println!("{} {}", texts[0], texts[1]);
            Ok(())
        }
        Reply::Text(None) => Err(CommandError::NoValue(key)),
        other => Err(CommandError::UnexpectedReply(other)),
    }
}

fn snapshot(client: &Client) {
    for member in client.call_each(&["SNAPSHOT"]) {
        let address = member.address;
        match member.reply {
            Ok(Reply::Status(line)) => println!("{address} {line}"),
            Ok(other) => println!("{address} unexpected reply: {other}"),
            Err(e) => println!("{address} request failed: {e}"),
        }
    }
}

/// The value given as an argument, or standard input if the argument is `-`.
fn value_or_input(argument: String) -> Result<String, CommandError> {
    if argument == "-" {
        return std::io::read_to_string(std::io::stdin()).map_err(CommandError::StandardInput);
    }
    Ok(argument)
}
