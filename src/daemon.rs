//! The loop: waits for what is ready or due, lets each part of the daemon work, and carries news between
//! them and the core.

use crate::config::Config;
use crate::core::{Core, Door};
use crate::front::platform::Platform;
use crate::limits::Limits;
use crate::link::resp::Resp;
use crate::membership::dns::Directory;
use crate::membership::Member;
use crate::net::{Clock, Poller, Ready, Time, Token};
use dahliaspoke::interface::{Lifecycle, Scope};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::sync::Arc;

const SIGNALS: u8 = 0;
const DIRECTORY: u8 = 1;
const PLATFORM: u8 = 2;
const RESP: u8 = 3;

/// One byte comes down a pipe for every signal.
struct Signal {
    pipe: UnixStream,
    number: i32,
}

pub struct Daemon {
    clock: Clock,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    signals: Vec<Signal>,
    core: Core,
    directory: Directory,
    platform: Platform,
    resp: Resp,
    /// After SIGTERM: until when new connections are taken.
    farewell: Option<Time>,
}

impl Daemon {
    pub fn start(config: Config) -> Result<Self, String> {
        let clock = Clock::new();
        let now = clock.now();
        let limits = Rc::new(config.limits);
        let poller = Rc::new(Poller::new().map_err(|e| format!("epoll: {e}"))?);
        let mut signals = Vec::new();
        for (place, number) in [SIGTERM, SIGINT, SIGUSR1].into_iter().enumerate() {
            let pipe = signal(number, &poller, Token::new(SIGNALS, place as u32, 0));
            signals.push(pipe.map_err(|e| format!("signals: {e}"))?);
        }
        let classes: Vec<Arc<str>> = config.settings.classes.iter().map(|c| c.name.as_str().into()).collect();
        let (listen, names) = (config.listen, config.names);
        let members = config.known.1.all();
        let directory = Directory::new(DIRECTORY, names, config.known, &poller, limits.clone())
            .map_err(|e| format!("directory {names}: {e}"))?;
        let platform = Platform::new(PLATFORM, 0, listen, classes, poller.clone(), limits.clone())
            .map_err(|e| format!("listen {listen}: {e}"))?;
        let mut daemon = Self {
            clock,
            resp: Resp::new(RESP, poller.clone(), limits.clone()),
            poller,
            limits,
            signals,
            core: Core::new(config.settings, config.seed),
            directory,
            platform,
            farewell: None,
        };
        daemon.members(now, Scope::Restored, members);
        let address = daemon.platform.address().map_err(|e| format!("listen {listen}: {e}"))?;
        println!("{} listens on {address}", config.name);
        Ok(daemon)
    }

    pub fn run(mut self) -> Result<(), String> {
        let mut ready = Vec::new();
        loop {
            let now = self.clock.now();
            self.alarms(now);
            self.carry(now);
            if self.is_over(now) {
                println!("{}", self.counters());
                return Ok(());
            }
            self.poller
                .wait(self.clock.now(), self.next(now), &mut ready)
                .map_err(|e| format!("epoll: {e}"))?;
            let now = self.clock.now();
            for ready in &ready {
                self.ready(now, *ready);
                self.carry(now);
            }
        }
    }

    /// When there is next something to do that no descriptor tells of.
    fn next(&self, now: Time) -> Time {
        let parts = [
            self.core.next(),
            self.directory.next(),
            self.platform.next(),
            self.resp.next(),
            self.farewell.filter(|at| *at > now),
        ];
        parts.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    fn alarms(&mut self, now: Time) {
        self.directory.alarm(now);
        self.platform.alarm(now);
        self.resp.alarm(now);
        let Self { core, platform, resp, .. } = self;
        core.alarm(now, &mut [Door { front: platform, link: resp }]);
    }

    fn ready(&mut self, now: Time, ready: Ready) {
        match ready.token.part {
            SIGNALS => self.signal(now, ready.token.place as usize),
            DIRECTORY => {
                let changes = self.directory.ready();
                if !changes.is_empty() {
                    self.members(now, Scope::Changes, changes);
                }
            }
            PLATFORM => self.platform.ready(now, ready),
            _ => self.resp.ready(now, ready),
        }
    }

    /// Carries what fronts and links have to say to the core, until none has.
    fn carry(&mut self, now: Time) {
        let Self { core, platform, resp, .. } = self;
        loop {
            if let Some(wish) = platform.take() {
                core.wish(now, wish, &mut [Door { front: platform, link: resp }]);
            } else if let Some(news) = resp.take() {
                core.news(now, news, &mut [Door { front: platform, link: resp }]);
            } else {
                return;
            }
        }
    }

    fn members(&mut self, now: Time, scope: Scope, members: Vec<Member>) {
        for member in &members {
            // One that is gone is no longer in the list, but its attempts may be out.
            self.resp.engine(now, &member.entry.id, member.entry.lifecycle, member.address);
            if member.entry.lifecycle != Lifecycle::Ready {
                println!("{now:.3} engine {} is {:?}", member.entry.id, member.entry.lifecycle);
            }
        }
        let entries = members.into_iter().map(|m| m.entry).collect();
        let Self { core, platform, resp, .. } = self;
        core.engines(now, scope, entries, &mut [Door { front: platform, link: resp }]);
    }

    fn signal(&mut self, now: Time, place: usize) {
        let Some(signal) = self.signals.get_mut(place) else { return };
        // The pipe only wakes the loop; how many bytes it held does not matter.
        let _ = signal.pipe.read(&mut [0; 64]);
        if signal.number == SIGUSR1 {
            println!("{}", self.counters());
        } else if self.farewell.is_none() {
            // The front goes on sending for a while: what comes is still served.
            self.farewell = Some(now + self.limits.farewell);
        }
    }

    /// After SIGTERM, once the front has had time to notice and every answer is out.
    fn is_over(&mut self, now: Time) -> bool {
        if self.farewell.is_none_or(|at| now < at) {
            return false;
        }
        self.platform.listen(false);
        self.core.open() == 0 && self.platform.idle()
    }

    fn counters(&mut self) -> String {
        self.core.counters.bad = self.platform.bad();
        format!("counters {} lists_bad={}", self.core.counters, self.directory.bad)
    }
}

fn signal(number: i32, poller: &Poller, token: Token) -> std::io::Result<Signal> {
    let (pipe, write) = UnixStream::pair()?;
    pipe.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, write)?;
    poller.add(&pipe, token, false)?;
    Ok(Signal { pipe, number })
}
