//! Forwards the bytes of one direction of a connection, subject to the faults of the link.

use super::{lock, Direction, DirectionState, LinkState, Pace, POLL_INTERVAL};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Queued bytes at which a direction stops reading, so that it applies backpressure as full kernel buffers
/// would.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Maximum number of bytes per read.
const BUFFER_BYTES: usize = 16 << 10;

/// How a pump ended.
enum PumpEnd {
    /// Only this direction ended: the sockets stay open for the other one.
    Direction,
    /// The connection is closed.
    Closed,
    /// The connection is reset.
    Reset,
}

/// Bytes received by one read.
struct Chunk {
    received: Instant,
    bytes: Vec<u8>,
}

/// Forwards bytes until its direction or the connection ends.
pub(super) struct Pump {
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
    /// A second connection that receives the same bytes.
    second: Option<TcpStream>,
    incarnation: u64,
    state: Arc<Mutex<LinkState>>,
    /// Bytes received but not yet forwarded, in order.
    queue: VecDeque<Chunk>,
    /// Number of bytes in `queue`.
    queued_bytes: usize,
    /// Whether `from` has shut down its sending side.
    from_ended: bool,
    buffer: Vec<u8>,
}

impl Pump {
    pub(super) fn new(
        direction: Direction,
        from: TcpStream,
        to: TcpStream,
        incarnation: u64,
        state: Arc<Mutex<LinkState>>,
    ) -> Self {
        Self {
            direction,
            from,
            to,
            second: None,
            incarnation,
            state,
            queue: VecDeque::new(),
            queued_bytes: 0,
            from_ended: false,
            buffer: vec![0; BUFFER_BYTES],
        }
    }

    /// Also forwards everything to a second connection, if there is one.
    pub(super) fn duplicated_to(self, second: Option<TcpStream>) -> Self {
        Self { second, ..self }
    }

    /// Forwards bytes until the direction or the connection ends.
    pub(super) fn run(mut self) {
        let end = loop {
            if let Some(end) = self.step() {
                break end;
            }
        };
        let reset = match end {
            PumpEnd::Direction => return,
            PumpEnd::Closed => false,
            PumpEnd::Reset => true,
        };
        for socket in [Some(&self.from), Some(&self.to), self.second.as_ref()].into_iter().flatten() {
            end_connection(socket, reset);
        }
    }

    fn step(&mut self) -> Option<PumpEnd> {
        let Some(faults) = self.current_faults() else { return Some(PumpEnd::Closed) };
        if faults.half_close {
            let _ = self.to.shutdown(Shutdown::Write); // the peer may have closed it
            lock(&self.state).direction(self.direction).half_close = false;
            return Some(PumpEnd::Direction);
        }
        if self.receive().is_err() {
            return Some(PumpEnd::Reset);
        }
        if let Some(end) = self.forward(faults.pace) {
            return Some(end);
        }
        if self.from_ended && self.queue.is_empty() {
            let _ = self.to.shutdown(Shutdown::Write); // the peer may have closed it
            return Some(PumpEnd::Direction);
        }
        None
    }

    /// The current faults of the direction; `None` if the link was cut after the connection was accepted.
    fn current_faults(&self) -> Option<DirectionState> {
        let mut state = lock(&self.state);
        (state.incarnation == self.incarnation).then(|| *state.direction(self.direction))
    }

    /// Reads available bytes, waiting at most the read timeout of the socket. An error means that the
    /// connection failed.
    fn receive(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if self.from_ended || self.queued_bytes >= MAX_QUEUED_BYTES {
            std::thread::sleep(POLL_INTERVAL);
            return Ok(());
        }
        match self.from.read(&mut self.buffer) {
            Ok(0) => self.from_ended = true,
            Ok(count) => {
                self.queue.push_back(Chunk { received: now, bytes: self.buffer[..count].to_vec() });
                self.queued_bytes += count;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Forwards the bytes that are due at this pace.
    fn forward(&mut self, pace: Pace) -> Option<PumpEnd> {
        let mut allowance = bytes_per_step(pace);
        let delay = if let Pace::Delay(ms) = pace { Duration::from_millis(ms) } else { Duration::ZERO };
        while let Some(available) = self.due_bytes(delay).filter(|_| allowance > 0) {
            let Some(faults) = self.begin_write() else { break };
            let until_reset = faults.reset_after.map_or(usize::MAX, |bytes| bytes as usize);
            let piece = self.dequeue(available.min(allowance).min(until_reset));
            allowance -= piece.len();
            let written = self.to.write_all(&piece);
            let reset = self.end_write(written.is_ok(), piece.len(), faults.reset_after.is_some());
            if written.is_err() {
                end_connection(&self.from, true);
                return Some(PumpEnd::Direction);
            }
            self.write_second(&piece);
            if reset {
                return Some(PumpEnd::Reset);
            }
        }
        None
    }

    /// Length of the first chunk, if it was received at least `delay` ago.
    fn due_bytes(&self, delay: Duration) -> Option<usize> {
        let first = self.queue.front()?;
        (first.received.elapsed() >= delay).then_some(first.bytes.len())
    }

    fn dequeue(&mut self, count: usize) -> Vec<u8> {
        let Some(first) = self.queue.front_mut() else { return Vec::new() };
        let piece: Vec<u8> = first.bytes.drain(..count).collect();
        if first.bytes.is_empty() {
            self.queue.pop_front();
        }
        self.queued_bytes -= piece.len();
        piece
    }

    /// Registers the start of a write and returns the current faults, or `None` if they no longer allow a
    /// write. Checked again here, since the faults may have changed since the start of the step.
    fn begin_write(&self) -> Option<DirectionState> {
        let mut state = lock(&self.state);
        let is_current = state.incarnation == self.incarnation;
        let direction = state.direction(self.direction);
        if !is_current || direction.half_close || direction.pace == Pace::Hold {
            return None;
        }
        direction.forwarding += 1;
        Some(*direction)
    }

    /// Records the end of a write; returns whether the connection must be reset now. Only a reset that was
    /// set before the write started is considered.
    fn end_write(&self, succeeded: bool, count: usize, has_reset: bool) -> bool {
        let mut state = lock(&self.state);
        let direction = state.direction(self.direction);
        direction.forwarding -= 1;
        if !succeeded {
            return false;
        }
        direction.forwarded += count as u64;
        if !has_reset {
            return false;
        }
        direction.reset_after = direction.reset_after.map(|bytes| bytes.saturating_sub(count as u64));
        direction.reset_after.take_if(|bytes| *bytes == 0).is_some()
    }

    fn write_second(&mut self, piece: &[u8]) {
        if self.second.as_mut().is_some_and(|second| second.write_all(piece).is_err()) {
            self.second = None;
        }
    }
}

/// Number of bytes that may be forwarded in one step at this pace.
fn bytes_per_step(pace: Pace) -> usize {
    match pace {
        Pace::Free | Pace::Delay(_) => usize::MAX,
        Pace::Hold => 0,
        Pace::Trickle(bytes) => bytes * POLL_INTERVAL.as_millis() as usize,
    }
}

fn end_connection(socket: &TcpStream, reset: bool) {
    // Connecting to AF_UNSPEC aborts the connection even if the socket has other descriptors; closing this
    // one would not. It fails if the connection is closed already.
    if !reset || rustix::net::connect_unspec(socket).is_err() {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
