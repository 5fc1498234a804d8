//! Handles requests from other members, operators and watchers.

use super::connections::ReceivedRequest;
use super::Member;
use crate::net::{Time, Token};
use crate::store::wire::{encode_answer, encode_hello, Answer, CallError, Hello, Reply, Request};
use dahliaspoke_raft::state_machine::Command;

impl Member {
    /// Handles all received requests, in order.
    pub(super) fn handle_requests(&mut self, now: Time) {
        while let Some(ReceivedRequest { connection, request }) = self.connections.next_request() {
            let request = request.map_err(CallError::Decode).and_then(|request| self.check(request));
            match request {
                Ok(request) => self.handle_request(now, connection, request),
                Err(error) => self.answer(now, connection, &Err(error)),
            }
            self.process_events(now);
        }
    }

    fn handle_request(&mut self, now: Time, connection: Token, request: Request) {
        let replica = &mut self.replica;
        match request {
            Request::Hello(hello) => self.on_hello(now, connection, hello),
            Request::Raft(message) => replica.on_message(now, *message),
            Request::Read { key, with_version } => replica.read(now, connection, key, with_version),
            Request::Change(command) => replica.propose(now, connection, &command),
            // What a member knows that does not take part is no longer or not yet that of the store.
            Request::Watch { .. } if !replica.participates() => {
                self.answer(now, connection, &Err(CallError::NotParticipating));
            }
            Request::Watch { version, store } => self.start_watch(now, connection, version, store),
            Request::Status => {
                let status = Reply::Text(Some(self.status(now).into()));
                self.answer(now, connection, &Ok(status));
            }
            Request::Init => replica.init(now, connection),
            Request::AddMember(name) => replica.add_member(now, connection, &name),
            Request::RemoveMember(name) => replica.remove_member(now, connection, &name),
            Request::TransferLeadership(name) => replica.transfer_leadership(now, connection, &name),
            Request::Snapshot => {
                replica.snapshot(now);
                self.process_events(now);
                self.answer(now, connection, &Ok(Reply::Done));
            }
        }
    }

    pub(super) fn answer(&mut self, now: Time, connection: Token, answer: &Answer) {
        self.connections.send(now, connection, encode_answer(answer));
    }

    /// Rejects an invalid change before it is proposed.
    fn check(&self, request: Request) -> Result<Request, CallError> {
        if let Request::Change(command) = &request {
            self.check_command(command)?;
        }
        Ok(request)
    }

    fn check_command(&self, command: &Command) -> Result<(), CallError> {
        command.validate()?;
        for op in &command.ops {
            let Some(text) = &op.value else { continue };
            (self.value_check)(&op.key, text)
                .map_err(|reason| CallError::InvalidValue { key: op.key.clone(), reason })?;
        }
        Ok(())
    }

    /// Another member has identified itself, on a connection that either of the two may have opened. If the other one
    /// opened it, this member identifies itself in return.
    fn on_hello(&mut self, now: Time, connection: Token, hello: Hello) {
        if !self.is_known(&hello.name) {
            return self.answer(now, connection, &Err(CallError::UnknownPeer(hello.name)));
        }
        let is_outgoing = self.peers.identify(connection, &hello);
        self.replica.identified.insert(hello.name.clone(), hello);
        if !is_outgoing {
            self.connections.send(now, connection, encode_hello(&self.replica.hello));
        }
    }

    /// Whether the configuration or the log has a member of this name.
    fn is_known(&self, name: &str) -> bool {
        let members = self.replica.raft.members();
        self.peers.contains(name) || members.values().any(|member| member.name == name)
    }
}
