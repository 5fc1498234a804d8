//! Links between processes. A [`Relay`] is a TCP proxy between a process that connects and one that listens;
//! a [`DatagramRelay`] is the same for UDP. Faults are set per direction.

mod datagrams;
mod pump;

pub use datagrams::{DatagramFaults, DatagramRelay};

use pump::Pump;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often a thread checks whether the faults have changed.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long a change of faults waits for writes in progress.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(200);

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the process that connects to the one that listens.
    Out,
    /// From the process that listens to the one that connects.
    Back,
}

/// How a direction forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Bytes are forwarded immediately.
    Free,
    /// Bytes are received but not forwarded until the pace changes: a stalled link, or loss in one direction.
    Hold,
    /// Each byte is delayed by this time (ms).
    Delay(u64),
    /// At most this many bytes per millisecond are forwarded.
    Trickle(usize),
}

/// Faults and counters of one direction.
#[derive(Clone, Copy)]
struct DirectionState {
    pace: Pace,
    /// Resets the connection after this many more bytes.
    reset_after: Option<u64>,
    /// Shuts down this direction of the open connections.
    half_close: bool,
    /// Bytes forwarded so far.
    forwarded: u64,
    /// Number of connections with a write in progress.
    forwarding: usize,
}

struct LinkState {
    target: Option<SocketAddr>,
    cut: bool,
    duplicate: bool,
    /// Incremented by each cut; connections of an earlier incarnation are closed.
    incarnation: u64,
    directions: [DirectionState; 2],
}

impl LinkState {
    fn direction(&mut self, direction: Direction) -> &mut DirectionState {
        &mut self.directions[direction as usize]
    }
}

/// A TCP link. Connections to [`Relay::address`] are forwarded to the target set at the time they are
/// accepted.
pub struct Relay {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

/// Locks a mutex and ignores poisoning: each update leaves the state valid, even if a thread panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts a link without a target.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let direction = DirectionState {
            pace: Pace::Free,
            reset_after: None,
            half_close: false,
            forwarded: 0,
            forwarding: 0,
        };
        let state = LinkState {
            target: None,
            cut: false,
            duplicate: false,
            incarnation: 0,
            directions: [direction; 2],
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        std::thread::spawn(move || accept(&listener, &shared));
        Ok(Self { address, state })
    }

    /// Sets the target of connections accepted from now on.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Sets the pace of a direction. It also applies to bytes already received but not yet forwarded.
    pub fn set_pace(&self, direction: Direction, pace: Pace) {
        lock(&self.state).direction(direction).pace = pace;
        self.settle();
    }

    /// Waits until no write started under the previous faults is in progress. Gives up after
    /// [`SETTLE_TIMEOUT`]: a blocked write forwards nothing.
    fn settle(&self) {
        let began = Instant::now();
        let is_forwarding = || lock(&self.state).directions.iter().any(|direction| direction.forwarding > 0);
        while is_forwarding() && began.elapsed() < SETTLE_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL / 4);
        }
    }

    /// Closes all connections, and each new one at once until the link is healed.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        state.incarnation += 1;
        drop(state);
        self.settle();
    }

    /// Resets a connection after this many more bytes in a direction, possibly in the middle of a message.
    pub fn reset_after(&self, direction: Direction, bytes: u64) {
        lock(&self.state).direction(direction).reset_after = Some(bytes);
    }

    /// Shuts down a direction of the open connections; the other direction stays open.
    pub fn half_close(&self, direction: Direction) {
        lock(&self.state).direction(direction).half_close = true;
    }

    /// Sets whether connections accepted from now on are duplicated: the target receives all their bytes
    /// twice.
    pub fn set_duplicate(&self, duplicate: bool) {
        lock(&self.state).duplicate = duplicate;
    }

    /// Removes all faults. Stalled bytes are forwarded.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        (state.cut, state.duplicate) = (false, false);
        for direction in &mut state.directions {
            (direction.pace, direction.reset_after, direction.half_close) = (Pace::Free, None, false);
        }
    }

    /// Bytes forwarded in a direction so far.
    #[must_use]
    pub fn forwarded(&self, direction: Direction) -> u64 {
        lock(&self.state).direction(direction).forwarded
    }
}

/// Connects clients to the target. Without a target, or while the link is cut, a connection is closed
/// immediately: the closest to a refused connection that is possible while the port stays open.
fn accept(listener: &TcpListener, state: &Arc<Mutex<LinkState>>) {
    for client in listener.incoming().map_while(Result::ok) {
        let (target, duplicate, incarnation) = {
            let state = lock(state);
            (state.target.filter(|_| !state.cut), state.duplicate, state.incarnation)
        };
        let Some(target) = target else { continue };
        let Ok(server) = TcpStream::connect(target) else { continue };
        let second = if duplicate { TcpStream::connect(target).ok() } else { None };
        let connection = Connection { client, server, second, incarnation };
        let _ = connection.start(state); // on an error, dropping the sockets closes the connection
    }
}

/// A connection through a link.
struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// A second connection to the target that receives the same bytes.
    second: Option<TcpStream>,
    /// The incarnation of the link when it was accepted.
    incarnation: u64,
}

impl Connection {
    /// Starts a forwarding thread for each direction.
    fn start(self, state: &Arc<Mutex<LinkState>>) -> io::Result<()> {
        let Self { client, server, second, incarnation } = self;
        for socket in [&client, &server] {
            socket.set_nodelay(true)?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
        }
        if let Some(second) = &second {
            let mut ignored = second.try_clone()?;
            std::thread::spawn(move || io::copy(&mut ignored, &mut io::sink()));
        }
        let (from, to) = (client.try_clone()?, server.try_clone()?);
        let out = Pump::new(Direction::Out, from, to, incarnation, state.clone()).duplicated_to(second);
        std::thread::spawn(move || out.run());
        let back = Pump::new(Direction::Back, server, client, incarnation, state.clone());
        std::thread::spawn(move || back.run());
        Ok(())
    }
}
