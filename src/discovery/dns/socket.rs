//! The sockets on which the directory is asked. A connected socket hears one address alone.

use crate::net::{Poller, Token};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// The socket in use, and the one before it: an answer that is late comes there.
pub struct Sockets {
    token: Token,
    directory: SocketAddr,
    current: UdpSocket,
    former: Option<UdpSocket>,
}

fn open(token: Token, directory: SocketAddr, poller: &Poller) -> io::Result<UdpSocket> {
    let any: SocketAddr = (Ipv4Addr::UNSPECIFIED, 0).into();
    let socket = UdpSocket::bind(any)?;
    socket.connect(directory)?;
    socket.set_nonblocking(true)?;
    poller.add(&socket, token, false)?;
    Ok(socket)
}

impl Sockets {
    /// Opens one to the directory.
    pub fn open(token: Token, directory: SocketAddr, poller: &Poller) -> io::Result<Self> {
        let current = open(token, directory, poller)?;
        Ok(Self { token, directory, current, former: None })
    }

    /// From which address.
    pub fn local(&self) -> io::Result<SocketAddr> {
        self.current.local_addr()
    }

    /// Asks another directory from here on; the one before is not heard any more. Without a descriptor for a further
    /// socket the one that is open is turned to it.
    pub fn turn_to(&mut self, directory: SocketAddr, poller: &Poller) -> io::Result<()> {
        self.former = None;
        if let Ok(socket) = open(self.token, directory, poller) {
            self.current = socket;
        } else {
            // Unconnected first: the source address is chosen anew.
            rustix::net::connect_unspec(&self.current)?;
            self.current.connect(directory)?;
        }
        self.directory = directory;
        Ok(())
    }

    /// Asks from another port from here on: something between here and the directory may have forgotten the one so far.
    pub fn renew(&mut self, poller: &Poller) -> io::Result<()> {
        let fresh = open(self.token, self.directory, poller)?;
        self.former = Some(std::mem::replace(&mut self.current, fresh));
        Ok(())
    }

    pub fn send(&self, bytes: &[u8]) -> io::Result<usize> {
        self.current.send(bytes)
    }

    /// The next datagram that has come, if any. An error that the network reported earlier is passed over.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        std::iter::once(&self.current).chain(&self.former).find_map(|socket| receive_on(socket, buffer))
    }
}

/// Errors that a socket may hold before a datagram: each is told once.
const ERRORS: usize = 4;

fn receive_on(socket: &UdpSocket, buffer: &mut [u8]) -> Option<usize> {
    for _ in 0..ERRORS {
        match socket.recv(buffer) {
            Ok(length) => return Some(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
    None
}
