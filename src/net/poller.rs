//! Readiness of descriptors: epoll, by `rustix`.

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
    /// The descriptor's slot at its owner.
    pub slot: u32,
    /// How often the slot was used before: an event for an earlier use is stale.
    pub generation: u32,
}

/// In the kernel's 64 bits a token is its owner (8), its generation (24) and its slot (32).
const GENERATION_BITS: u32 = 24;
const GENERATION_MASK: u32 = (1 << GENERATION_BITS) - 1;
const GENERATION_SHIFT: u32 = u32::BITS;
const OWNER_SHIFT: u32 = GENERATION_SHIFT + GENERATION_BITS;

impl Token {
    /// The token of a descriptor. Generations wrap around.
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

/// What the poller is to report of a descriptor. The peer's end is reported in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// That there is something to read.
    pub readable: bool,
    /// That the descriptor takes bytes.
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

/// What a descriptor is ready for. An error or a hang-up shows as all three.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The descriptor.
    pub token: Token,
    /// A read brings bytes, the peer's end or an error.
    pub readable: bool,
    /// A write takes bytes or brings an error.
    pub writable: bool,
    /// The peer has ended its side, or is gone; bytes of it may be unread.
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

/// Which of these flags a descriptor has at this moment, besides errors and hang-ups. None, if the kernel does not tell.
pub fn poll_now(fd: &impl AsFd, flags: PollFlags) -> PollFlags {
    let mut fds = [PollFd::new(fd, flags)];
    match poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
        Ok(_) => fds[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}

/// Events that one wait may report; the others are reported by the next.
const MAX_EVENTS: usize = 256;
/// The longest that one wait takes (s).
const MAX_WAIT: f64 = 3600.0;
const NS_PER_S: f64 = 1e9;

/// Level-triggered epoll.
pub struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// A poller that watches nothing.
    ///
    /// # Errors
    /// Where the system refuses a descriptor.
    pub fn new() -> io::Result<Self> {
        Ok(Self { epoll: epoll::create(CreateFlags::CLOEXEC)? })
    }

    /// Watches a descriptor for reads, and for writes too if `writable`. It is watched until it is closed.
    ///
    /// # Errors
    /// Where the system refuses, or the descriptor is watched already.
    pub fn add(&self, fd: impl AsFd, token: Token, writable: bool) -> io::Result<()> {
        let interest = Interest { readable: true, writable };
        Ok(epoll::add(&self.epoll, fd, token.pack(), interest.flags())?)
    }

    /// Changes what is reported of a descriptor that is watched.
    ///
    /// # Errors
    /// Where the system refuses, or the descriptor is not watched.
    pub fn modify(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, token.pack(), interest.flags())?)
    }

    /// Waits until something is ready or `until` has come, and replaces the content of `ready`. A signal ends the wait too.
    ///
    /// # Errors
    /// Where the system refuses to wait.
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
