//! `watch`: prints changes as they arrive, and goes on at another member where one is lost.

use crate::error::CommandError;
use dahliaspoke_ctl::{Connection, Reply};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A member that sends nothing for that long is given up; it reports its progress more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a member that cannot be reached.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a member sends to a watch.
enum WatchEvent {
    /// A change, as it is printed.
    Change(String),
    /// What was printed before no longer holds; the current values follow.
    Restart,
    /// All changes up to this version were sent; `None` where it is no number.
    Progress(Option<u64>),
}

impl WatchEvent {
    /// The event that these texts are, if any.
    fn decode(texts: &[String]) -> Option<Self> {
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        match texts.as_slice() {
            ["PUT", version, key, value] => Some(WatchEvent::Change(format!("{version} {key} {value}"))),
            ["GONE", version, key] => Some(WatchEvent::Change(format!("{version} {key}"))),
            ["ANEW", ..] => Some(WatchEvent::Restart),
            ["AT", version, _] => Some(WatchEvent::Progress(version.parse().ok())),
            _ => None,
        }
    }
}

/// A watch that is under way.
struct Watch {
    /// All changes up to this version are printed.
    version: u64,
    /// Changes that are still to be printed.
    remaining: usize,
    /// The watch is given up then, unless a member reports progress.
    deadline: Instant,
}

/// Prints changes after version `from`; all that come, or the first `count`.
///
/// # Errors
/// Where no member sent anything for too long.
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
    /// Prints what a member sends, until it is lost or enough is printed.
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
                Some(WatchEvent::Restart) => println!("anew: what was told before counts no more"),
                Some(WatchEvent::Progress(version)) => {
                    self.version = version.unwrap_or(self.version);
                    self.deadline = self.deadline.max(Instant::now() + 2 * SILENCE_TIMEOUT);
                }
                None => return,
            }
        }
    }
}
