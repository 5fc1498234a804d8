//! A client's connection, which handles one request at a time.

use super::codec::{self, status, Decoded, HttpError, HttpRequest};
use super::request::{RequestHead, INVOKE_PREFIX};
use super::response::{encode_answer, ERROR_BODY};
use super::upload::Upload;
use super::{sql, Shared};
use crate::core::{Answer, Request};
use crate::limits::Limits;
use crate::listener::server::{ClientConnection, EvictionRank, ListenerState};
use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use dahliaspoke::policy::RequestId;

/// Liveness check, answered without submitting a request.
const HEALTH_PATH: &str = "/_health";
const HEALTH_BODY: &[u8] = b"{}";

/// State of a connection.
pub(super) enum State {
    /// No byte of the next HTTP request has arrived.
    Idle,
    /// An HTTP request is arriving or, on a new connection, expected.
    Receiving {
        /// The interim response (100 Continue) has been sent.
        continue_sent: bool,
    },
    /// A large body is arriving.
    Uploading(Box<Upload>),
    /// A request is open in the core.
    AwaitingAnswer(RequestId),
    /// Scheduled to handle the next of several requests that were sent at once.
    Scheduled,
    /// The next request waits until the client has read its earlier answers.
    AwaitingReader,
}

/// A client's connection.
pub struct HttpConnection {
    pub(super) stream: BufferedStream,
    pub(super) token: Token,
    pub(super) state: State,
    /// Whether the connection remains open after the next response.
    keep_alive: bool,
    has_sent_request: bool,
    /// When the connection was accepted or last became idle.
    idle_since: Time,
    /// When the client must have sent the data that is expected of it.
    pub(super) deadline: Time,
}

impl ClientConnection for HttpConnection {
    fn accepted(now: Time, stream: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        Some(HttpConnection {
            stream,
            token,
            state: State::Receiving { continue_sent: false },
            keep_alive: true,
            has_sent_request: false,
            idle_since: now,
            deadline: now + shared.state.limits.clients.request_timeout,
        })
    }

    fn deadline(&self) -> Option<Time> {
        let client_waits = match &self.state {
            State::Idle | State::Receiving { .. } | State::AwaitingReader => false,
            State::Uploading(upload) => upload.is_client_waiting(),
            State::AwaitingAnswer(_) | State::Scheduled => true,
        };
        (!client_waits).then_some(self.deadline)
    }

    /// Closes a connection that is idle or whose client does not read its answers. A client that has not
    /// completed its HTTP request receives an error first.
    fn on_deadline(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let is_idle = self.stream.input.is_empty() && !self.is_uploading();
        if is_idle || matches!(self.state, State::AwaitingReader) {
            return Flow::Close;
        }
        self.reject(now, status::REQUEST_TIMEOUT, shared)
    }

    fn on_scheduled(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if !matches!(self.state, State::Scheduled) {
            return Flow::Open;
        }
        if self.has_unread_answers(shared) {
            self.state = State::AwaitingReader;
            return Flow::Open;
        }
        self.state = State::Idle;
        self.next_request(now, shared)
    }

    fn refusable_bytes(&self) -> Option<usize> {
        let is_refusable = match self.state {
            State::Receiving { .. } | State::Uploading(_) | State::AwaitingReader => true,
            State::Idle => self.stream.queued() > 0,
            State::AwaitingAnswer(_) | State::Scheduled => false,
        };
        is_refusable.then(|| self.stream.buffered_bytes())
    }

    fn on_memory_pressure(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if matches!(self.state, State::Receiving { .. } | State::Uploading(_)) {
            return self.reject(now, status::SERVICE_UNAVAILABLE, shared);
        }
        Flow::Close
    }

    fn max_buffered_bytes(limits: &Limits) -> usize {
        limits.clients.max_buffered_bytes
    }

    /// A connection whose response is not completely written must not be evicted: a truncated response loses
    /// the request.
    fn eviction_rank(&self) -> Option<EvictionRank> {
        let is_ready = matches!(self.state, State::Idle | State::Receiving { .. });
        if !is_ready || self.stream.queued() > 0 {
            return None;
        }
        Some(EvictionRank { has_sent_request: self.has_sent_request, idle_since: self.idle_since })
    }

    fn state(shared: &mut Shared) -> &mut ListenerState {
        &mut shared.state
    }

    fn max_connections(limits: &Limits) -> usize {
        limits.clients.max_connections
    }
}

impl Connection for HttpConnection {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        match self.state {
            State::Idle | State::Receiving { .. } => self.next_request(now, shared),
            State::Uploading(_) => self.receive_body(now, shared),
            State::AwaitingAnswer(_) | State::Scheduled | State::AwaitingReader => Flow::Open,
        }
    }

    /// The client has read some of its answers.
    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if matches!(self.state, State::Idle | State::AwaitingReader) {
            self.deadline = now + shared.state.limits.clients.idle_timeout;
        }
        if matches!(self.state, State::AwaitingReader) && !self.has_unread_answers(shared) {
            self.schedule(now, shared);
        }
        Flow::Open
    }

    /// Requests that a client sends ahead of an answer stay in the socket, except for what one read returned.
    fn is_paused(&self) -> bool {
        match &self.state {
            State::Idle | State::Receiving { .. } => false,
            State::Uploading(upload) => upload.is_client_waiting(),
            State::AwaitingAnswer(_) => !self.stream.input.is_empty(),
            State::Scheduled | State::AwaitingReader => true,
        }
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        self.abandon_request(shared);
    }
}

impl HttpConnection {
    /// Sends the final answer to the open request.
    pub(super) fn answer(&mut self, now: Time, answer: Answer, shared: &mut Shared) -> Flow {
        // If the body is still arriving, the rest of it is not needed and nothing after it can be read, so
        // the connection is closed.
        let body_is_arriving = self.is_uploading();
        self.finish_upload(shared);
        self.become_idle(now, shared);
        self.keep_alive &= !body_is_arriving && !self.closes_for_shutdown(shared);
        self.stream.push(encode_answer(answer, self.keep_alive));
        if !self.keep_alive {
            return self.finish(now, shared);
        }
        self.schedule_if_buffered(now, shared);
        Flow::Open
    }

    /// Handles the HTTP request at the start of the input, if it is complete. Those behind it are
    /// handled in later iterations of the event loop.
    fn next_request(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let decoded = match codec::decode(&self.stream.input, &shared.state.limits) {
            Ok(decoded) => decoded,
            Err(HttpError(status)) => return self.reject(now, status, shared),
        };
        match decoded {
            Decoded::Partial { expects_continue } => {
                self.await_rest_of_request(now, expects_continue, shared);
                Flow::Open
            }
            Decoded::Complete { request, length } => {
                self.consume_request(&request, length);
                let flow = self.handle_request(now, &request, shared);
                if flow == Flow::Open {
                    self.schedule_if_buffered(now, shared);
                }
                flow
            }
            Decoded::LargeBody { request, head_length, body_length, expects_continue } => {
                self.consume_request(&request, head_length);
                let flow = self.handle_large_request(now, &request, body_length, shared);
                if flow != Flow::Open {
                    return flow;
                }
                // The body store has reserved capacity for the body, so the client may send it.
                if expects_continue {
                    self.stream.push(codec::CONTINUE.to_vec());
                }
                self.receive_body(now, shared)
            }
        }
    }

    /// Schedules the connection if input is buffered behind the request that was just answered.
    fn schedule_if_buffered(&mut self, now: Time, shared: &mut Shared) {
        if self.is_ready_for_request() && !self.stream.input.is_empty() {
            self.schedule(now, shared);
        }
    }

    fn schedule(&mut self, now: Time, shared: &mut Shared) {
        self.state = State::Scheduled;
        shared.state.schedule(now, self.token);
    }

    /// Whether the client has left so many bytes of its answers unread that its next request must wait.
    fn has_unread_answers(&self, shared: &Shared) -> bool {
        self.stream.queued() > shared.state.limits.clients.max_unread_answer_bytes
    }

    fn is_ready_for_request(&self) -> bool {
        matches!(self.state, State::Idle | State::Receiving { .. })
    }

    fn is_uploading(&self) -> bool {
        matches!(self.state, State::Uploading(_))
    }

    /// A part of an HTTP request has arrived. The rest has its own deadline, not that of an idle connection.
    fn await_rest_of_request(&mut self, now: Time, expects_continue: bool, shared: &Shared) {
        let mut continue_sent = false;
        if let State::Receiving { continue_sent: sent } = self.state {
            continue_sent = sent;
        } else {
            self.deadline = now + shared.state.limits.clients.request_timeout;
        }
        if expects_continue && !continue_sent {
            self.stream.push(codec::CONTINUE.to_vec());
        }
        self.state = State::Receiving { continue_sent: continue_sent || expects_continue };
    }

    /// Removes the bytes of an HTTP request, or of its head, from the input.
    fn consume_request(&mut self, http_request: &HttpRequest, length: usize) {
        self.stream.input.drain(..length);
        self.keep_alive = http_request.keep_alive;
        self.has_sent_request = true;
    }

    /// Whether the connection is closed after the next response because the process is about to end. Requests
    /// that have already arrived are answered before.
    fn closes_for_shutdown(&self, shared: &Shared) -> bool {
        shared.state.shutting_down && self.stream.input.is_empty() && !self.stream.has_input()
    }

    /// Answers a complete HTTP request, or submits it to the core.
    fn handle_request(&mut self, now: Time, http_request: &HttpRequest, shared: &mut Shared) -> Flow {
        self.become_idle(now, shared);
        if let Err(HttpError(status)) = self.dispatch(now, http_request, shared) {
            return self.reject(now, status, shared);
        }
        if self.is_ready_for_request() && !self.keep_alive {
            return self.finish(now, shared);
        }
        Flow::Open
    }

    /// Starts to receive a large body.
    fn handle_large_request(
        &mut self,
        now: Time,
        http_request: &HttpRequest,
        body_length: usize,
        shared: &mut Shared,
    ) -> Flow {
        match self.begin_upload(now, http_request, body_length, shared) {
            Ok(flow) => flow,
            Err(HttpError(status)) => self.reject(now, status, shared),
        }
    }

    fn dispatch(
        &mut self,
        now: Time,
        http_request: &HttpRequest,
        shared: &mut Shared,
    ) -> Result<(), HttpError> {
        let path = http_request.path_without_query();
        if path == HEALTH_PATH {
            if http_request.method != "GET" {
                return Err(HttpError(status::METHOD_NOT_ALLOWED));
            }
            self.keep_alive &= !self.closes_for_shutdown(shared);
            self.stream.push(codec::json(status::OK, None, HEALTH_BODY, self.keep_alive));
            return Ok(());
        }
        let Some(class_name) = path.strip_prefix(INVOKE_PREFIX) else {
            // No request was opened, so the connection can remain open.
            self.keep_alive &= !self.closes_for_shutdown(shared);
            self.stream.push(codec::json(status::NOT_FOUND, None, ERROR_BODY, self.keep_alive));
            return Ok(());
        };
        let head = RequestHead::decode(http_request, class_name, shared)?;
        let statement =
            std::str::from_utf8(&http_request.body).map_err(|_| HttpError(status::BAD_REQUEST))?;
        let mut request = head.to_request(now, sql::table_group(statement), shared);
        request.payload.statement = statement.as_bytes().into();
        self.submit(request, shared);
        Ok(())
    }

    fn submit(&mut self, request: Request, shared: &mut Shared) {
        self.state = State::AwaitingAnswer(request.id.clone());
        shared.state.submit(self.token, request);
    }

    /// Answers an HTTP request that is unacceptable or incomplete with an error, and closes the connection.
    /// If its request was already submitted because the body is passed through, the request is abandoned.
    pub(super) fn reject(&mut self, now: Time, status: u16, shared: &mut Shared) -> Flow {
        shared.state.bad_requests += 1;
        self.abandon_request(shared);
        self.stream.push(codec::json(status, None, ERROR_BODY, false));
        self.finish(now, shared)
    }

    /// Stops receiving the body. If a request is open, reports to the core that its client is gone, so that
    /// it gets no answer.
    fn abandon_request(&mut self, shared: &mut Shared) {
        self.finish_upload(shared);
        if let State::AwaitingAnswer(id) = std::mem::replace(&mut self.state, State::Idle) {
            shared.state.report_client_gone(id);
        }
    }

    /// Sets the state to idle, and starts the idle timeout.
    fn become_idle(&mut self, now: Time, shared: &Shared) {
        self.state = State::Idle;
        self.idle_since = now;
        self.deadline = now + shared.state.limits.clients.idle_timeout;
    }

    /// Closes the connection once all responses are written.
    pub(super) fn finish(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.stream.input = Vec::new();
        self.deadline = shared.state.begin_linger(now, self.token);
        Flow::Finish
    }
}
