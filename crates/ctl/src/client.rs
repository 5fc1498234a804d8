//! Calls to a store of several members: whichever leads answers, the others name it or are not asked again.

use crate::session;
use crate::{CallError, Connection, Reply};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay before the next member is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest wait for one member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest: a timeout of zero is none.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// The reply of one member, asked for itself.
#[derive(Debug)]
pub struct MemberReply {
    /// The member's address.
    pub address: SocketAddr,
    /// Its reply, or why there is none.
    pub reply: io::Result<Reply>,
}

/// A client of the members of one store.
pub struct Client {
    members: Vec<SocketAddr>,
    deadline: Instant,
    /// How many attempts went to another member before; the next goes to the member at that index, modulo the count.
    rotation: usize,
}

/// How one attempt of a call ended.
enum Attempt {
    /// With a reply.
    Replied(Reply),
    /// The member rejected it, for good.
    Refused(String),
    /// Nothing was done; another member may do it.
    NotDone(String),
    /// The outcome is unknown.
    Unknown(String),
}

impl Client {
    /// A client of these members; its calls are given up at `deadline`.
    #[must_use]
    pub fn new(members: Vec<SocketAddr>, deadline: Instant) -> Self {
        Self { members, deadline, rotation: 0 }
    }

    /// Calls whichever member leads, trying one after the other. A change is retried under one session, so that it is
    /// applied once; a read is retried as it is. Any other call is not repeated once its outcome is unknown.
    ///
    /// # Errors
    /// Where it was refused, no member leads, or the outcome is unknown.
    pub fn call(&mut self, arguments: &[&str]) -> Result<Reply, CallError> {
        let is_change = matches!(arguments.first(), Some(&("SET" | "CAS" | "DEL")));
        let is_read = matches!(arguments.first(), Some(&("GET" | "READ")));
        let session = session::random_id().to_string();
        let mut request = arguments.to_vec();
        if is_change {
            request.extend(["SESSION", &session, "1"]);
        }
        let (mut reason, mut may_be_done) = ("no member is named".to_string(), false);
        while Instant::now() < self.deadline && !self.members.is_empty() {
            match self.attempt(&request) {
                Attempt::Replied(reply) => return Ok(reply),
                Attempt::Refused(message) => return Err(CallError::Refused(message)),
                Attempt::NotDone(why) => reason = why,
                Attempt::Unknown(why) if is_change || is_read => (reason, may_be_done) = (why, true),
                Attempt::Unknown(why) => return Err(CallError::Unknown(why)),
            }
            self.rotation += 1;
            std::thread::sleep(RETRY_DELAY.min(self.remaining()));
        }
        Err(if may_be_done { CallError::Unknown(reason) } else { CallError::Unavailable(reason) })
    }

    /// Asks each member for itself, in the order given.
    #[must_use]
    pub fn call_each(&self, arguments: &[&str]) -> Vec<MemberReply> {
        let ask = |address: &SocketAddr| MemberReply {
            address: *address,
            reply: self.connect(*address).and_then(|mut connection| connection.request(arguments)),
        };
        self.members.iter().map(ask).collect()
    }

    /// Sends a request to the member whose place in the rotation it is.
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
