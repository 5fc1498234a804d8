//! A large body, on its way from its client into the spool.

use super::codec::{Bad, Call};
use super::{encode, sql, told, Client, HttpListener, Shared, Told};
use crate::core::Answer;
use crate::listener::server::Server;
use crate::net::{Flow, Time};
use dahliaspoke_body_store::plan::{BodyId, Refusal, Tier};
use dahliaspoke_body_store::spool::{Body, Wake};

/// Bytes from which a statement's tables are read: they stand at its beginning.
const HEAD: usize = 4 << 10;

/// A body that is coming in.
pub struct Upload {
    told: Told,
    body: Body,
    /// Bytes that have not come.
    left: usize,
    /// Its first bytes.
    head: Vec<u8>,
    text: Text,
    /// All of it must be here by then.
    by: Time,
    /// When its last byte came: its request's time runs from there, however long the disk then takes.
    whole: Option<Time>,
    /// It is not kept, but passed on.
    passed: bool,
    /// There is no room for more of it now.
    full: bool,
}

impl Upload {
    /// Whether its client can do nothing now: there is no room, or all has come and is being written.
    pub fn waits(&self) -> bool {
        self.full || self.left == 0
    }

    /// The beginning of its statement, as far as it is whole letters.
    fn start(&self) -> &str {
        match std::str::from_utf8(&self.head) {
            Ok(text) => text,
            Err(e) => std::str::from_utf8(&self.head[..e.valid_up_to()]).unwrap_or_default(),
        }
    }
}

/// Text that comes in pieces.
#[derive(Default)]
struct Text {
    /// A letter of which not all bytes have come.
    open: Vec<u8>,
}

impl Text {
    /// Whether it is still UTF-8 with these bytes behind it.
    fn goes_on(&mut self, mut bytes: &[u8]) -> bool {
        while let (false, Some((first, rest))) = (self.open.is_empty(), bytes.split_first()) {
            self.open.push(*first);
            bytes = rest;
            match std::str::from_utf8(&self.open) {
                Ok(_) => self.open.clear(),
                Err(e) if e.error_len().is_some() => return false,
                Err(_) => {}
            }
        }
        match std::str::from_utf8(bytes) {
            Ok(_) => true,
            Err(e) if e.error_len().is_some() => false,
            Err(e) => {
                self.open.extend_from_slice(&bytes[e.valid_up_to()..]);
                true
            }
        }
    }
}

impl Client {
    /// Finds room for a body, or turns it away.
    pub fn begin_upload(
        &mut self,
        now: Time,
        call: &Call,
        length: usize,
        shared: &mut Shared,
    ) -> Result<Flow, Bad> {
        let path = call.path.split('?').next().unwrap_or_default();
        let class = path.strip_prefix("/invoke/").ok_or(Bad(413))?;
        let told = told(call, class, shared)?;
        let spool = shared.spool.clone().ok_or(Bad(413))?;
        let limits = shared.state.limits.clone();
        let by = now + limits.bodies.upload_timeout;
        let taken = if now < shared.state.last_upload {
            spool.borrow_mut().admit(now, told.class, length as u64, by + told.allow)
        } else {
            Err(Refusal::NoRoom)
        };
        let (body, tier) = match taken {
            Ok(taken) => taken,
            Err(Refusal::TooLarge) => return Err(Bad(413)),
            Err(Refusal::NoRoom) => return Ok(self.turn_away(now, told.class, shared)),
        };
        shared.uploads.insert(body.id(), self.token);
        shared.state.uploads += 1;
        self.until = by.min(now + limits.bodies.stall_timeout);
        let (head, text) = (Vec::new(), Text::default());
        let (passed, full) = (tier == Tier::Passed, false);
        self.upload = Some(Upload { told, body, left: length, head, text, by, whole: None, passed, full });
        Ok(Flow::Open)
    }

    /// A request for whose body there is no room: nothing ran.
    fn turn_away(&mut self, now: Time, class: usize, shared: &mut Shared) -> Flow {
        self.end_upload(shared);
        shared.state.turned_away(class);
        self.channel.push(encode(Answer::Rejected(shared.state.limits.bodies.retry_after), false));
        self.finish(now, shared)
    }

    /// Hands to the spool what has come.
    pub fn take_body(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (Some(upload), Some(spool)) = (&mut self.upload, &shared.spool) else { return Flow::Open };
        let id = upload.body.id();
        while upload.left > 0 {
            let room = spool.borrow_mut().room(id);
            upload.full = room == 0;
            let count = room.min(self.channel.input.len());
            if count == 0 {
                break;
            }
            let bytes = &self.channel.input[..count];
            if !upload.text.goes_on(bytes) {
                return self.bad(now, 400, shared);
            }
            upload.head.extend_from_slice(&bytes[..count.min(HEAD - upload.head.len())]);
            spool.borrow_mut().push(now, id, bytes);
            self.channel.input.drain(..count);
            upload.left -= count;
            self.until = upload.by.min(now + shared.state.limits.bodies.stall_timeout);
        }
        if upload.left == 0 {
            upload.whole.get_or_insert(now);
        }
        if upload.left == 0 && !upload.text.open.is_empty() {
            return self.bad(now, 400, shared);
        }
        self.pass_on(now, shared)
    }

    /// A body that is passed on makes its request once its first bytes are here, and is this connection's
    /// until its last are.
    fn pass_on(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let Some(upload) = self.upload.as_ref().filter(|upload| upload.passed) else { return Flow::Open };
        if self.open.is_none() && (upload.head.len() == HEAD || upload.left == 0) {
            let flow = self.ask_for_upload(now, true, shared);
            if flow != Flow::Open {
                return flow;
            }
        }
        if self.upload.as_ref().is_some_and(|upload| upload.left == 0) {
            self.end_upload(shared);
        }
        Flow::Open
    }

    fn ask_for_upload(&mut self, now: Time, uploading: bool, shared: &mut Shared) -> Flow {
        let Some(upload) = &self.upload else { return Flow::Open };
        // Another client may have asked under the same id meanwhile.
        if shared.state.is_open(&upload.told.id) {
            return self.bad(now, 400, shared);
        }
        let since = upload.whole.unwrap_or(now);
        let mut ask = upload.told.ask(since, sql::tables(upload.start()), shared);
        ask.uploading = uploading;
        ask.payload.body = Some(upload.body.clone());
        self.ask(ask, shared);
        Flow::Open
    }

    /// Nothing more of the body is taken.
    pub fn end_upload(&mut self, shared: &mut Shared) {
        if let Some(upload) = self.upload.take() {
            shared.uploads.remove(&upload.body.id());
            shared.state.uploads -= 1;
        }
    }

    fn woken(&mut self, now: Time, wake: &Wake, shared: &mut Shared) -> Flow {
        let Some(upload) = &mut self.upload else { return Flow::Open };
        match wake {
            Wake::Room(_) => {
                self.until = upload.by.min(now + shared.state.limits.bodies.stall_timeout);
                self.take_body(now, shared)
            }
            Wake::Kept(_) => {
                let flow = self.ask_for_upload(now, false, shared);
                self.end_upload(shared);
                flow
            }
            Wake::Passed(_) => {
                upload.passed = true;
                self.take_body(now, shared)
            }
            Wake::Lost(_) => {
                let class = upload.told.class;
                self.turn_away(now, class, shared)
            }
            Wake::Spent(_) | Wake::Data(_) => Flow::Open,
        }
    }
}

impl HttpListener {
    /// Something has become of a body.
    pub fn wake(&mut self, now: Time, body: BodyId, wake: &Wake) {
        let Some(token) = self.shared.uploads.get(&body).copied() else { return };
        Server::reply(self, now, token, |client, shared| client.woken(now, wake, shared));
    }

    /// Large bodies are not begun after this.
    pub fn last_upload(&mut self, at: Time) {
        self.shared.state.last_upload = at;
    }
}
