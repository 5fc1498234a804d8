//! `watch`: prints changes as they arrive, and switches to another member when the connection to one is lost.

use crate::error::CommandError;
use dahliaspoke_ctl::{Connection, Reply};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A member that sends nothing for this long is considered lost; it reports its progress more often than that.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next member is tried, after one could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An event of a watch.
enum WatchEvent {
    /// A change, as it is printed.
    Change(String),
    /// Everything printed before is invalid; all current values follow.
    Resync,
    /// All changes up to this version were sent; `None` if it is not a number.
    Progress(Option<u64>),
}

impl WatchEvent {
    /// Decodes an event from an array; `None` if it is unknown.
    fn decode(texts: &[String]) -> Option<Self> {
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        match texts.as_slice() {
            ["PUT", version, key, value] => Some(WatchEvent::Change(format!("{version} {key} {value}"))),
            ["GONE", version, key] => Some(WatchEvent::Change(format!("{version} {key}"))),
            ["ANEW", ..] => Some(WatchEvent::Resync),
            ["AT", version, _] => Some(WatchEvent::Progress(version.parse().ok())),
            _ => None,
        }
    }
}

/// A running watch.
struct Watch {
    /// All changes up to this version have been printed.
    version: u64,
    /// The number of changes still to print.
    remaining: usize,
    /// When the watch fails unless a member reports progress.
    deadline: Instant,
}

/// Prints the changes after version `from`: the first `count`, or all as they arrive.
///
/// # Errors
/// If no member reported progress for too long.
pub fn run(
    members: &[SocketAddr],
    from: u64,
    count: Option<usize>,
    deadline: Instant,
) -> Result<(), CommandError> {
    let mut watch = Watch { version: from, remaining: count.unwrap_or(usize::MAX), deadline };
    let mut rotation = members.iter().cycle();
    while watch.remaining > 0 {
        if Instant::now() > watch.deadline {
            return Err(CommandError::NoMemberToWatch);
        }
        let Some(member) = rotation.next() else { return Err(CommandError::NoMemberToWatch) };
        match Connection::open(*member, SILENCE_TIMEOUT) {
            Ok(connection) => watch.follow(connection),
            Err(_) => std::thread::sleep(RETRY_DELAY),
        }
    }
    Ok(())
}

impl Watch {
    /// Prints the changes that a member sends, until the connection is lost or enough changes are printed.
    fn follow(&mut self, mut connection: Connection) {
        if connection.send(&["WATCH", &self.version.to_string()]).is_err() {
            return;
        }
        while self.remaining > 0 {
            let Ok(Reply::Texts(texts)) = connection.receive() else { return };
            match WatchEvent::decode(&texts) {
                Some(WatchEvent::Change(text)) => {
                    println!("{text}");
                    self.remaining -= 1;
                }
                Some(WatchEvent::Resync) => println!("anew: earlier values are invalid; all values follow"),
                Some(WatchEvent::Progress(version)) => {
                    self.version = version.unwrap_or(self.version);
                    self.deadline = self.deadline.max(Instant::now() + 2 * SILENCE_TIMEOUT);
                }
                None => return,
            }
        }
    }
}
