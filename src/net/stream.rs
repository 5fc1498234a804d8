//! A non-blocking TCP socket with its input and output buffers.

use super::output::{MessageBytes, OutputQueue};
use super::poller::poll_now;
use rustix::event::PollFlags;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

/// Buffer size of one read (bytes).
const READ_BYTES: usize = 16 << 10;
/// The input buffer grows in steps of this size (bytes).
const INPUT_STEP_BYTES: usize = 1 << 10;

/// The result of a read.
pub enum ReadStatus {
    /// Bytes were read and appended to the input.
    Bytes,
    /// No bytes are available yet.
    WouldBlock,
    /// The peer has closed its side.
    Ended,
}

/// The progress of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectState {
    /// The connect is in progress; nothing is written.
    Connecting,
    /// The socket is connected.
    Connected,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The connection was reset during the connect: the peer's host had already accepted it.
    Reset,
    /// The connect failed in another way.
    Failed,
}

/// A non-blocking TCP connection. Queued output is only written by [`flush`](Self::flush).
pub struct BufferedStream {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that have been read but not yet processed.
    pub input: Vec<u8>,
    output: OutputQueue,
    /// Whether the socket is connected, or how the connect failed.
    connect_state: ConnectState,
    /// Total bytes read since the connection was opened.
    pub received: u64,
}

impl BufferedStream {
    /// Wraps an accepted socket.
    ///
    /// # Errors
    /// If the system refuses the socket options because the connection has already ended.
    pub fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream, ConnectState::Connected))
    }

    /// Starts connecting. The socket becomes writable when the connect has succeeded or failed;
    /// [`finish_connect`](Self::finish_connect) then returns the result.
    ///
    /// # Errors
    /// If there is no descriptor, port or memory for the socket, or the connect fails immediately.
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

    /// Whether the socket is connected, or how the connect failed.
    pub fn connect_state(&self) -> ConnectState {
        self.connect_state
    }

    /// Whether the socket is not connected, which includes a failed connect: nothing is written.
    pub fn is_connecting(&self) -> bool {
        self.connect_state != ConnectState::Connected
    }

    /// Queues a message and returns the tag by which it can be withdrawn.
    pub fn push(&mut self, bytes: Vec<u8>) -> u64 {
        self.output.push(MessageBytes::Owned(bytes), false)
    }

    /// Like [`push`](Self::push), for a message that [`counted_sent`](Self::counted_sent) counts.
    pub fn push_counted(&mut self, bytes: Vec<u8>) -> u64 {
        self.output.push(MessageBytes::Owned(bytes), true)
    }

    /// Like [`push`](Self::push), for bytes that have other owners too.
    pub fn push_shared(&mut self, bytes: Arc<Vec<u8>>) -> u64 {
        self.output.push(MessageBytes::Shared(bytes), false)
    }

    /// Memory that the buffers of input and output occupy (bytes).
    pub fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.output.stored()
    }

    /// Frees memory of the input buffer that its content does not need.
    pub fn release_input_memory(&mut self) {
        if self.input.is_empty() || self.input.capacity() > 2 * self.input.len() + INPUT_STEP_BYTES {
            self.input.shrink_to_fit();
        }
    }

    /// Queued bytes that have not been written.
    pub fn queued(&self) -> usize {
        self.output.queued()
    }

    /// Counted messages that have been written completely.
    pub fn counted_sent(&self) -> u64 {
        self.output.counted_sent()
    }

    /// Removes a message from the output if none of its bytes has been written. Returns whether it was
    /// removed.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        self.output.withdraw(tag)
    }

    /// Writes queued output until the socket would block.
    ///
    /// # Errors
    /// If the connection is broken.
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

    /// Whether the socket has bytes that have not been read.
    pub fn has_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Whether the peer has closed its side or the connection is broken, regardless of bytes that are still
    /// unread.
    pub fn has_ended(&self) -> bool {
        poll_now(&self.stream, PollFlags::RDHUP)
            .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// Reads once and appends the bytes to the input.
    ///
    /// # Errors
    /// If the connection is broken.
    pub fn read_once(&mut self) -> io::Result<ReadStatus> {
        // Read into a stack buffer first, so that a connection's input only allocates memory for bytes that
        // have arrived.
        let mut buffer = [0; READ_BYTES];
        match self.stream.read(&mut buffer) {
            Ok(0) => Ok(ReadStatus::Ended),
            Ok(count) => {
                self.received += count as u64;
                let needed = (self.input.len() + count).next_multiple_of(INPUT_STEP_BYTES);
                self.input.reserve_exact(needed - self.input.len());
                self.input.extend_from_slice(&buffer[..count]);
                Ok(ReadStatus::Bytes)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(ReadStatus::WouldBlock)
            }
            Err(error) => Err(error),
        }
    }

    /// The socket became writable during the connect, which has now succeeded or failed.
    ///
    /// # Errors
    /// If the connect failed.
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

    /// Shuts down the write side: nothing more will be written.
    pub fn shutdown_write(&self) {
        // The peer may already have closed the connection; the descriptor is closed in any case.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
