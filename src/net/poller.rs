//! Readiness of descriptors, by epoll through `rustix`.

use super::Time;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// Identifies a descriptor in the poller's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token {
    /// The event handler that owns the descriptor.
    pub owner: u8,
    /// The descriptor's slot within its owner.
    pub slot: u32,
    /// How often the slot has been reused: an event of an earlier generation is stale.
    pub generation: u32,
}

/// Layout of a token in epoll's 64 bits of user data: owner (8), generation (24), slot (32).
const GENERATION_BITS: u32 = 24;
const GENERATION_MASK: u32 = (1 << GENERATION_BITS) - 1;
const GENERATION_SHIFT: u32 = u32::BITS;
const OWNER_SHIFT: u32 = GENERATION_SHIFT + GENERATION_BITS;

impl Token {
    /// Builds the token of a descriptor. Generations wrap around.
    pub fn new(owner: u8, slot: u32, generation: u32) -> Self {
        Self { owner, slot, generation: generation & GENERATION_MASK }
    }

    fn pack(self) -> EventData {
        let owner = u64::from(self.owner) << OWNER_SHIFT;
        let generation = u64::from(self.generation) << GENERATION_SHIFT;
        EventData::new_u64(owner | generation | u64::from(self.slot))
    }

    fn unpack(data: EventData) -> Self {
        let bits = data.u64();
        Self::new((bits >> OWNER_SHIFT) as u8, bits as u32, (bits >> GENERATION_SHIFT) as u32)
    }
}

/// The events that the poller reports for a descriptor. A close by the peer is always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// There is something to read.
    pub readable: bool,
    /// The descriptor accepts bytes.
    pub writable: bool,
}

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, self.readable);
        flags.set(EventFlags::OUT, self.writable);
        flags
    }
}

/// What a descriptor is ready for. An error or a hang-up sets all three flags.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The descriptor.
    pub token: Token,
    /// A read returns bytes, end of stream or an error.
    pub readable: bool,
    /// A write accepts bytes or returns an error.
    pub writable: bool,
    /// The peer has closed its side or the connection is broken; some of the peer's bytes may still be
    /// unread.
    pub ended: bool,
}

impl Ready {
    fn new(event: &epoll::Event) -> Self {
        let (flags, data) = (event.flags, event.data);
        let is_broken = flags.intersects(EventFlags::ERR | EventFlags::HUP);
        let ended = is_broken || flags.contains(EventFlags::RDHUP);
        Self {
            token: Token::unpack(data),
            readable: ended || flags.contains(EventFlags::IN),
            writable: is_broken || flags.contains(EventFlags::OUT),
            ended,
        }
    }
}

/// The subset of `flags` that is set for a descriptor right now, along with errors and hang-ups. Empty if the
/// kernel cannot report them.
pub fn poll_now(fd: &impl AsFd, flags: PollFlags) -> PollFlags {
    let mut fds = [PollFd::new(fd, flags)];
    match poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
        Ok(_) => fds[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}

/// Maximum number of events that one wait reports; the next wait reports the others.
const MAX_EVENTS: usize = 256;
/// Maximum duration of one wait (s).
const MAX_WAIT: f64 = 3600.0;
const NS_PER_S: f64 = 1e9;

/// Level-triggered epoll.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates a poller that watches no descriptor.
    ///
    /// # Errors
    /// If the system refuses a descriptor.
    pub fn new() -> io::Result<Self> {
        Ok(Self { epoll: epoll::create(CreateFlags::CLOEXEC)? })
    }

    /// Watches a descriptor for reads, and also for writes if `writable`, until it is closed.
    ///
    /// # Errors
    /// If the system refuses or the descriptor is already watched.
    pub fn add(&self, fd: impl AsFd, token: Token, writable: bool) -> io::Result<()> {
        let interest = Interest { readable: true, writable };
        Ok(epoll::add(&self.epoll, fd, token.pack(), interest.flags())?)
    }

    /// Changes the events that are reported for a watched descriptor.
    ///
    /// # Errors
    /// If the system refuses or the descriptor is not watched.
    pub fn modify(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, token.pack(), interest.flags())?)
    }

    /// Waits until a descriptor is ready or the time is `until`, and replaces the contents of `ready`. A
    /// signal ends the wait too.
    ///
    /// # Errors
    /// If the system refuses to wait.
    pub fn wait(&self, now: Time, until: Time, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let mut events = Vec::with_capacity(MAX_EVENTS);
        let seconds = (until - now).clamp(0.0, MAX_WAIT);
        let timeout = Timespec { tv_sec: seconds as i64, tv_nsec: (seconds.fract() * NS_PER_S) as _ };
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(events.iter().map(Ready::new));
        Ok(())
    }
}
