//! `member add`: repeats the call until the member is a voter. This takes several steps: an earlier instance of the
//! member, whose disk was lost, is removed first, and the new one receives all entries before it is promoted.

use crate::error::CommandError;
use dahliaspoke_ctl::{Client, Reply};
use std::time::{Duration, Instant};

/// Interval at which the leader's status is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Adds a member and waits until it is a voter.
///
/// # Errors
/// If the member is not a voter by the deadline.
pub fn run(client: &mut Client, name: &str, deadline: Instant) -> Result<(), CommandError> {
    let mut last_error = String::new();
    while Instant::now() < deadline {
        if let Some(status) = leader_status(client) {
            if is_settled(&status, name) && is_voter(&status, name) {
                println!("{name} counts");
                return Ok(());
            }
            // An error may mean that this change or another one is in progress; the next status shows the result.
            if let Err(error) = client.call(&["MEMBER", "ADD", name]) {
                last_error = error.to_string();
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(CommandError::NotVoterYet { name: name.into(), last_error })
}

/// The status of the last member that reports itself as the leader.
fn leader_status(client: &Client) -> Option<String> {
    let texts = client.call_each(&["STATUS"]).into_iter().filter_map(|member| match member.reply {
        Ok(Reply::Text(text)) => text,
        _ => None,
    });
    texts.filter(|text| text.contains("role=leader")).last()
}

/// Whether no instance of this name is waiting to be added, and no membership change is uncommitted.
fn is_settled(status: &str, name: &str) -> bool {
    let waits = format!("waits={name} ");
    !status.lines().any(|line| line.starts_with(&waits) || line.starts_with("changing="))
}

fn is_voter(status: &str, name: &str) -> bool {
    let member = format!("member={name} ");
    status.lines().any(|line| line.starts_with(&member) && line.contains(" voter "))
}
