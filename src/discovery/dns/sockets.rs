//! The sockets for queries to the directory. They are connected, so that each receives from the directory's
//! address only.

use crate::net::{Poller, Token};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Maximum errors that are skipped on a socket before a datagram; the kernel reports each error once.
const MAX_PENDING_ERRORS: usize = 4;

/// The current socket, and the previous one, on which late responses may still arrive.
pub struct DirectorySockets {
    token: Token,
    directory: SocketAddr,
    current: UdpSocket,
    previous: Option<UdpSocket>,
}

impl DirectorySockets {
    /// Opens a socket to the directory and registers it with the poller under `token`.
    pub fn open(token: Token, directory: SocketAddr, poller: &Poller) -> io::Result<Self> {
        let current = open_socket(token, directory, poller)?;
        Ok(Self { token, directory, current, previous: None })
    }

    /// The local address of the current socket.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.current.local_addr()
    }

    /// Queries another directory from now on, and no longer receives from the previous one. If no new socket
    /// can be opened, the current one is reconnected.
    pub fn connect_to(&mut self, directory: SocketAddr, poller: &Poller) -> io::Result<()> {
        self.previous = None;
        if let Ok(socket) = open_socket(self.token, directory, poller) {
            self.current = socket;
        } else {
            // Disconnect first, so that the kernel selects a new source address.
            rustix::net::connect_unspec(&self.current)?;
            self.current.connect(directory)?;
        }
        self.directory = directory;
        Ok(())
    }

    /// Queries from another port from now on: a middlebox on the path may have dropped its state for the
    /// current port.
    pub fn change_port(&mut self, poller: &Poller) -> io::Result<()> {
        let fresh = open_socket(self.token, self.directory, poller)?;
        self.previous = Some(std::mem::replace(&mut self.current, fresh));
        Ok(())
    }

    /// Sends a datagram to the directory.
    pub fn send(&self, datagram: &[u8]) -> io::Result<usize> {
        self.current.send(datagram)
    }

    /// The length of the next datagram that has arrived on either socket, if there is one. Errors that the
    /// network reported for earlier datagrams are skipped.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        let sockets = std::iter::once(&self.current).chain(&self.previous);
        sockets.into_iter().find_map(|socket| receive_on(socket, buffer))
    }
}

fn open_socket(token: Token, directory: SocketAddr, poller: &Poller) -> io::Result<UdpSocket> {
    let any_port: SocketAddr = (Ipv4Addr::UNSPECIFIED, 0).into();
    let socket = UdpSocket::bind(any_port)?;
    socket.connect(directory)?;
    socket.set_nonblocking(true)?;
    poller.add(&socket, token, false)?;
    Ok(socket)
}

fn receive_on(socket: &UdpSocket, buffer: &mut [u8]) -> Option<usize> {
    for _ in 0..MAX_PENDING_ERRORS {
        match socket.recv(buffer) {
            Ok(length) => return Some(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
    None
}
