//! epoll, by rustix.

use super::Time;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// Identifies a descriptor in epoll's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token {
    /// The event handler that owns the descriptor.
    pub owner: u8,
    /// The descriptor's slot at its owner.
    pub slot: u32,
    /// How often the slot was used before: an event for an earlier use is stale.
    pub generation: u32,
}

const GENERATION_BITS: u32 = 24;

impl Token {
    pub fn new(owner: u8, slot: u32, generation: u32) -> Self {
        Self { owner, slot, generation: generation & ((1 << GENERATION_BITS) - 1) }
    }

    fn pack(self) -> u64 {
        u64::from(self.owner) << 56 | u64::from(self.generation) << 32 | u64::from(self.slot)
    }

    fn unpack(data: u64) -> Self {
        Self {
            owner: (data >> 56) as u8,
            slot: data as u32,
            generation: (data >> 32) as u32 & ((1 << GENERATION_BITS) - 1),
        }
    }
}

/// What a descriptor is ready for. An error or a hang-up shows as both.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    pub token: Token,
    pub readable: bool,
    pub writable: bool,
    /// The peer has ended its side, or is gone; bytes of it may stand unread.
    pub ended: bool,
}

/// Level-triggered epoll.
pub struct Poller {
    epoll: OwnedFd,
}

/// The peer's end is asked for also where nothing is read.
fn flags(read: bool, write: bool) -> EventFlags {
    let mut flags = EventFlags::RDHUP;
    flags.set(EventFlags::IN, read);
    flags.set(EventFlags::OUT, write);
    flags
}

/// Which of these holds of a descriptor at this moment, besides errors and hang-ups. None, if the kernel does not tell.
pub fn polled(fd: &impl AsFd, of: PollFlags) -> PollFlags {
    let mut fds = [PollFd::new(fd, of)];
    match poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })) {
        Ok(_) => fds[0].revents(),
        Err(_) => PollFlags::empty(),
    }
}

impl Poller {
    pub fn new() -> io::Result<Self> {
        Ok(Self { epoll: epoll::create(CreateFlags::CLOEXEC)? })
    }

    pub fn add(&self, fd: impl AsFd, token: Token, write: bool) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, fd, EventData::new_u64(token.pack()), flags(true, write))?)
    }

    pub fn change(&self, fd: impl AsFd, token: Token, read: bool, write: bool) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, fd, EventData::new_u64(token.pack()), flags(read, write))?)
    }

    /// Waits until something is ready or `until` has come.
    pub fn wait(&self, now: Time, until: Time, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let mut events = Vec::with_capacity(256);
        let wait = (until - now).clamp(0.0, 3600.0);
        let wait = Timespec { tv_sec: wait as i64, tv_nsec: (wait.fract() * 1e9) as _ };
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&wait)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(events.iter().map(|event: &epoll::Event| {
            let (flags, data) = (event.flags, event.data);
            let broken = flags.intersects(EventFlags::ERR | EventFlags::HUP);
            let ended = broken || flags.contains(EventFlags::RDHUP);
            Ready {
                token: Token::unpack(data.u64()),
                readable: ended || flags.contains(EventFlags::IN),
                writable: broken || flags.contains(EventFlags::OUT),
                ended,
            }
        }));
        Ok(())
    }
}
