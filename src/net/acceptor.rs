//! A listening socket that accepts connections only while there is capacity.

use super::poller::{poll_now, Interest};
use super::{BufferedStream, Poller, Token};
use rustix::event::PollFlags;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::RawFd;
use std::rc::Rc;

/// The listening socket that this process has inherited under that descriptor number. A copy is asked of the kernel by way of
/// the process itself: a number alone proves no ownership.
///
/// # Errors
/// Where the number is no descriptor, or its socket does not listen.
pub fn inherited_listener(number: RawFd) -> io::Result<TcpListener> {
    let own_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = TcpListener::from(pidfd_getfd(own_process, number, PidfdGetfdFlags::empty())?);
    if rustix::net::sockopt::socket_acceptconn(&socket)? {
        Ok(socket)
    } else {
        Err(io::Error::new(io::ErrorKind::InvalidInput, "it does not listen"))
    }
}

/// Connections that may wait in the kernel's queue to be accepted. The standard library's own backlog is short: a burst would
/// fill it, and who connects then waits a second and more.
const BACKLOG: i32 = 4096;

/// A listening socket that the poller watches.
pub struct Acceptor {
    socket: TcpListener,
    token: Token,
    poller: Rc<Poller>,
    /// Whether the poller reports connections that wait.
    is_accepting: bool,
}

impl Acceptor {
    /// The slot in a listening socket's token, which no connection has.
    pub const SLOT: u32 = u32::MAX;

    /// Accepts on a socket, whose token names the event handler `owner`.
    ///
    /// # Errors
    /// Where the system refuses to listen, or to watch the socket.
    pub fn new(owner: u8, socket: TcpListener, poller: Rc<Poller>) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        rustix::net::listen(&socket, BACKLOG)?;
        let token = Token::new(owner, Self::SLOT, 0);
        poller.add(&socket, token, false)?;
        Ok(Self { socket, token, poller, is_accepting: true })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Where the system refuses to name it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next connection that waits, if there is one.
    ///
    /// # Errors
    /// Where one waits and the system has no descriptor or memory for it: it waits on.
    pub fn accept(&self) -> io::Result<Option<BufferedStream>> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    // One that broke before it was accepted is passed over.
                    if let Ok(stream) = BufferedStream::accepted(stream) {
                        return Ok(Some(stream));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The kernel looks for a descriptor before it looks whether a connection waits.
                Err(_) if !self.has_waiting() => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// Whether a connection waits in the kernel's queue.
    fn has_waiting(&self) -> bool {
        poll_now(&self.socket, PollFlags::IN).intersects(PollFlags::IN)
    }

    /// The token of the listening socket.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether the poller reports connections that wait.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    /// Sets whether connections are accepted. While there is no capacity they wait in the kernel's queue, and the poller does
    /// not report them. A change that the kernel refuses is not made; the caller asks again in the loop's next iteration.
    pub fn set_accepting(&mut self, accepting: bool) {
        if accepting == self.is_accepting {
            return;
        }
        let interest = Interest { readable: accepting, writable: false };
        if self.poller.modify(&self.socket, self.token, interest).is_ok() {
            self.is_accepting = accepting;
        }
    }
}
