//! The admin interface for operators: HTTP/1.1, one call per connection. It decodes calls and encodes
//! responses; the daemon executes the commands.

mod command;
mod response;

pub use command::Command;
pub use response::Response;

use crate::limits::Limits;
use crate::listener::http::codec::{self, Decoded, HttpError};
use crate::listener::server::{ClientConnection, EvictionRank, ListenerState, Server};
use crate::net::{BufferedStream, Connection, Flow, Poller, Time, Token};
use std::collections::VecDeque;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// Status for a call that is not received completely in time.
const REQUEST_TIMEOUT: u16 = 408;
/// Status for a call whose body is too large.
const CONTENT_TOO_LARGE: u16 = 413;
/// Placeholder for the route number that a listener's state needs; operators' calls never become requests.
const NO_ROUTE: usize = 0;

/// A call that has not been answered yet.
#[derive(Debug)]
pub struct Call {
    /// The connection on which it was received.
    pub connection: Token,
    /// The decoded command.
    pub command: Command,
}

/// The state that all operator connections share.
pub struct Shared {
    state: ListenerState,
    calls: VecDeque<Call>,
}

/// An operator's connection.
pub struct AdminConnection {
    stream: BufferedStream,
    token: Token,
    accepted_at: Time,
    /// When the connection is closed or answered with an error, at the latest.
    deadline: Time,
    /// The call has been read or rejected; any further input is discarded.
    has_read_call: bool,
}

/// The admin interface: a listener and its connections.
pub type AdminInterface = Server<AdminConnection>;

impl AdminInterface {
    /// Opens the admin interface on a listening socket. `owner` is the owner number in tokens.
    ///
    /// # Errors
    /// If the socket cannot be registered with the poller.
    pub fn open(owner: u8, socket: TcpListener, poller: Rc<Poller>, limits: Rc<Limits>) -> io::Result<Self> {
        let shared = Shared { state: ListenerState::new(NO_ROUTE, limits), calls: VecDeque::new() };
        Self::new(owner, socket, shared, poller)
    }

    /// The next call, in order of arrival.
    pub fn next_call(&mut self) -> Option<Call> {
        self.shared.calls.pop_front()
    }

    /// Answers a call, if its connection is still open.
    pub fn respond(&mut self, now: Time, connection: Token, response: &Response) {
        self.reply(now, connection, |operator, shared| {
            operator.finish(now, response.status(), &response.body(), shared)
        });
    }
}

impl ClientConnection for AdminConnection {
    fn accepted(now: Time, stream: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        let deadline = now + shared.state.limits.clients.request_timeout;
        Some(AdminConnection { stream, token, accepted_at: now, deadline, has_read_call: false })
    }

    fn deadline(&self) -> Option<Time> {
        Some(self.deadline)
    }

    fn on_deadline(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.has_read_call {
            return Flow::Close;
        }
        self.finish(now, REQUEST_TIMEOUT, "", shared)
    }

    /// Every connection can be evicted, so that operators who send nothing or do not read their answer do not
    /// block others.
    fn eviction_rank(&self) -> Option<EvictionRank> {
        let has_sent_request = self.has_read_call && self.stream.queued() > 0;
        Some(EvictionRank { has_sent_request, idle_since: self.accepted_at })
    }

    fn state(shared: &mut Shared) -> &mut ListenerState {
        &mut shared.state
    }

    fn refusable_bytes(&self) -> Option<usize> {
        Some(self.stream.buffered_bytes())
    }

    fn max_buffered_bytes(limits: &Limits) -> usize {
        limits.admin.max_buffered_bytes
    }

    fn max_connections(limits: &Limits) -> usize {
        limits.admin.max_connections
    }
}

impl Connection for AdminConnection {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.has_read_call {
            self.stream.input.clear();
            return Flow::Open;
        }
        match self.read_command(&shared.state.limits) {
            Ok(None) => Flow::Open,
            Ok(Some(command)) => {
                self.has_read_call = true;
                shared.calls.push_back(Call { connection: self.token, command });
                Flow::Open
            }
            Err(HttpError(status)) => self.finish(now, status, "", shared),
        }
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, _: &mut Shared) {}
}

impl AdminConnection {
    /// The command in the input; none until the call has been received completely.
    ///
    /// # Errors
    /// The HTTP status with which the call is rejected.
    fn read_command(&self, limits: &Limits) -> Result<Option<Command>, HttpError> {
        match codec::decode(&self.stream.input, limits)? {
            Decoded::Partial { .. } => Ok(None),
            Decoded::LargeBody { .. } => Err(HttpError(CONTENT_TOO_LARGE)),
            Decoded::Complete { request, .. } => Command::decode(&request.method, &request.path).map(Some),
        }
    }

    /// Sends the answer, and closes the connection once it has been written.
    fn finish(&mut self, now: Time, status: u16, text: &str, shared: &mut Shared) -> Flow {
        self.has_read_call = true;
        self.stream.input = Vec::new();
        self.stream.push(codec::text(status, text));
        self.deadline = shared.state.begin_linger(now, self.token);
        Flow::Finish
    }
}
