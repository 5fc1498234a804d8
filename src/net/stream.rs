//! A socket with its two buffers. Output is kept in whole messages, so that one of which no byte has gone
//! out can still be taken back.

use super::poller::polled;
use rustix::event::PollFlags;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Deref;
use std::sync::Arc;

/// Bytes asked of the kernel in one read.
const READ: usize = 16 << 10;

/// What a read brought.
pub enum Fill {
    Bytes,
    Nothing,
    End,
}

struct Message {
    tag: u64,
    counts: bool,
    bytes: Bytes,
}

/// Bytes that are sent.
enum Bytes {
    Own(Vec<u8>),
    /// Kept by others as well: not copied.
    Shared(Arc<Vec<u8>>),
}

impl Deref for Bytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            Bytes::Own(bytes) => bytes,
            Bytes::Shared(bytes) => bytes,
        }
    }
}

/// A non-blocking TCP connection.
pub struct BufferedStream {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    output: VecDeque<Message>,
    written: usize,
    queued: usize,
    next_tag: u64,
    pub connecting: bool,
    /// Bytes that have come.
    pub received: u64,
    /// Messages that count, of those that have gone out whole.
    pub whole: u64,
    /// It was reset before it came up here: its peer had taken it.
    pub reset: bool,
    /// Nobody listens where it was to connect to.
    pub refused: bool,
}

impl BufferedStream {
    /// Around a socket that was accepted.
    pub fn accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self::around(stream, false))
    }

    /// Begins to connect.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        match rustix::net::connect(&socket, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        Ok(Self::around(stream, true))
    }

    fn around(stream: TcpStream, connecting: bool) -> Self {
        Self {
            stream,
            input: Vec::new(),
            output: VecDeque::new(),
            written: 0,
            queued: 0,
            next_tag: 0,
            connecting,
            received: 0,
            whole: 0,
            reset: false,
            refused: false,
        }
    }

    /// Queues a message and returns the tag by which it can be taken back.
    pub fn push(&mut self, bytes: Vec<u8>) -> u64 {
        self.queue(Bytes::Own(bytes), false)
    }

    /// The same for one that counts.
    pub fn push_counted(&mut self, bytes: Vec<u8>) -> u64 {
        self.queue(Bytes::Own(bytes), true)
    }

    /// The same for bytes that others keep as well.
    pub fn push_shared(&mut self, bytes: Arc<Vec<u8>>) -> u64 {
        self.queue(Bytes::Shared(bytes), false)
    }

    fn queue(&mut self, bytes: Bytes, counts: bool) -> u64 {
        self.next_tag += 1;
        self.queued += bytes.len();
        self.output.push_back(Message { tag: self.next_tag, counts, bytes });
        self.next_tag
    }

    /// Bytes that have not gone out.
    pub fn queued(&self) -> usize {
        self.queued - self.written
    }

    /// Takes a message back, if none of its bytes has gone out.
    pub fn take_back(&mut self, tag: u64) -> bool {
        let Ok(at) = self.output.binary_search_by_key(&tag, |m| m.tag) else { return false };
        if at == 0 && self.written > 0 {
            return false;
        }
        self.output.remove(at).map(|m| self.queued -= m.bytes.len()).is_some()
    }

    /// Writes what the socket takes.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.connecting {
            return Ok(());
        }
        while let Some(front) = self.output.front() {
            match self.stream.write(&front.bytes[self.written..]) {
                Ok(count) => {
                    self.written += count;
                    if self.written == front.bytes.len() {
                        self.whole += u64::from(front.counts);
                        self.queued -= self.written;
                        self.written = 0;
                        self.output.pop_front();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
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
        polled(&self.stream, PollFlags::RDHUP).intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// Reads once.
    pub fn fill(&mut self) -> io::Result<Fill> {
        // Read elsewhere first: a connection holds no more memory than what has come.
        let mut buffer = [0; READ];
        match self.stream.read(&mut buffer) {
            Ok(0) => Ok(Fill::End),
            Ok(count) => {
                self.received += count as u64;
                self.input.extend_from_slice(&buffer[..count]);
                Ok(Fill::Bytes)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(Fill::Nothing)
            }
            Err(e) => Err(e),
        }
    }

    /// The socket became writable while it connected: it is up, or it failed.
    pub fn connected(&mut self) -> io::Result<()> {
        let error = rustix::net::sockopt::socket_error(&self.stream)?;
        self.reset = error == Err(rustix::io::Errno::CONNRESET);
        self.refused = error == Err(rustix::io::Errno::CONNREFUSED);
        self.connecting = error.is_err();
        Ok(error?)
    }

    /// Nothing more will be written.
    pub fn finish_writing(&self) {
        // The peer may have gone already; the descriptor is closed in any case.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}
