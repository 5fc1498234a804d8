//! A listening socket that accepts connections only while there is capacity for them.

use super::poller::{poll_now, Interest};
use super::{BufferedStream, Poller, Token};
use rustix::event::PollFlags;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::RawFd;
use std::rc::Rc;

/// Returns the listening socket that this process inherited as descriptor `number`. The descriptor is
/// duplicated with `pidfd_getfd` on this process itself, because a bare number does not prove ownership of
/// the descriptor.
///
/// # Errors
/// If `number` is not an open descriptor or its socket is not listening.
pub fn inherited_listener(number: RawFd) -> io::Result<TcpListener> {
    let own_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let socket = TcpListener::from(pidfd_getfd(own_process, number, PidfdGetfdFlags::empty())?);
    if rustix::net::sockopt::socket_acceptconn(&socket)? {
        Ok(socket)
    } else {
        Err(io::Error::new(io::ErrorKind::InvalidInput, "the inherited descriptor is not a listening socket"))
    }
}

/// Length of the kernel's accept queue. The standard library's default is too short: a burst would fill it,
/// and clients that connect then wait for a second or more.
const BACKLOG: i32 = 4096;

/// A listening socket registered with the poller.
pub struct Acceptor {
    socket: TcpListener,
    token: Token,
    poller: Rc<Poller>,
    /// Whether the poller reports pending connections.
    is_accepting: bool,
}

impl Acceptor {
    /// The slot number in a listening socket's token; no connection uses it.
    pub const SLOT: u32 = u32::MAX;

    /// Starts listening on `socket`; its token names the event handler `owner`.
    ///
    /// # Errors
    /// If the system refuses to listen or the poller cannot watch the socket.
    pub fn new(owner: u8, socket: TcpListener, poller: Rc<Poller>) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        rustix::net::listen(&socket, BACKLOG)?;
        let token = Token::new(owner, Self::SLOT, 0);
        poller.add(&socket, token, false)?;
        Ok(Self { socket, token, poller, is_accepting: true })
    }

    /// The local address of the socket.
    ///
    /// # Errors
    /// If the system cannot report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next pending connection, if there is one.
    ///
    /// # Errors
    /// If a connection is pending but the system has no descriptor or memory for it; it stays in the queue.
    pub fn accept(&self) -> io::Result<Option<BufferedStream>> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    // A connection that broke before it was accepted is skipped.
                    if let Ok(stream) = BufferedStream::accepted(stream) {
                        return Ok(Some(stream));
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The kernel allocates a descriptor before it checks for a pending connection, so this error
                // may occur with an empty queue.
                Err(_) if !self.has_pending_connection() => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }

    /// Whether a connection is pending in the kernel's queue.
    fn has_pending_connection(&self) -> bool {
        poll_now(&self.socket, PollFlags::IN).intersects(PollFlags::IN)
    }

    /// The token of the listening socket.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether the poller reports pending connections.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    /// Sets whether connections are accepted. While they are not, connections wait in the kernel's queue and
    /// the poller does not report them. If the kernel rejects the change, the state stays as it was and the
    /// caller retries in the next iteration of the event loop.
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
