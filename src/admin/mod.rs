//! The admin interface for operators: HTTP/1.1, one call a connection. It decodes calls and encodes responses; the daemon
//! carries the calls out.

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

/// Status of a call that is not whole in time.
const REQUEST_TIMEOUT: u16 = 408;
/// Status of a call whose body is too large.
const CONTENT_TOO_LARGE: u16 = 413;
/// The number of a listener's route in requests; calls of operators become none.
const NO_ROUTE: usize = 0;

/// A call that waits for its response.
#[derive(Debug)]
pub struct Call {
    /// The connection that it came by.
    pub connection: Token,
    /// What the operator wants.
    pub command: Command,
}

/// What all connections of operators share.
pub struct Shared {
    state: ListenerState,
    calls: VecDeque<Call>,
}

/// An operator's connection.
pub struct AdminConnection {
    stream: BufferedStream,
    token: Token,
    accepted_at: Time,
    /// When it is closed, at the latest.
    deadline: Time,
    /// Its call is read; bytes behind it are passed over.
    called: bool,
}

/// The admin interface: a listener and its connections.
pub type AdminInterface = Server<AdminConnection>;

impl AdminInterface {
    /// Opens it on a listening socket. `owner` is the owner number in tokens.
    ///
    /// # Errors
    /// Where the system refuses to have the socket watched.
    pub fn open(owner: u8, socket: TcpListener, poller: Rc<Poller>, limits: Rc<Limits>) -> io::Result<Self> {
        let shared = Shared { state: ListenerState::new(NO_ROUTE, limits), calls: VecDeque::new() };
        Self::new(owner, socket, shared, poller)
    }

    /// The next call, in order of arrival.
    pub fn next_call(&mut self) -> Option<Call> {
        self.shared.calls.pop_front()
    }

    /// Answers a call, if its connection is still there.
    pub fn respond(&mut self, now: Time, connection: Token, response: &Response) {
        self.reply(now, connection, |operator, shared| {
            operator.finish(now, response.status(), &response.body(), shared)
        });
    }
}

impl ClientConnection for AdminConnection {
    fn accepted(now: Time, stream: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        let deadline = now + shared.state.limits.clients.request_timeout;
        Some(AdminConnection { stream, token, accepted_at: now, deadline, called: false })
    }

    fn deadline(&self) -> Option<Time> {
        Some(self.deadline)
    }

    fn on_deadline(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.called {
            return Flow::Close;
        }
        self.finish(now, REQUEST_TIMEOUT, "", shared)
    }

    /// Operators that stay silent, or do not take their answer, must not keep others out.
    fn eviction_rank(&self) -> Option<EvictionRank> {
        let has_sent_request = self.called && self.stream.queued() > 0;
        Some(EvictionRank { has_sent_request, idle_since: self.accepted_at })
    }

    fn state(shared: &mut Shared) -> &mut ListenerState {
        &mut shared.state
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
        if self.called {
            self.stream.input.clear();
            return Flow::Open;
        }
        match self.read_command(&shared.state.limits) {
            Ok(None) => Flow::Open,
            Ok(Some(command)) => {
                self.called = true;
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
    /// The command in the input, once its call is here whole; else the status that rejects it.
    fn read_command(&self, limits: &Limits) -> Result<Option<Command>, HttpError> {
        match codec::decode(&self.stream.input, limits)? {
            Decoded::Partial { .. } => Ok(None),
            Decoded::LargeBody { .. } => Err(HttpError(CONTENT_TOO_LARGE)),
            Decoded::Complete { request, .. } => Command::decode(&request.method, &request.path).map(Some),
        }
    }

    /// Answers, and closes the connection once the answer is written.
    fn finish(&mut self, now: Time, status: u16, text: &str, shared: &mut Shared) -> Flow {
        self.called = true;
        self.stream.input = Vec::new();
        self.stream.push(codec::text(status, text));
        self.deadline = shared.state.begin_linger(now, self.token);
        Flow::Finish
    }
}
