//! The operators' door: HTTP/1.1, one call a connection. It decodes calls and encodes answers; the daemon
//! carries them out.

use crate::limits::Limits;
use crate::listener::http::codec::{self, Bad, Read};
use crate::listener::server::{ClientConnection, Server, State};
use crate::net::{BufferedStream, Connection, Flow, Poller, Time, Token};
use dahliaspoke::policy::EngineId;
use std::collections::VecDeque;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// What an operator asks for.
#[derive(Debug)]
pub enum Command {
    Health,
    Stats,
    /// Leave the engine out.
    Ban(EngineId),
    /// It may serve again.
    Lift(EngineId),
}

/// What all callers have in common.
pub struct Shared {
    state: State,
    commands: VecDeque<(Token, Command)>,
}

/// An operator's connection.
pub struct Caller {
    channel: BufferedStream,
    token: Token,
    since: Time,
    until: Time,
    /// Its call is read; what still comes is passed over.
    called: bool,
}

pub type AdminInterface = Server<Caller>;

impl AdminInterface {
    pub fn open(part: u8, socket: TcpListener, poller: Rc<Poller>, limits: Rc<Limits>) -> io::Result<Self> {
        Self::new(part, socket, Shared { state: State::new(0, limits), commands: VecDeque::new() }, poller)
    }

    /// The next call, and whose it is.
    pub fn command(&mut self) -> Option<(Token, Command)> {
        self.shared.commands.pop_front()
    }

    /// Answers a call: the status says yes or no.
    pub fn tell(&mut self, now: Time, token: Token, status: u16, text: &str) {
        self.reply(now, token, |caller, shared| caller.finish(now, status, text, shared));
    }
}

impl ClientConnection for Caller {
    fn accepted(now: Time, channel: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        Some(Caller {
            channel,
            token,
            since: now,
            until: now + shared.state.limits.clients.request_timeout,
            called: false,
        })
    }

    fn until(&self) -> Option<Time> {
        Some(self.until)
    }

    fn overdue(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.called {
            return Flow::Close;
        }
        self.finish(now, 408, "", shared)
    }

    /// Those that stay silent, or do not take their answer, must not keep others out.
    fn spare(&self) -> Option<(bool, Time)> {
        Some((self.called && self.channel.queued() > 0, self.since))
    }

    fn state(shared: &mut Shared) -> &mut State {
        &mut shared.state
    }

    fn most(limits: &Limits) -> usize {
        limits.admin.max_connections
    }
}

impl Connection for Caller {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.called {
            self.channel.input.clear();
            return Flow::Open;
        }
        let status = match codec::read(&self.channel.input, &shared.state.limits) {
            Ok(Read::Partial { .. }) => return Flow::Open,
            Ok(Read::Large { .. }) => 413,
            Ok(Read::Whole(call, _)) => match command(&call.method, &call.path) {
                Ok(command) => {
                    self.called = true;
                    shared.commands.push_back((self.token, command));
                    return Flow::Open;
                }
                Err(Bad(status)) => status,
            },
            Err(Bad(status)) => status,
        };
        self.finish(now, status, "", shared)
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, _: &mut Shared) {}
}

impl Caller {
    fn finish(&mut self, now: Time, status: u16, text: &str, shared: &mut Shared) -> Flow {
        self.called = true;
        self.channel.input = Vec::new();
        self.channel.push(codec::text(status, text));
        self.until = now + shared.state.limits.clients.linger_timeout;
        shared.state.look(self.until, self.token);
        Flow::Finish
    }
}

fn command(method: &str, path: &str) -> Result<Command, Bad> {
    let (wanted, command) = match path {
        "/healthcheck" => ("GET", Command::Health),
        "/stats" => ("GET", Command::Stats),
        _ => match path.strip_prefix("/worker-groups/").and_then(|rest| rest.split_once('/')) {
            Some((id, "maint")) => ("POST", Command::Ban(id.into())),
            Some((id, "ready")) => ("POST", Command::Lift(id.into())),
            _ => return Err(Bad(404)),
        },
    };
    if method == wanted {
        Ok(command)
    } else {
        Err(Bad(405))
    }
}
