//! A connection to the agent that carries one request.

use super::error::HttpError;
use super::http::{self, Response};
use crate::limits::Limits;
use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use std::rc::Rc;

/// The outcome of the request on a connection.
pub struct Reply {
    /// The connection.
    pub token: Token,
    /// The agent's response, or why there is none.
    pub response: Result<Response, HttpError>,
}

/// The state that all connections to the agent share.
pub struct Shared {
    /// Limits on what the agent may send.
    pub limits: Rc<Limits>,
    /// Replies that are not handled yet.
    pub replies: Vec<Reply>,
}

/// A connection to the agent that carries one request.
pub struct AgentConnection {
    stream: BufferedStream,
    token: Token,
    has_replied: bool,
}

impl AgentConnection {
    /// Creates a connection from a stream on which the request has been queued.
    pub fn new(stream: BufferedStream, token: Token) -> Self {
        Self { stream, token, has_replied: false }
    }
}

impl Connection for AgentConnection {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, _: Time, shared: &mut Shared) -> Flow {
        let Some(response) = http::decode_response(&self.stream.input, &shared.limits).transpose() else {
            return Flow::Open;
        };
        shared.replies.push(Reply { token: self.token, response });
        self.has_replied = true;
        Flow::Close
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        if !self.has_replied {
            let response = Err(HttpError::ClosedEarly);
            shared.replies.push(Reply { token: self.token, response });
        }
    }
}
