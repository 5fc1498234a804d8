//! The loop: waits for what is ready or due, lets each part of the daemon work, and carries news between
//! them and the core.

use crate::admin::{AdminInterface, Command, Response};
use crate::body_store::{self, Bodies};
use crate::config::{optional, Config};
use crate::core::{Core, ListenerEvent, Route, Trace, Upstream};
use crate::discovery::consul::{self, ConsulDiscovery};
use crate::discovery::dns::DnsDiscovery;
use crate::discovery::maintenance::MaintenanceSet;
use crate::discovery::{endpoint_json, Discovery, Endpoint, EndpointChanges, EndpointSet};
use crate::failpoints;
use crate::limits::Limits;
use crate::listener::http::{HttpListener, Names};
use crate::listener::mysql::MysqlListener;
use crate::mysql::{self, config::Mysql};
use crate::net::{inherited, Backoff, Clock, EventHandler, Poller, Ready, SuspendDetector, Time, Token};
use crate::store::{self, Store};
use crate::upstream::mysql::MysqlUpstream;
use crate::upstream::resp::RespUpstream;
use dahliaspoke::policy::{EngineId, Lifecycle, ListScope, Settings};
use dahliaspoke::settings::{object, settings};
use dahliaspoke_body_store::spool::Wake;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::Read;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use std::sync::Arc;

const SIGNALS: u8 = 0;
const SOURCE: u8 = 1;
const PLATFORM: u8 = 2;
const RESP: u8 = 3;
const MYSQL_FRONT: u8 = 4;
const MYSQL_LINK: u8 = 5;
const STORE: u8 = 6;
const CONSOLE: u8 = 7;
const SPOOL: u8 = 8;

/// One byte comes down a pipe for every signal.
struct Signal {
    pipe: UnixStream,
    number: i32,
}

/// Signals, as the loop sees them.
struct Signals {
    pipes: Vec<Signal>,
    come: VecDeque<i32>,
}

impl Signals {
    fn open(poller: &Poller) -> std::io::Result<Self> {
        let mut pipes = Vec::new();
        for (place, number) in [SIGTERM, SIGINT, SIGUSR1, SIGHUP].into_iter().enumerate() {
            let (pipe, write) = UnixStream::pair()?;
            pipe.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(number, write)?;
            poller.add(&pipe, Token::new(SIGNALS, place as u32, 0), false)?;
            pipes.push(Signal { pipe, number });
        }
        Ok(Self { pipes, come: VecDeque::new() })
    }
}

impl EventHandler for Signals {
    fn next_deadline(&mut self) -> Option<Time> {
        None
    }

    fn on_timer(&mut self, _: Time) {}

    fn on_ready(&mut self, _: Time, ready: Ready) {
        let Some(signal) = self.pipes.get_mut(ready.token.slot as usize) else { return };
        // The pipe only wakes the loop; how many bytes it held does not matter.
        let _ = signal.pipe.read(&mut [0; 64]);
        self.come.push_back(signal.number);
    }
}

pub struct Daemon {
    clock: Clock,
    sleep: SuspendDetector,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    signals: Signals,
    core: Core,
    classes: Vec<Arc<str>>,
    source: Box<dyn Discovery>,
    platform: HttpListener,
    resp: RespUpstream,
    /// Large bodies, where the deployment keeps them.
    spool: Option<body_store::Shared>,
    /// The second door, where the deployment has one.
    mysql: Option<(MysqlListener, MysqlUpstream)>,
    /// The replicated store, where the deployment has one.
    store: Option<Store>,
    /// The engines as last told, as the store keeps them.
    endpoints: EndpointSet,
    /// Engines that have left the list, and when: one that restarts is not unknown meanwhile.
    gone: HashMap<EngineId, Time>,
    /// The engines that operators have left out.
    bans: MaintenanceSet,
    /// The same by the store.
    stored_bans: BTreeSet<EngineId>,
    /// When to look whether another process has changed them.
    look_at: Time,
    /// The list of engines is too old to be believed.
    lapsed: bool,
    /// A configuration that could not be read is read again.
    reload: Option<Reload>,
    /// The operators' door, where the configuration has one.
    console: Option<AdminInterface>,
    /// The platform holds the clients' listening socket, and another process takes this one's place.
    in_pairs: bool,
    life: Life,
}

/// A configuration that is to be read again.
struct Reload {
    at: Time,
    pauses: Backoff,
}

/// Pauses (s) between tries to read it.
const RELOAD_PAUSES: (Time, Time) = (0.05, 1.0);

/// How far the program is: it serves, and shuts down gracefully after SIGTERM.
#[derive(Clone, Copy, PartialEq)]
enum Life {
    Serving,
    /// SIGTERM has come, and what clients send is still served until the first time. All that is open at the second is
    /// given up, with an answer.
    Draining(Time, Time),
    /// Nothing more is expected. Connections end as they come to rest; the same second time.
    Closing(Time),
    /// All was given up, and its answers are going out; until then clients may take them.
    GivenUp(Time),
}

impl Life {
    /// When the next step is due by itself.
    fn next(self) -> Option<Time> {
        match self {
            Life::Draining(until, give_up) => Some(until.min(give_up)),
            Life::Closing(at) | Life::GivenUp(at) => Some(at),
            Life::Serving => None,
        }
    }
}

impl Daemon {
    pub fn start(mut config: Config) -> Result<Self, String> {
        let clock = Clock::new();
        let now = clock.now();
        let is_there = |file: &str| std::path::Path::new(file).exists();
        config.limits.share_out(is_there(mysql::config::FILE), is_there(store::FILE));
        let trace = Trace::from_file()?;
        let mut spool = None;
        if let Some(bodies) = Bodies::from_file(&config.settings)? {
            bodies.limit(&config.settings, &mut config.limits);
            spool = Some(bodies.open(&config.settings)?);
        }
        let limits = Rc::new(config.limits.clone());
        let poller = Rc::new(Poller::new().map_err(|e| format!("epoll: {e}"))?);
        let signals = Signals::open(&poller).map_err(|e| format!("signals: {e}"))?;
        let mut store = None;
        if let Some(file) = optional(store::FILE)? {
            let opened = Store::open(STORE, now, file, &config.name, poller.clone(), limits.clone())?;
            config.take_stored(opened.get(store::SETTINGS), opened.get(store::ENGINES))?;
            if let Some(address) = opened.address() {
                tracing::info!("{} stores on {address}", config.name);
            }
            store = Some(opened);
        }
        let classes: Vec<Arc<str>> = config.settings.classes.iter().map(|c| c.name.as_str().into()).collect();
        let (listen, names) = (config.listen, config.names);
        let endpoints = config.known.1.all();
        let socket = config.inherited.map_or_else(|| TcpListener::bind(listen), inherited);
        let platform = socket
            .and_then(|socket| {
                let tenants = config.settings.tenants.iter().map(|t| t.name.as_str().into()).collect();
                let (names, spool) = (Names { classes: classes.clone(), tenants }, spool.clone());
                HttpListener::open(PLATFORM, 0, socket, names, spool, poller.clone(), limits.clone())
            })
            .map_err(|e| format!("listen {listen}: {e}"))?;
        let address = platform.address().map_err(|e| format!("listen {listen}: {e}"))?;
        let source: Box<dyn Discovery> = match optional(consul::FILE)? {
            None => {
                let (poller, limits) = (poller.clone(), limits.clone());
                let directory =
                    DnsDiscovery::new(SOURCE, now, names, config.known, config.seed, poller, limits);
                Box::new(directory.map_err(|e| format!("directory {names}: {e}"))?)
            }
            Some(file) => {
                let (own, held) = ((config.name.clone(), address), config.known.1);
                Box::new(ConsulDiscovery::new(SOURCE, now, file, own, held, poller.clone(), limits.clone()))
            }
        };
        let mysql = match Mysql::from_file(&config.settings)? {
            None => None,
            Some(mysql) => {
                let (listen, mysql) = (mysql.listen, Rc::new(mysql));
                let (settings, poller) = (&config.settings, poller.clone());
                let link = MysqlUpstream::new(
                    MYSQL_LINK,
                    mysql.clone(),
                    spool.clone(),
                    poller.clone(),
                    limits.clone(),
                );
                let front = MysqlListener::open(
                    MYSQL_FRONT,
                    1,
                    mysql,
                    settings,
                    spool.clone(),
                    poller,
                    limits.clone(),
                )
                .map_err(|e| format!("listen {listen}: {e}"))?;
                let address = front.address().map_err(|e| format!("listen {listen}: {e}"))?;
                tracing::info!("{} speaks MySQL on {address}", config.name);
                Some((front, link))
            }
        };
        let mut console = None;
        if let Some(address) = config.console {
            let opened = TcpListener::bind(address)
                .and_then(|socket| AdminInterface::open(CONSOLE, socket, poller.clone(), limits.clone()));
            let opened = opened.map_err(|e| format!("console {address}: {e}"))?;
            let address = opened.address().map_err(|e| format!("console {address}: {e}"))?;
            tracing::info!("{} hears operators on {address}", config.name);
            console = Some(opened);
        }
        if let Some(spool) = &spool {
            poller
                .add(spool.borrow().bell(), Token::new(SPOOL, 0, 0), false)
                .map_err(|e| format!("epoll: {e}"))?;
        }
        let mut daemon = Self {
            clock,
            sleep: SuspendDetector::new(now),
            console,
            in_pairs: config.inherited.is_some(),
            mysql,
            store,
            endpoints: EndpointSet::default(),
            gone: HashMap::new(),
            bans: MaintenanceSet::open(),
            stored_bans: BTreeSet::new(),
            look_at: now,
            lapsed: false,
            reload: None,
            resp: RespUpstream::new(RESP, spool.clone(), poller.clone(), limits.clone()),
            poller,
            limits,
            signals,
            classes,
            core: Core::new(config.settings, config.seed, spool.is_some(), trace),
            spool,
            source,
            platform,
            life: Life::Serving,
        };
        if let Some(store) = &mut daemon.store {
            let fits = daemon.core.fitting();
            store.check_with(Box::new(move |key, text| checked(key, text, &fits)));
        }
        // A process that this one takes over from kept to its part of what cold engines bear, and so does this
        // one from here on. After a crash nothing is known of that.
        let scope = if daemon.in_pairs { ListScope::Complete } else { ListScope::Restored };
        daemon.endpoints(now, scope, EndpointChanges { told: now, endpoints });
        tracing::info!("{} listens on {address}", config.name);
        Ok(daemon)
    }

    pub fn run(mut self) -> Result<(), String> {
        let mut ready = Vec::new();
        loop {
            // It may have slept between any two lines; what it then holds is old, and what waits for it comes first.
            if self.sleep.woke(self.clock.now(), None, self.limits.event_loop.suspend_threshold) {
                self.catch_up(&mut ready)?;
                self.take(&mut ready);
            }
            let now = self.clock.now();
            self.alarms(now);
            self.carry(now);
            if self.is_over(&mut ready)? {
                tracing::info!("{}", self.counters());
                return Ok(());
            }
            let next = self.next();
            self.poller.wait(self.clock.now(), next, &mut ready).map_err(|e| format!("epoll: {e}"))?;
            if self.sleep.woke(self.clock.now(), Some(next), self.limits.event_loop.suspend_threshold) {
                self.catch_up(&mut ready)?;
            }
            self.take(&mut ready);
        }
    }

    /// Lets each part do what its descriptors are ready for.
    fn take(&mut self, ready: &mut [Ready]) {
        let now = self.clock.now();
        // What the directory says, and that clients have gone, counts before anything is sent on.
        let rank = |part| match part {
            SIGNALS => 0,
            SOURCE => 1,
            PLATFORM | MYSQL_FRONT => 2,
            _ => 3,
        };
        ready.sort_by_key(|ready| rank(ready.token.owner));
        for ready in ready {
            self.on_ready(now, *ready);
            self.carry(now);
        }
    }

    /// The process slept: engines may have drained or gone meanwhile. Hears the directory before anything is admitted or
    /// sent again, and does without after a moment: one that does not answer must not hold up all else. Gives what is
    /// ready then: a wait that was broken off by the sleep has not told.
    fn catch_up(&mut self, ready: &mut Vec<Ready>) -> Result<(), String> {
        let now = self.clock.now();
        tracing::info!(at = now, "the process slept");
        let until = now + self.limits.event_loop.catch_up_timeout;
        self.source.ask(now);
        loop {
            let now = self.clock.now();
            let waits = self.source.waits() && now < until;
            self.poller
                .wait(now, if waits { until } else { now }, ready)
                .map_err(|e| format!("epoll: {e}"))?;
            if !waits {
                self.hear(now);
                return Ok(());
            }
            match ready.iter().find(|ready| ready.token.owner == SOURCE) {
                Some(news) => self.source.on_ready(now, *news),
                // What else is ready stays so, and the answer takes a moment.
                None => std::thread::sleep(std::time::Duration::from_millis(1)),
            }
        }
    }

    /// The parts of the loop that this deployment has, each by the number in its tokens.
    fn parts(&mut self) -> impl Iterator<Item = (u8, &mut dyn EventHandler)> {
        let (front, link) = self.mysql.as_mut().map(|(front, link)| (front, link)).unzip();
        let parts: [(u8, Option<&mut dyn EventHandler>); 9] = [
            (SIGNALS, Some(&mut self.signals)),
            (SOURCE, Some(&mut *self.source)),
            (PLATFORM, Some(&mut self.platform)),
            (RESP, Some(&mut self.resp)),
            (SPOOL, self.spool.as_mut().map(|part| part as &mut dyn EventHandler)),
            (STORE, self.store.as_mut().map(|part| part as &mut dyn EventHandler)),
            (CONSOLE, self.console.as_mut().map(|part| part as &mut dyn EventHandler)),
            (MYSQL_FRONT, front.map(|part| part as &mut dyn EventHandler)),
            (MYSQL_LINK, link.map(|part| part as &mut dyn EventHandler)),
        ];
        parts.into_iter().filter_map(|(number, part)| part.map(|part| (number, part)))
    }

    /// When there is next something to do that no descriptor tells of.
    fn next(&mut self) -> Time {
        let parts = self.parts().filter_map(|(_, part)| part.next_deadline()).fold(f64::INFINITY, f64::min);
        let lease = Some(self.source.valid_until()).filter(|_| !self.lapsed);
        let reload = self.reload.as_ref().map(|reload| reload.at);
        let own = [self.core.next_deadline(), self.life.next(), Some(self.look_at), lease, reload];
        own.into_iter().flatten().fold(parts, f64::min)
    }

    fn alarms(&mut self, now: Time) {
        self.parts().for_each(|(_, part)| part.on_timer(now));
        self.hear(now);
        if self.look_at <= now {
            self.look_at = now + self.limits.discovery.maintenance_poll_interval;
            self.look(now);
        }
        if self.reload.as_ref().is_some_and(|reload| reload.at <= now) {
            self.reload(now);
        }
        let (core, mut routes) = self.routes();
        core.on_timer(now, &mut routes);
        self.live(now);
    }

    /// Takes the next step of a shutdown, when it is due.
    fn live(&mut self, now: Time) {
        if let Life::Draining(until, give_up) = self.life {
            // Where another process takes what comes, this one need not stay for it.
            let nobody = self.in_pairs && self.platform.is_empty();
            let nobody = nobody && self.mysql.as_ref().is_none_or(|(front, _)| front.is_empty());
            if now >= until || nobody {
                self.life = Life::Closing(give_up);
                if !self.in_pairs {
                    self.platform.end_resting(now);
                }
            }
        }
        if let Life::Draining(_, give_up) | Life::Closing(give_up) = self.life {
            if now >= give_up {
                self.life = Life::GivenUp(now + self.limits.shutdown.flush_timeout);
                let (core, mut routes) = self.routes();
                core.give_up(now, &mut routes);
            }
        }
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        if let Some((_, part)) = self.parts().find(|(number, _)| *number == ready.token.owner) {
            part.on_ready(now, ready);
        }
        self.hear(now);
    }

    /// Takes what parts have to tell the daemon itself.
    fn hear(&mut self, now: Time) {
        while let Some(number) = self.signals.come.pop_front() {
            self.signal(now, number);
        }
        if let Some(changes) = self.source.take() {
            self.endpoints(now, ListScope::Changes, changes);
        }
        self.follow_lease(now);
        self.stored(now);
        self.commands(now);
    }

    /// The core, and the doors in the order of their numbers.
    fn routes(&mut self) -> (&mut Core, Vec<Route<'_>>) {
        let Self { core, platform, resp, mysql, .. } = self;
        let mut routes = vec![Route { front: platform, link: resp }];
        routes.extend(mysql.as_mut().map(|(front, link)| Route { front, link }));
        (core, routes)
    }

    /// Carries what fronts and links have to say to the core, until none has.
    fn carry(&mut self, now: Time) {
        loop {
            // First what has become of bodies: that one is gone counts before what its attempt came to.
            let wake = self.spool.as_ref().and_then(|spool| spool.borrow_mut().take());
            if let Some(wake) = wake {
                match wake {
                    Wake::Data(reader) => {
                        self.resp.wake(now, reader);
                        if let Some((_, link)) = &mut self.mysql {
                            link.wake(now, reader);
                        }
                    }
                    Wake::Spent(body) => {
                        let (core, mut routes) = self.routes();
                        core.spent(now, body, &mut routes);
                    }
                    Wake::Room(body) | Wake::Kept(body) | Wake::Passed(body) | Wake::Lost(body) => {
                        self.platform.wake(now, body, &wake);
                        if let Some((front, _)) = &mut self.mysql {
                            front.wake(now, body, &wake);
                        }
                    }
                }
                continue;
            }
            let mysql = &mut self.mysql;
            let event = self.platform.take().or_else(|| mysql.as_mut().and_then(|(front, _)| front.take()));
            if let Some(mut event) = event {
                if let ListenerEvent::Request(ask) = &mut event {
                    // A client's time runs from when it asked, and that may have been before a sleep.
                    ask.deadline -= now - self.sleep.came(now);
                    if matches!(self.life, Life::GivenUp(_)) {
                        ask.deadline = now; // it is refused at once
                    }
                }
                let (core, mut routes) = self.routes();
                core.front_event(now, event, &mut routes);
                continue;
            }
            let news = self.resp.take().or_else(|| mysql.as_mut().and_then(|(_, link)| link.take()));
            let Some(news) = news else { return };
            let (core, mut routes) = self.routes();
            core.news(now, news, &mut routes);
        }
    }

    /// Looks at what has changed in the store. Settings and what is left out count at once; engines that the store
    /// knows are taken where none are known here.
    fn stored(&mut self, now: Time) {
        while let Some(key) = self.store.as_mut().and_then(Store::take) {
            tracing::info!(at = now, part = "store", "{key} has changed");
            if key.is_empty() || key.starts_with(store::MAINTENANCE) {
                self.maintained(now);
            }
            let held = self.store.as_ref().and_then(|store| store.get(&key)).map(str::to_string);
            let Some(text) = &held else { continue };
            if key == store::SETTINGS {
                self.take_settings(now, text);
            }
            if key != store::ENGINES || !self.endpoints.all().is_empty() {
                continue;
            }
            match endpoint_json::servers(text) {
                Ok(endpoints) => {
                    // The source must know of them, or it could not tell that one is gone.
                    self.source.hold(now, endpoints.clone());
                    self.endpoints(
                        now,
                        ListScope::Restored,
                        EndpointChanges { told: now, endpoints: endpoints.all() },
                    );
                }
                Err(e) => tracing::info!(at = now, part = "store", "engines: {e}"),
            }
        }
    }

    /// Settings of the store count from here on.
    fn take_settings(&mut self, now: Time, text: &str) {
        let version = self.store.as_ref().map_or(0, |store| store.version_of(store::SETTINGS));
        let (core, mut routes) = self.routes();
        let done = parsed(text).and_then(|settings| core.settings(now, settings, &mut routes));
        match done {
            Ok(()) => tracing::info!(at = now, part = "store", "settings of version {version} count"),
            // They were checked by the member that took them; its classes may be others.
            Err(why) => tracing::info!(at = now, part = "store", "settings do not count here: {why}"),
        }
    }

    /// What the store says is left out counts beside what this process was told itself.
    fn maintained(&mut self, now: Time) {
        let Some(store) = &self.store else { return };
        let told: BTreeSet<EngineId> =
            store.under(store::MAINTENANCE).into_iter().map(|(id, _)| id.into()).collect();
        let news = self.stored_bans.symmetric_difference(&told).cloned().collect();
        self.stored_bans = told;
        self.banned(now, news);
    }

    /// Since when an engine is left out, whoever said so.
    fn out_since(&self, now: Time, id: &EngineId) -> Option<Time> {
        // The file may be of a process whose clock is ahead of this one's: nothing was told later than now.
        let since = self.bans.since(id).map(|since| since.min(now));
        since.or_else(|| self.stored_bans.contains(id).then_some(now))
    }

    /// Takes news of the list.
    fn endpoints(
        &mut self,
        now: Time,
        scope: ListScope,
        EndpointChanges { told, endpoints }: EndpointChanges,
    ) {
        self.endpoints.change(endpoints.clone());
        let left = endpoints.iter().filter(|m| m.entry.lifecycle == Lifecycle::Gone);
        self.gone.extend(left.map(|m| (m.entry.id.clone(), now)));
        self.gone.retain(|_, at| now - *at < self.limits.discovery.departed_retention);
        // One that knows of none has nothing to tell: peers may know better.
        if let Some(store) = self.store.as_mut().filter(|_| !self.endpoints.all().is_empty()) {
            store.lead_with(now, store::ENGINES, &endpoint_json::write(&self.endpoints));
        }
        self.follow(now, told, scope, endpoints);
    }

    /// Looks whether the list may still be believed. Once it may not, all engines count as draining here, and links begin
    /// nothing, until the source has heard a list anew.
    fn follow_lease(&mut self, now: Time) {
        let until = self.source.valid_until();
        self.resp.valid_until(until);
        if let Some((_, link)) = &mut self.mysql {
            link.valid_until(until);
        }
        let lapsed = until <= now;
        if lapsed == std::mem::replace(&mut self.lapsed, lapsed) {
            return;
        }
        let what = if lapsed { "is too old: nothing begins" } else { "counts again" };
        tracing::info!(at = now, "the list of engines {what}");
        self.follow(now, now, ListScope::Changes, self.endpoints.all());
    }

    /// Tells links and core of engines. One that operators have left out drains, whatever the list says; `told` is since
    /// when the list counts as told.
    fn follow(&mut self, now: Time, told: Time, scope: ListScope, mut endpoints: Vec<Endpoint>) {
        for Endpoint { entry, address } in &mut endpoints {
            let banned = self.out_since(now, &entry.id).filter(|_| entry.lifecycle == Lifecycle::Ready);
            if banned.is_some() {
                entry.lifecycle = Lifecycle::Draining;
            }
            // One that is gone is no longer in the list, but its attempts may be out.
            let told = banned.unwrap_or(told);
            self.resp.engine(now, told, &entry.id, entry.lifecycle, *address);
            if let Some((_, link)) = &mut self.mysql {
                link.engine(told, &entry.id, entry.lifecycle, address.map(|a| a.ip()));
            }
            if entry.lifecycle != Lifecycle::Ready {
                tracing::info!(at = now, "engine {} is {:?}", entry.id, entry.lifecycle);
            } else if self.lapsed {
                entry.lifecycle = Lifecycle::Draining;
            }
        }
        let entries = endpoints.into_iter().map(|m| m.entry).collect();
        let (core, mut routes) = self.routes();
        core.engines(now, scope, entries, &mut routes);
    }

    /// Takes what the process beside this one has heard from operators.
    fn look(&mut self, now: Time) {
        match self.bans.look() {
            Ok(news) => self.banned(now, news),
            Err(e) => tracing::info!(at = now, "maintenance is not kept: {e}"),
        }
    }

    /// Operators have left these engines out, or have called them back. What comes back was restarted
    /// meanwhile, perhaps just now, and the list may tell that late: it counts as cold from here.
    fn banned(&mut self, now: Time, engines: Vec<EngineId>) {
        for id in engines {
            let out = self.out_since(now, &id).is_some();
            tracing::info!(at = now, "engine {id} {}", if out { "is left out" } else { "may serve again" });
            let Some(mut endpoint) = self.endpoints.get(&id).cloned() else { continue };
            if !out {
                endpoint.entry.started = Some(now);
            }
            self.follow(now, now, ListScope::Changes, vec![endpoint]);
        }
    }

    /// Leaves an engine out, or calls it back.
    fn maintain(&mut self, now: Time, id: EngineId, out: bool) -> Response {
        self.look(now);
        let was = self.bans.since(&id).is_some();
        if !was && self.endpoints.get(&id).is_none() && !self.gone.contains_key(&id) {
            return Response::UnknownEngine(id);
        }
        if out {
            self.bans.ban(now, &id);
        } else {
            self.bans.lift(&id);
        }
        if was != out {
            self.banned(now, vec![id]);
        }
        Response::Done
    }

    /// Carries out what operators ask for.
    fn commands(&mut self, now: Time) {
        while let Some(call) = self.console.as_mut().and_then(AdminInterface::next_call) {
            let response = match call.command {
                Command::Health if self.life != Life::Serving => Response::ShuttingDown,
                Command::Health => Response::Healthy,
                Command::Statistics => Response::Statistics(self.stats(now)),
                Command::StartMaintenance(id) => self.maintain(now, id, true),
                Command::EndMaintenance(id) => self.maintain(now, id, false),
            };
            if let Some(console) = &mut self.console {
                console.respond(now, call.connection, &response);
            }
        }
    }

    fn signal(&mut self, now: Time, number: i32) {
        if number == SIGUSR1 {
            tracing::info!("{}", self.counters());
        } else if number == SIGHUP {
            self.reload = None; // the newest one is read, whatever became of the one before
            self.reload(now);
        } else if self.life == Life::Serving {
            // The front goes on sending for a while: what comes is still served.
            let until = now + self.limits.shutdown.grace_period;
            self.life = Life::Draining(until, now + self.limits.shutdown.force_after);
            self.platform.last_upload(until);
            if let Some((front, _)) = &mut self.mysql {
                front.last_upload(until);
            }
            if self.in_pairs {
                // The other process has the listening socket as well, and takes what comes.
                tracing::info!(at = now, "leaving: connections go to the process beside");
                self.platform.hand_over();
            }
            self.source.leave(now);
        }
    }

    /// Reads the configuration again: the directory's address counts at once, the rest from the next start on. One that
    /// cannot be read may be half written, or there may be no descriptor: it is read again until it can.
    fn reload(&mut self, now: Time) {
        let names = match Config::from_env() {
            Ok(config) => config.names,
            Err(why) => {
                let fresh = || Backoff::new(RELOAD_PAUSES.0, RELOAD_PAUSES.1);
                let mut pauses = self.reload.take().map_or_else(fresh, |reload| reload.pauses);
                if pauses.is_first() {
                    tracing::info!(at = now, "the old configuration stays: {why}");
                }
                self.reload = Some(Reload { at: now + pauses.next_pause(), pauses });
                return;
            }
        };
        self.reload = None;
        tracing::info!(at = now, "configuration read again: directory {names}");
        self.source.move_to(now, names);
    }

    /// Whether the program may end: every answer is out, and nobody has said anything that was not heard. New
    /// connections are taken to the end: one that the kernel took, and nobody here, would be lost.
    fn is_over(&mut self, ready: &mut Vec<Ready>) -> Result<bool, String> {
        let last = match self.life {
            Life::Serving | Life::Draining(..) => return Ok(false),
            Life::Closing(_) => false,
            Life::GivenUp(until) => self.clock.now() >= until,
        };
        let idle = self.platform.idle() && self.mysql.as_mut().is_none_or(|(front, _)| front.idle());
        if last || self.core.open() > 0 || !idle {
            return Ok(last);
        }
        failpoints::reach("shutdown.last");
        let now = self.clock.now();
        self.poller.wait(now, now, ready).map_err(|e| format!("epoll: {e}"))?;
        let unheard = ready.iter().any(|ready| matches!(ready.token.owner, PLATFORM | MYSQL_FRONT));
        Ok(!unheard)
    }

    /// The figures, for operators: a line each.
    fn stats(&mut self, now: Time) -> String {
        let mut text = String::new();
        let mut line = |name: &str, count: u64| text += &format!("app.{name}={count}\n");
        for (class, answers) in self.classes.iter().zip(&self.core.counters.answers) {
            line(&format!("completed.{class}"), answers.served);
            line(&format!("rejected.{class}"), answers.refused);
            line(&format!("failed.{class}"), answers.failed);
        }
        let endpoints = self.endpoints.all();
        let serves = |m: &&Endpoint| {
            let left_out = self.out_since(0.0, &m.entry.id).is_some();
            let ready = m.entry.lifecycle == Lifecycle::Ready && !left_out;
            ready && !self.core.avoids(&m.entry.id)
        };
        let available = endpoints.iter().filter(serves).count();
        let mysql = self.mysql.as_ref().map_or(0, |(_, link)| link.written());
        if let Some(spool) = &self.spool {
            for (class, figures) in self.classes.iter().zip(spool.borrow().figures()) {
                body_store::figures(class, figures, &mut line);
            }
        }
        if let Some(store) = &self.store {
            store.figures(now, &mut line);
        }
        line("upstream_requests", self.resp.written() + mysql);
        line("pending", self.core.open() as u64);
        line("members", endpoints.len() as u64);
        line("members_unavailable", (endpoints.len() - available) as u64);
        text
    }

    fn counters(&mut self) -> String {
        let mysql = self.mysql.as_mut().map_or(0, |(front, _)| front.bad());
        self.core.counters.bad = self.platform.bad() + mysql;
        format!("counters {} lists_bad={}", self.core.counters, self.source.bad())
    }
}

/// A settings object in a text.
fn parsed(text: &str) -> Result<Settings, String> {
    let value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    settings(object(&value, "settings")?)
}

/// Whether a key of the store may hold that text here; `fits` says it of settings.
fn checked(key: &str, text: &str, fits: &dyn Fn(&Settings) -> Result<(), String>) -> Result<(), String> {
    match key {
        store::SETTINGS => fits(&parsed(text)?),
        store::ENGINES => endpoint_json::servers(text).map(|_| ()),
        _ => Ok(()),
    }
}
