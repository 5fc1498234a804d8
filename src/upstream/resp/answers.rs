//! How a connection handles an engine's replies.

use super::attempt::ResultState;
use super::command;
use super::connection::RespConnection;
use super::reply::{Reply, ReplyKind};
use super::result_pages::{PageStatus, ResultPages};
use super::shared::Shared;
use crate::core::{AttemptOutcome, AttemptReport};
use crate::net::resp::Malformed;
use crate::net::Time;
use crate::upstream::events::AttemptKey;
use dahliaspoke::policy::RequestId;

impl RespConnection {
    /// Handles one reply. Late replies to attempts that are no longer on this connection are ignored.
    ///
    /// # Errors
    /// If the connection is unusable: the reply is invalid, or a body has been sent only in part.
    pub fn handle_reply(&mut self, now: Time, reply: Reply, shared: &mut Shared) -> Result<(), Malformed> {
        let Some((id, running)) = self.attempts.get_key_value(reply.id.as_str()) else { return Ok(()) };
        let key = AttemptKey::new(id, running.number());
        let sends_body = self.sends_body_of(id);
        let outcome = match reply.kind {
            ReplyKind::Full => AttemptOutcome::Full,
            ReplyKind::Failed => AttemptOutcome::Error,
            ReplyKind::Expired => AttemptOutcome::Expired,
            ReplyKind::Progress(None) => return Ok(()),
            ReplyKind::Progress(Some(progress)) => {
                shared.events.progress(key, progress);
                return Ok(());
            }
            // The engine cannot have run an attempt whose body it has not fully received.
            ReplyKind::Data { .. } | ReplyKind::Page { .. } if sends_body => return Err(Malformed),
            ReplyKind::Health => return Err(Malformed),
            ReplyKind::Data { .. } | ReplyKind::Page { .. } => {
                return self.handle_result(now, &key.id, reply, shared)
            }
        };
        self.end_attempt(now, &key.id, outcome, reply.report, shared);
        if sends_body {
            Err(Malformed)
        } else {
            Ok(())
        }
    }

    fn handle_result(
        &mut self,
        now: Time,
        id: &RequestId,
        reply: Reply,
        shared: &mut Shared,
    ) -> Result<(), Malformed> {
        let index = match reply.kind {
            ReplyKind::Page { index } => index,
            // A duplicate of the first page is harmless.
            ReplyKind::Data { total } if self.begin_result(id, total, reply.report, shared)? => 0,
            _ => return Ok(()),
        };
        self.add_page(now, id, index, reply.body, shared)
    }

    /// The result is ready: requests all further pages at once. Returns false if the result had already
    /// started.
    fn begin_result(
        &mut self,
        id: &RequestId,
        total: usize,
        report: AttemptReport,
        shared: &Shared,
    ) -> Result<bool, Malformed> {
        let running = self.attempts.get_mut(id).ok_or(Malformed)?;
        if running.is_receiving() {
            return Ok(false);
        }
        let pages = ResultPages::new(total, report, &shared.limits.results)?;
        for index in 1..pages.total() {
            self.stream.push(command::page(id, index));
        }
        running.result = ResultState::Receiving(pages);
        Ok(true)
    }

    fn add_page(
        &mut self,
        now: Time,
        id: &RequestId,
        index: usize,
        body: Vec<u8>,
        shared: &mut Shared,
    ) -> Result<(), Malformed> {
        let running = self.attempts.get_mut(id).ok_or(Malformed)?;
        let ResultState::Receiving(pages) = &mut running.result else { return Err(Malformed) };
        if pages.add(index, body, &shared.limits.results)? == PageStatus::Incomplete {
            return Ok(());
        }
        let (total, report, parts) = (pages.total(), pages.report, pages.take_parts());
        if total > 1 {
            self.stream.push(command::close(id));
        }
        self.end_attempt(now, id, AttemptOutcome::Served(parts), report, shared);
        Ok(())
    }

    /// Reports the end of an attempt. If it was the last one, the connection becomes idle.
    fn end_attempt(
        &mut self,
        now: Time,
        id: &RequestId,
        outcome: AttemptOutcome,
        report: AttemptReport,
        shared: &mut Shared,
    ) {
        let Some(running) = self.attempts.remove(id) else { return };
        if !matches!(outcome, AttemptOutcome::Served(_)) {
            // A duplicate of this reply must not be attributed to the next attempt of the request.
            self.bar_id(now, id, &shared.limits.engines);
        }
        shared.events.attempt_reported(AttemptKey::new(id, running.number()), outcome, report);
        if self.attempts.is_empty() {
            self.idle_deadline = now + shared.limits.engines.idle_timeout;
            shared.idle.push(self.token);
        }
    }
}
