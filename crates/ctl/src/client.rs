//! Calls to a store of several members, which are tried one after the other until the leader replies.

use crate::session;
use crate::{CallError, Connection, Reply};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest timeout of the connection to one member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest timeout: the system rejects a timeout of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// The reply of one member to a call that each member receives.
#[derive(Debug)]
pub struct MemberReply {
    /// The member's address.
    pub address: SocketAddr,
    /// Its reply, or why the request failed.
    pub reply: io::Result<Reply>,
}

/// A client of the members of one store.
pub struct Client {
    members: Vec<SocketAddr>,
    deadline: Instant,
    /// The number of failed attempts so far. Modulo the member count, it is the index of the member to try next.
    rotation: usize,
}

/// The outcome of one attempt of a call.
enum Attempt {
    /// The member replied.
    Replied(Reply),
    /// The member rejected the request, which is not retried.
    Refused(String),
    /// The request was not carried out; another member may be able to.
    NotDone(String),
    /// It is unknown whether the request was carried out.
    Unknown(String),
}

impl Client {
    /// A client of these members. `deadline` ends the retries of all its calls.
    #[must_use]
    pub fn new(members: Vec<SocketAddr>, deadline: Instant) -> Self {
        Self { members, deadline, rotation: 0 }
    }

    /// Calls the leader, trying the members one after the other. If an attempt's outcome is unknown, a change is retried
    /// in the same session, so that it is applied only once, and a read is simply retried; any other call is not retried
    /// then.
    ///
    /// # Errors
    /// If the call was refused, no member could carry it out by the deadline, or its outcome is unknown.
    pub fn call(&mut self, arguments: &[&str]) -> Result<Reply, CallError> {
        let is_change = matches!(arguments.first(), Some(&("SET" | "CAS" | "DEL")));
        let is_read = matches!(arguments.first(), Some(&("GET" | "READ")));
        let session = session::random_id().to_string();
        let mut request = arguments.to_vec();
        if is_change {
            request.extend(["SESSION", &session, "1"]);
        }
        let (mut reason, mut outcome_unknown) = ("no member was tried".to_string(), false);
        while Instant::now() < self.deadline && !self.members.is_empty() {
            match self.attempt(&request) {
                Attempt::Replied(reply) => return Ok(reply),
                Attempt::Refused(message) => return Err(CallError::Refused(message)),
                Attempt::NotDone(why) => reason = why,
                Attempt::Unknown(why) if is_change || is_read => (reason, outcome_unknown) = (why, true),
                Attempt::Unknown(why) => return Err(CallError::Unknown(why)),
            }
            self.rotation += 1;
            std::thread::sleep(RETRY_DELAY.min(self.remaining()));
        }
        Err(if outcome_unknown { CallError::Unknown(reason) } else { CallError::Unavailable(reason) })
    }

    /// Sends a request to each member, in the given order.
    #[must_use]
    pub fn call_each(&self, arguments: &[&str]) -> Vec<MemberReply> {
        let call_member = |address: &SocketAddr| MemberReply {
            address: *address,
            reply: self.connect(*address).and_then(|mut connection| connection.request(arguments)),
        };
        self.members.iter().map(call_member).collect()
    }

    /// Sends a request to the next member in the rotation.
    fn attempt(&self, request: &[&str]) -> Attempt {
        let member = self.members[self.rotation % self.members.len()];
        let mut connection = match self.connect(member) {
            Ok(connection) => connection,
            Err(e) => return Attempt::NotDone(format!("{member}: {e}")),
        };
        match connection.request(request) {
            Ok(Reply::Error { code, message }) => match code.as_str() {
                "LEADER" | "BUSY" | "LOST" => Attempt::NotDone(format!("{member}: {message}")),
                "UNKNOWN" => Attempt::Unknown(format!("{member}: {message}")),
                _ => Attempt::Refused(message),
            },
            Ok(reply) => Attempt::Replied(reply),
            Err(e) => Attempt::Unknown(format!("{member}: {e}")),
        }
    }

    fn connect(&self, member: SocketAddr) -> io::Result<Connection> {
        Connection::open(member, self.remaining().max(MIN_TIMEOUT).min(MEMBER_TIMEOUT))
    }

    /// The time until the deadline.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
