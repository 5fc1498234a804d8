//! Passes events to the policy and executes the actions that it returns.

use super::{Answer, Attempt, AttemptId, AttemptReport, Core, Route, TimerEvent};
use crate::net::Time;
use dahliaspoke::policy::{Action, EngineId, Event, Outcome, RequestId};

/// Time limits of an attempt, counted from when it is sent (s).
#[derive(Clone, Copy)]
struct AttemptTimeouts {
    /// Until it has ended; `None`: until the request's deadline.
    total: Option<f64>,
    /// Until its first byte is sent; `None`: the same as `total`.
    send: Option<f64>,
}

impl Core {
    /// Passes an event to the policy and executes the resulting actions, then does the same for the events
    /// that these actions cause, until none is left.
    pub(super) fn feed(&mut self, now: Time, event: Event, routes: &mut [Route]) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action, routes);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, now: Time, action: Action, routes: &mut [Route]) {
        match action {
            Action::Send { id, engine, timeout, within } => {
                self.send(now, id, engine, AttemptTimeouts { total: timeout, send: within }, routes);
            }
            Action::Cancel { id, attempt } => {
                self.cancel(now, AttemptId { request: id, number: attempt }, routes);
            }
            Action::Reject { id, retry_after } => {
                self.finish(now, &id, Answer::Rejected(retry_after), routes);
            }
            Action::Fail { id } => self.finish(now, &id, Answer::Failed, routes),
            Action::SetTerms { id, memory, rank } => self.set_terms(now, &id, memory, rank, routes),
            Action::ReleaseOrderLock { id, not_before } => self.release_order_lock(now, &id, not_before),
            Action::SetTimer { after, token } => self.set_timer(now + after, TimerEvent::Policy(token)),
            Action::Subscribe => {} // the directory is polled anyway
            Action::Log(line) => tracing::info!(at = now, "{line}"),
        }
    }

    /// Sends the request's next attempt, unless its client has disconnected.
    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        engine: EngineId,
        timeouts: AttemptTimeouts,
        routes: &mut [Route],
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        // The listener's disconnect event may still be queued behind the current one, so the connection
        // itself is checked here.
        let client_disconnected = request.is_open() && !routes[request.route].listener.is_client_waiting(&id);
        if client_disconnected && self.withdraw(&id) {
            self.events.push_back(Event::ClientGone { id: id.clone() });
        }
        if self.requests.is_open(&id) {
            self.start_attempt(now, id, engine, timeouts, routes);
        } else {
            self.skip_attempt(now, id);
        }
    }

    /// Starts an attempt of an open request on its upstream.
    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        engine: EngineId,
        timeouts: AttemptTimeouts,
        routes: &mut [Route],
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let deadline = timeouts.total.map_or(request.deadline, |total| request.deadline.min(now + total));
        let send_deadline = timeouts.send.map_or(deadline, |send| deadline.min(now + send));
        let number = request.add_running_attempt();
        let attempt = Attempt {
            id: id.clone(),
            attempt: number,
            engine,
            deadline,
            send_deadline,
            memory: request.memory,
            priority: request.priority,
            payload: request.payload.clone(),
        };
        let upstream = &mut routes[request.route].upstream;
        let attempt_id = AttemptId { request: id, number };
        self.counters.sends += 1;
        self.trace.attempt_sent(now, &attempt_id, &attempt.engine);
        self.set_timer(deadline, TimerEvent::AttemptDeadline(attempt_id));
        upstream.start(now, attempt);
    }

    /// Ends the next attempt of a closed request without sending it.
    fn skip_attempt(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let number = request.add_ended_attempt();
        self.end_without_report(now, AttemptId { request: id, number }, Outcome::Expired);
    }

    /// Cancels a running attempt.
    fn cancel(&mut self, now: Time, attempt: AttemptId, routes: &mut [Route]) {
        if self.requests.end_attempt(&attempt) {
            self.abandon(now, &attempt, routes);
            self.end_without_report(now, attempt, Outcome::Cancelled);
        }
    }

    /// Ends an attempt without a report from the engine. The policy handles its end after the actions that
    /// are currently being executed.
    fn end_without_report(&mut self, now: Time, attempt: AttemptId, outcome: Outcome) {
        let id = attempt.request.clone();
        let event = self.attempt_end(now, attempt, outcome, AttemptReport::default());
        self.events.push_back(event);
        self.remove_finished(now, &id);
    }

    /// Sends a request the final answer that the policy decided on.
    fn finish(&mut self, now: Time, id: &RequestId, answer: Answer, routes: &mut [Route]) {
        self.answer(now, id, answer, routes);
        self.remove_finished(now, id);
    }

    /// Sets the memory and priority of a request's attempts. Running attempts get the new priority as well.
    fn set_terms(
        &mut self,
        now: Time,
        id: &RequestId,
        memory: Option<f64>,
        priority: u8,
        routes: &mut [Route],
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let changed = request.set_terms(memory, priority);
        let upstream = &mut routes[request.route].upstream;
        for attempt in changed {
            upstream.set_priority(now, id, attempt, priority);
        }
    }
}
