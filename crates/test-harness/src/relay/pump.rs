//! Forwards the bytes of one direction of one connection, under the faults of the link.

use super::{lock, Direction, DirectionState, LinkState, Pace, POLL_INTERVAL};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes that a direction holds before it receives no more: as a kernel's buffers would.
const MAX_HELD_BYTES: usize = 4 << 20;
/// Bytes received at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// How a pump ended.
enum PumpEnd {
    /// The sockets are left as they are: the other direction may go on.
    Direction,
    /// The connection ends.
    Closed,
    /// The connection is reset.
    Reset,
}

/// Bytes that were received together.
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
    /// Bytes that were received and not forwarded, in order.
    waiting: VecDeque<Chunk>,
    /// How many they are.
    held: usize,
    /// Whether `from` has said its last.
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
            waiting: VecDeque::new(),
            held: 0,
            from_ended: false,
            buffer: vec![0; BUFFER_BYTES],
        }
    }

    /// Forwards everything to another connection as well, if there is one.
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
        let Some(faults) = self.present_faults() else { return Some(PumpEnd::Closed) };
        if faults.half_close {
            let _ = self.to.shutdown(Shutdown::Write); // it may have gone
            lock(&self.state).direction(self.direction).half_close = false;
            return Some(PumpEnd::Direction);
        }
        if self.receive().is_err() {
            return Some(PumpEnd::Reset);
        }
        if let Some(end) = self.forward(faults.pace) {
            return Some(end);
        }
        if self.from_ended && self.waiting.is_empty() {
            let _ = self.to.shutdown(Shutdown::Write); // it may have gone
            return Some(PumpEnd::Direction);
        }
        None
    }

    /// The faults of the direction; `None` where the link was cut.
    fn present_faults(&self) -> Option<DirectionState> {
        let mut state = lock(&self.state);
        (state.incarnation == self.incarnation).then(|| *state.direction(self.direction))
    }

    /// Waits for bytes for a moment. An error is one of the connection.
    fn receive(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if self.from_ended || self.held >= MAX_HELD_BYTES {
            std::thread::sleep(POLL_INTERVAL);
            return Ok(());
        }
        match self.from.read(&mut self.buffer) {
            Ok(0) => self.from_ended = true,
            Ok(count) => {
                self.waiting.push_back(Chunk { received: now, bytes: self.buffer[..count].to_vec() });
                self.held += count;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Forwards what is due at that pace.
    fn forward(&mut self, pace: Pace) -> Option<PumpEnd> {
        let mut allowance = bytes_per_step(pace);
        let delay = if let Pace::Delay(ms) = pace { Duration::from_millis(ms) } else { Duration::ZERO };
        while let Some(available) = self.due_bytes(delay).filter(|_| allowance > 0) {
            let Some(faults) = self.begin_write() else { break };
            let until_reset = faults.reset_after.map_or(usize::MAX, |bytes| bytes as usize);
            let piece = self.take_piece(available.min(allowance).min(until_reset));
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

    /// Bytes of the first chunk, if it has waited for the delay.
    fn due_bytes(&self, delay: Duration) -> Option<usize> {
        let first = self.waiting.front()?;
        (first.received.elapsed() >= delay).then_some(first.bytes.len())
    }

    fn take_piece(&mut self, count: usize) -> Vec<u8> {
        let Some(first) = self.waiting.front_mut() else { return Vec::new() };
        let piece: Vec<u8> = first.bytes.drain(..count).collect();
        if first.bytes.is_empty() {
            self.waiting.pop_front();
        }
        self.held -= piece.len();
        piece
    }

    /// Announces a write. `None` where it must not begin: the faults may have changed since the step began.
    fn begin_write(&self) -> Option<DirectionState> {
        let mut state = lock(&self.state);
        let is_present = state.incarnation == self.incarnation;
        let direction = state.direction(self.direction);
        if !is_present || direction.half_close || direction.pace == Pace::Hold {
            return None;
        }
        direction.forwarding += 1;
        Some(*direction)
    }

    /// Counts a write. Whether the connection is to be reset now; only a reset that was set before the write counts.
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

/// Bytes that a pace lets through in one step.
fn bytes_per_step(pace: Pace) -> usize {
    match pace {
        Pace::Free | Pace::Delay(_) => usize::MAX,
        Pace::Hold => 0,
        Pace::Trickle(bytes) => bytes * POLL_INTERVAL.as_millis() as usize,
    }
}

fn end_connection(socket: &TcpStream, reset: bool) {
    // To connect a socket to nowhere aborts its connection, whoever else holds the socket. It may have gone.
    if !reset || rustix::net::connect_unspec(socket).is_err() {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
