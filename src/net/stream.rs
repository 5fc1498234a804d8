//! A non-blocking TCP socket with its input and output buffers.

use super::output::{MessageBytes, OutputQueue};
use super::poller::poll_now;
use rustix::event::PollFlags;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

/// Bytes asked of the kernel in one read.
const READ_BYTES: usize = 16 << 10;

/// What a read has brought.
pub enum ReadStatus {
    /// Bytes, now in the input.
    Bytes,
    /// None are here yet.
    WouldBlock,
    /// The peer has ended its side.
    Ended,
}

/// How far a socket has come with connecting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectState {
    /// It is not decided yet; nothing is written.
    Connecting,
    /// It is connected.
    Connected,
    /// Nobody listens where it was to connect to.
    Refused,
    /// It was reset while it connected: the peer's machine had accepted it.
    Reset,
    /// It failed in another way.
    Failed,
}

/// A non-blocking TCP connection. Nothing that is queued goes out before [`flush`](Self::flush).
pub struct BufferedStream {
    /// The socket.
    pub stream: TcpStream,
    /// What has been read and not dealt with.
    pub input: Vec<u8>,
    output: OutputQueue,
    /// Whether it is connected, or how that failed.
    connect_state: ConnectState,
    /// Bytes that have been read since it was opened.
    pub received: u64,
}

impl BufferedStream {
    /// Around a socket that was accepted.
    ///
    /// # Errors
    /// Where the system refuses its options: it has ended already.
    pub fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream, ConnectState::Connected))
    }

    /// Begins to connect. The socket becomes writable once that is decided; then [`finish_connect`](Self::finish_connect)
    /// tells how.
    ///
    /// # Errors
    /// Where there is no descriptor, port or memory for it, or the system knows at once that it cannot connect.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        Ok(Self::new(stream, ConnectState::Connecting))
    }

    fn new(stream: TcpStream, connect_state: ConnectState) -> Self {
        Self { stream, input: Vec::new(), output: OutputQueue::default(), connect_state, received: 0 }
    }

    /// Whether it is connected, or how that failed.
    pub fn connect_state(&self) -> ConnectState {
        self.connect_state
    }

    /// Whether it is not connected, also where that failed: nothing is written.
    pub fn is_connecting(&self) -> bool {
        self.connect_state != ConnectState::Connected
    }

    /// Queues a message and returns the tag by which it can be withdrawn.
    pub fn push(&mut self, bytes: Vec<u8>) -> u64 {
        self.output.push(MessageBytes::Owned(bytes), false)
    }

    /// The same for a message that [`counted_sent`](Self::counted_sent) counts.
    pub fn push_counted(&mut self, bytes: Vec<u8>) -> u64 {
        self.output.push(MessageBytes::Owned(bytes), true)
    }

    /// The same for bytes that others keep as well.
    pub fn push_shared(&mut self, bytes: Arc<Vec<u8>>) -> u64 {
        self.output.push(MessageBytes::Shared(bytes), false)
    }

    /// Bytes that have not gone out.
    pub fn queued(&self) -> usize {
        self.output.queued()
    }

    /// Counted messages that have gone out complete.
    pub fn counted_sent(&self) -> u64 {
        self.output.counted_sent()
    }

    /// Removes a message from the output, if none of its bytes has gone out. Returns whether it was removed.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        self.output.withdraw(tag)
    }

    /// Writes what the socket takes.
    ///
    /// # Errors
    /// Where the socket takes no bytes any more.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.is_connecting() {
            return Ok(());
        }
        while let Some(bytes) = self.output.next_bytes() {
            match self.stream.write(bytes) {
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether something has come that was not read yet.
    pub fn has_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Whether the peer has ended its side or is gone, whatever bytes of it are still unread.
    pub fn has_ended(&self) -> bool {
        poll_now(&self.stream, PollFlags::RDHUP)
            .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// Reads once, and appends what has come to the input.
    ///
    /// # Errors
    /// Where the connection is broken.
    pub fn read_once(&mut self) -> io::Result<ReadStatus> {
        // Read elsewhere first: a connection holds no more memory than what has come.
        let mut buffer = [0; READ_BYTES];
        match self.stream.read(&mut buffer) {
            Ok(0) => Ok(ReadStatus::Ended),
            Ok(count) => {
                self.received += count as u64;
                self.input.extend_from_slice(&buffer[..count]);
                Ok(ReadStatus::Bytes)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(ReadStatus::WouldBlock)
            }
            Err(error) => Err(error),
        }
    }

    /// The socket became writable while it connected: it is connected, or it failed.
    ///
    /// # Errors
    /// How it failed.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        let error = rustix::net::sockopt::socket_error(&self.stream)?;
        self.connect_state = match error {
            Ok(()) => ConnectState::Connected,
            Err(Errno::CONNREFUSED) => ConnectState::Refused,
            Err(Errno::CONNRESET) => ConnectState::Reset,
            Err(_) => ConnectState::Failed,
        };
        Ok(error?)
    }

    /// Ends our side: nothing more will be written.
    pub fn shutdown_write(&self) {
        // The peer may have gone already; the descriptor is closed in any case.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
