//! `member add`: repeats the call until the member is a voter. It receives all entries first, and one of its name that
//! lost its disk is removed before that.

use crate::error::CommandError;
use dahliaspoke_ctl::{Client, Reply};
use std::time::{Duration, Instant};

/// Pause between two looks at the leader's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Adds a member and waits until it votes.
///
/// # Errors
/// Where it is not a voter by the deadline.
pub fn run(client: &mut Client, name: &str, deadline: Instant) -> Result<(), CommandError> {
    let mut last_error = String::new();
    while Instant::now() < deadline {
        if let Some(status) = leader_status(client) {
            if is_settled(&status, name) && is_voter(&status, name) {
                println!("{name} counts");
                return Ok(());
            }
            // An error may mean that it is on its way, or that another change is; the status shows it.
            if let Err(error) = client.call(&["MEMBER", "ADD", name]) {
                last_error = error.to_string();
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(CommandError::NotVoterYet { name: name.into(), last_error })
}

/// The status of the last member that says it leads.
fn leader_status(client: &Client) -> Option<String> {
    let texts = client.call_each(&["STATUS"]).into_iter().filter_map(|member| match member.reply {
        Ok(Reply::Text(text)) => text,
        _ => None,
    });
    texts.filter(|text| text.contains("role=leader")).last()
}

/// Whether no instance of that name waits to be added, and no change of members may still be undone.
fn is_settled(status: &str, name: &str) -> bool {
    let waits = format!("waits={name} ");
    !status.lines().any(|line| line.starts_with(&waits) || line.starts_with("changing="))
}

fn is_voter(status: &str, name: &str) -> bool {
    let member = format!("member={name} ");
    status.lines().any(|line| line.starts_with(&member) && line.contains(" voter "))
}
