//! A listening socket that takes connections only while there is room.

use super::poller::polled;
use super::{BufferedStream, Poller, Token};
use rustix::event::PollFlags;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::RawFd;
use std::rc::Rc;

/// The listening socket that the platform holds and this process has inherited under that number. A copy is
/// asked of the kernel by way of the process itself: a number alone proves no ownership.
pub fn inherited(number: RawFd) -> io::Result<TcpListener> {
    let myself = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = TcpListener::from(pidfd_getfd(myself, number, PidfdGetfdFlags::empty())?);
    if rustix::net::sockopt::socket_acceptconn(&socket)? {
        Ok(socket)
    } else {
        Err(io::Error::new(io::ErrorKind::InvalidInput, "it does not listen"))
    }
}

/// Connections that may wait in the kernel's line.
const LINE: i32 = 4096;

pub struct Acceptor {
    socket: TcpListener,
    token: Token,
    poller: Rc<Poller>,
    armed: bool,
}

impl Acceptor {
    /// The place in a listener's token, which no connection has.
    pub const SLOT: u32 = u32::MAX;

    pub fn new(part: u8, socket: TcpListener, poller: Rc<Poller>) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        // The library's own line is short: a crowd would fill it, and who comes then waits a second and more.
        rustix::net::listen(&socket, LINE)?;
        let token = Token::new(part, Self::SLOT, 0);
        poller.add(&socket, token, false)?;
        Ok(Self { socket, token, poller, armed: true })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next connection that waits, if there is one. Fails where one waits and the system has no descriptor or
    /// memory for it: it waits on.
    pub fn accept(&self) -> io::Result<Option<BufferedStream>> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    // One that broke before it was taken is passed over.
                    if let Ok(stream) = BufferedStream::accepted(stream) {
                        return Ok(Some(stream));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The kernel looks for a descriptor before it looks whether anybody waits.
                Err(_) if !self.is_waited_for() => return Ok(None),
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether a connection waits in the kernel's line.
    fn is_waited_for(&self) -> bool {
        polled(&self.socket, PollFlags::IN).intersects(PollFlags::IN)
    }

    /// Names the socket to its part.
    pub fn token(&self) -> Token {
        self.token
    }

    pub fn is_armed(&self) -> bool {
        self.armed
    }

    /// While there is no room, connections wait in the kernel's line, and epoll does not tell of them.
    pub fn room(&mut self, room: bool) {
        // A change that the kernel refuses is asked for again at the next turn.
        if room != self.armed && self.poller.change(&self.socket, self.token, room, false).is_ok() {
            self.armed = room;
        }
    }
}
