//! The sockets on which the directory is queried. A connected UDP socket receives from one address alone.

use crate::net::{Poller, Token};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Errors that a socket may report before a datagram: the kernel reports each of them once.
const MAX_PENDING_ERRORS: usize = 4;

/// The socket in use, and the one before it, on which a late response may still arrive.
pub struct DirectorySockets {
    token: Token,
    directory: SocketAddr,
    current: UdpSocket,
    previous: Option<UdpSocket>,
}

impl DirectorySockets {
    /// Opens a socket to the directory. `token` names it to the poller.
    pub fn open(token: Token, directory: SocketAddr, poller: &Poller) -> io::Result<Self> {
        let current = open_socket(token, directory, poller)?;
        Ok(Self { token, directory, current, previous: None })
    }

    /// The local address of the socket in use.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.current.local_addr()
    }

    /// Queries another directory from now on, and receives from the one before no more. Without a descriptor for a
    /// further socket, the open one is connected anew.
    pub fn connect_to(&mut self, directory: SocketAddr, poller: &Poller) -> io::Result<()> {
        self.previous = None;
        if let Ok(socket) = open_socket(self.token, directory, poller) {
            self.current = socket;
        } else {
            // Disconnected first: the kernel then chooses the source address anew.
            rustix::net::connect_unspec(&self.current)?;
            self.current.connect(directory)?;
        }
        self.directory = directory;
        Ok(())
    }

    /// Queries from another port from now on: something on the path may have forgotten the present one.
    pub fn change_port(&mut self, poller: &Poller) -> io::Result<()> {
        let fresh = open_socket(self.token, self.directory, poller)?;
        self.previous = Some(std::mem::replace(&mut self.current, fresh));
        Ok(())
    }

    /// Sends a datagram to the directory.
    pub fn send(&self, datagram: &[u8]) -> io::Result<usize> {
        self.current.send(datagram)
    }

    /// The length of the next datagram that has arrived on either socket, if there is one. Errors that the network
    /// reported for earlier datagrams are skipped.
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
