//! POSIX signals as event-loop events: each signal handler writes one byte into a socket pair watched by the
//! poller.

use super::handlers::Owner;
use crate::net::{EventHandler, Poller, Ready, Time, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// Maximum bytes read from a socket pair at once. They only wake the loop; their number does not matter.
const WAKE_BYTES: usize = 64;

/// A signal that the daemon handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: shut down gracefully, as for SIGTERM.
    Interrupt,
    /// SIGUSR1: write the counters to the log.
    ReportCounters,
    /// SIGHUP: read the configuration again.
    ReloadConfiguration,
}

impl Signal {
    const ALL: [Signal; 4] =
        [Signal::Terminate, Signal::Interrupt, Signal::ReportCounters, Signal::ReloadConfiguration];

    /// The signal number.
    fn number(self) -> i32 {
        match self {
            Signal::Terminate => SIGTERM,
            Signal::Interrupt => SIGINT,
            Signal::ReportCounters => SIGUSR1,
            Signal::ReloadConfiguration => SIGHUP,
        }
    }
}

/// The reading end of one signal's socket pair.
struct SignalPipe {
    reader: UnixStream,
    signal: Signal,
}

/// The event handler for signals.
pub struct Signals {
    /// Indexed by the slot in the token.
    pipes: Vec<SignalPipe>,
    received: VecDeque<Signal>,
}

impl Signals {
    /// Installs a handler for every [`Signal`].
    ///
    /// # Errors
    /// If a socket pair cannot be created or a handler cannot be installed.
    pub fn open(poller: &Poller) -> io::Result<Self> {
        let mut pipes = Vec::new();
        for (slot, signal) in Signal::ALL.into_iter().enumerate() {
            let (reader, writer) = UnixStream::pair()?;
            reader.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(signal.number(), writer)?;
            poller.add(&reader, Token::new(Owner::Signals.number(), slot as u32, 0), false)?;
            pipes.push(SignalPipe { reader, signal });
        }
        Ok(Self { pipes, received: VecDeque::new() })
    }

    /// The next signal that was received, in order of arrival.
    pub fn next_signal(&mut self) -> Option<Signal> {
        self.received.pop_front()
    }
}

impl EventHandler for Signals {
    fn next_deadline(&mut self) -> Option<Time> {
        None
    }

    fn on_timer(&mut self, _: Time) {}

    fn on_ready(&mut self, _: Time, ready: Ready) {
        let Some(pipe) = self.pipes.get_mut(ready.token.slot as usize) else { return };
        let _ = pipe.reader.read(&mut [0; WAKE_BYTES]);
        self.received.push_back(pipe.signal);
    }
}
