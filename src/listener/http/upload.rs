//! Receives a large body from a client into the body store.

use super::codec::{status, HttpError, HttpRequest};
use super::connection::{HttpConnection, State};
use super::request::{RequestHead, INVOKE_PREFIX};
use super::response::encode_answer;
use super::utf8::{InvalidUtf8, Utf8Checker};
use super::{sql, Shared};
use crate::body_store;
use crate::core::Answer;
use crate::listener::server::UploadConnection;
use crate::net::{Flow, Time};
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::plan::{BodyId, Rejection, Tier};
use dahliaspoke_body_store::{Body, BodyEvent};

/// Bytes of a statement that are searched for its table group: statements name their tables near the start.
const STATEMENT_START_BYTES: usize = 4 << 10;

const TOO_LARGE: HttpError = HttpError(status::CONTENT_TOO_LARGE);

/// A body that is arriving.
pub struct Upload {
    head: RequestHead,
    body: Body,
    /// Bytes of the body that have not arrived.
    remaining: usize,
    /// The first bytes of the statement.
    start: Vec<u8>,
    utf8: Utf8Checker,
    /// When all of the body must have arrived.
    deadline: Time,
    /// When the last byte arrived. The client's timeout runs from then, however long writing to disk takes.
    completed_at: Option<Time>,
    /// The body is passed through to the engine as it arrives instead of being stored.
    passed_through: bool,
    /// The body store currently has no capacity for more of the body.
    store_full: bool,
    /// The id of the request once it is submitted.
    request: Option<RequestId>,
}

impl Upload {
    fn new(head: RequestHead, body: Body, tier: Tier, remaining: usize, deadline: Time) -> Self {
        Self {
            head,
            body,
            remaining,
            start: Vec::new(),
            utf8: Utf8Checker::default(),
            deadline,
            completed_at: None,
            passed_through: tier == Tier::PassThrough,
            store_full: false,
            request: None,
        }
    }

    /// Whether nothing is expected of the client: there is no capacity, or the whole body has arrived.
    pub fn is_client_waiting(&self) -> bool {
        self.store_full || self.remaining == 0
    }

    /// Moves as much input into the body store as it has capacity for. Returns whether any byte was moved.
    fn receive(
        &mut self,
        now: Time,
        input: &mut Vec<u8>,
        store: &body_store::SharedBodyStore,
    ) -> Result<bool, InvalidUtf8> {
        let mut has_moved = false;
        while self.remaining > 0 {
            let capacity = store.borrow_mut().capacity(self.body.id());
            self.store_full = capacity == 0;
            let count = capacity.min(input.len());
            if count == 0 {
                break;
            }
            let bytes = &input[..count];
            self.utf8.push(bytes)?;
            let start_capacity = STATEMENT_START_BYTES - self.start.len();
            self.start.extend_from_slice(&bytes[..count.min(start_capacity)]);
            store.borrow_mut().append(now, self.body.id(), bytes);
            input.drain(..count);
            self.remaining -= count;
            has_moved = true;
        }
        if self.remaining == 0 {
            self.completed_at.get_or_insert(now);
            if !self.utf8.is_complete() {
                return Err(InvalidUtf8);
            }
        }
        Ok(has_moved)
    }

    /// Whether enough has arrived to submit the request of a body that is passed through.
    fn can_be_submitted(&self) -> bool {
        self.request.is_none() && (self.start.len() == STATEMENT_START_BYTES || self.remaining == 0)
    }

    /// The start of the statement, up to the last complete character.
    fn statement_start(&self) -> &str {
        match std::str::from_utf8(&self.start) {
            Ok(text) => text,
            Err(error) => std::str::from_utf8(&self.start[..error.valid_up_to()]).unwrap_or_default(),
        }
    }

    /// The deadline of the next byte if one arrives now.
    fn next_byte_deadline(&self, now: Time, shared: &Shared) -> Time {
        self.deadline.min(now + shared.state.limits.bodies.stall_timeout)
    }
}

impl HttpConnection {
    /// Reserves capacity in the body store for the body of an HTTP request, or rejects the request.
    pub(super) fn begin_upload(
        &mut self,
        now: Time,
        http_request: &HttpRequest,
        length: usize,
        shared: &mut Shared,
    ) -> Result<Flow, HttpError> {
        let class_name = http_request.path_without_query().strip_prefix(INVOKE_PREFIX).ok_or(TOO_LARGE)?;
        let head = RequestHead::decode(http_request, class_name, shared)?;
        let store = shared.state.uploads.store().cloned().ok_or(TOO_LARGE)?;
        let deadline = now + shared.state.limits.bodies.upload_timeout;
        let admitted = if shared.state.uploads.are_accepted(now) {
            store.borrow_mut().admit(now, head.class, length as u64, deadline + head.timeout)
        } else {
            Err(Rejection::NoCapacity)
        };
        let (body, tier) = match admitted {
            Ok(admitted) => admitted,
            Err(Rejection::TooLarge) => return Err(TOO_LARGE),
            Err(Rejection::NoCapacity) => return Ok(self.reject_for_capacity(now, head.class, shared)),
        };
        shared.state.uploads.add_receiver(body.id(), self.token);
        shared.state.uploads.begin();
        let upload = Upload::new(head, body, tier, length, deadline);
        self.deadline = upload.next_byte_deadline(now, shared);
        self.state = State::Uploading(Box::new(upload));
        Ok(Flow::Open)
    }

    /// Rejects a request for whose body there is no capacity. Nothing ran.
    fn reject_for_capacity(&mut self, now: Time, class: usize, shared: &mut Shared) -> Flow {
        self.finish_upload(shared);
        shared.state.report_rejected(class);
        let rejected = Answer::Rejected(shared.state.limits.bodies.retry_after);
        self.stream.push(encode_answer(rejected, false));
        self.finish(now, shared)
    }

    /// Moves what has arrived into the body store.
    pub(super) fn receive_body(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (State::Uploading(upload), Some(store)) = (&mut self.state, shared.state.uploads.store()) else {
            return Flow::Open;
        };
        match upload.receive(now, &mut self.stream.input, store) {
            Ok(true) => self.deadline = upload.next_byte_deadline(now, shared),
            Ok(false) => {}
            Err(InvalidUtf8) => return self.reject(now, status::BAD_REQUEST, shared),
        }
        self.submit_if_passed_through(now, shared)
    }

    /// Submits the request of a body that is passed through once its first bytes have arrived. Once the last
    /// bytes have arrived, the connection only waits for the answer.
    fn submit_if_passed_through(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let State::Uploading(upload) = &self.state else { return Flow::Open };
        if !upload.passed_through {
            return Flow::Open;
        }
        let is_complete = upload.remaining == 0;
        if upload.can_be_submitted() {
            let flow = self.submit_upload(now, true, shared);
            if flow != Flow::Open {
                return flow;
            }
        }
        if is_complete {
            self.finish_upload(shared);
        }
        Flow::Open
    }

    /// Submits the request of a body. `uploading`: the body is passed through and may still be arriving.
    fn submit_upload(&mut self, now: Time, uploading: bool, shared: &mut Shared) -> Flow {
        let State::Uploading(upload) = &mut self.state else { return Flow::Open };
        // Another client may have submitted a request with the same id in the meantime.
        if shared.state.is_open(&upload.head.id) {
            return self.reject(now, status::BAD_REQUEST, shared);
        }
        let received_at = upload.completed_at.unwrap_or(now);
        let table_group = sql::table_group(upload.statement_start());
        let mut request = upload.head.to_request(received_at, table_group, shared);
        request.uploading = uploading;
        request.payload.body = Some(upload.body.clone());
        upload.request = Some(request.id.clone());
        shared.state.submit(self.token, request);
        Flow::Open
    }

    /// Stops receiving the body. If its request is submitted, the connection waits for the answer.
    pub(super) fn finish_upload(&mut self, shared: &mut Shared) {
        if !matches!(self.state, State::Uploading(_)) {
            return;
        }
        if let State::Uploading(upload) = std::mem::replace(&mut self.state, State::Idle) {
            shared.state.uploads.remove_receiver(upload.body.id());
            shared.state.uploads.end();
            if let Some(id) = upload.request {
                self.state = State::AwaitingAnswer(id);
            }
        }
    }
}

impl UploadConnection for HttpConnection {
    fn on_body_event(&mut self, now: Time, _: BodyId, event: &BodyEvent, shared: &mut Shared) -> Flow {
        let State::Uploading(upload) = &mut self.state else { return Flow::Open };
        match event {
            BodyEvent::CapacityAvailable(_) => {
                self.deadline = upload.next_byte_deadline(now, shared);
                self.receive_body(now, shared)
            }
            BodyEvent::Stored(_) => {
                let flow = self.submit_upload(now, false, shared);
                self.finish_upload(shared);
                flow
            }
            BodyEvent::FellBackToPassThrough(_) => {
                upload.passed_through = true;
                self.receive_body(now, shared)
            }
            BodyEvent::Lost(_) => {
                let class = upload.head.class;
                self.reject_for_capacity(now, class, shared)
            }
            BodyEvent::BytesDropped(_) | BodyEvent::DataReady(_) => Flow::Open,
        }
    }
}
