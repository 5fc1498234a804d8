//! Processes of the program, and a link from each to each other one.

use crate::process::{Addresses, Process};
use crate::relay::{Direction, Pace, Relay};
use crate::script::Step;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Tells the fleets of one test program apart.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// The files of a process before its first start: names and contents.
pub type Files = Vec<(String, String)>;

/// 3 to 24 processes. Dropped, they are killed and their folders removed.
pub struct Fleet {
    /// The processes, by position.
    pub processes: Vec<Process>,
    /// The present addresses of their listeners, by position.
    pub addresses: Vec<Addresses>,
    /// The links by which the first process reaches the second one.
    pub links: BTreeMap<(usize, usize), Relay>,
    /// The listener that the links lead to.
    linked_listener: &'static str,
    /// The folder that is a process's disk, for [`Step::StartEmpty`].
    disk: &'static str,
    folder: PathBuf,
}

/// A direction of a link.
struct LinkDirection<'a> {
    link: &'a Relay,
    direction: Direction,
}

impl Fleet {
    /// Starts `count` processes, linked by that listener. `files` gives the files of each one's folder: it is given the
    /// position of the process and, by position, the addresses at which it reaches the others.
    ///
    /// # Panics
    /// Where a folder or a port cannot be had.
    pub fn start(
        program: &Path,
        count: usize,
        linked_listener: &'static str,
        disk: &'static str,
        files: impl Fn(usize, &BTreeMap<usize, SocketAddr>) -> Files,
    ) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("dahliaspoke-test-harness-{}-{number}", std::process::id()));
        let links = start_links(count);
        let mut processes = Vec::new();
        for at in 0..count {
            let process = Process::new(program, &format!("c{at}"), &folder).expect("a folder");
            let own_links = links.iter().filter(|((from, _), _)| *from == at);
            let reach = own_links.map(|((_, to), link)| (*to, link.address)).collect();
            for (name, text) in files(at, &reach) {
                process.write_file(&name, &text);
            }
            processes.push(process);
        }
        let addresses = vec![Addresses::new(); count];
        let mut fleet = Self { processes, addresses, links, linked_listener, disk, folder };
        for at in 0..count {
            fleet.start_process(at, None);
        }
        fleet
    }

    /// Starts a process, with a kill point or without; the links to it lead to its new address.
    pub fn start_process(&mut self, at: usize, kill_point: Option<&str>) {
        self.addresses[at] = self.processes[at].start(kill_point);
        let Some(address) = self.addresses[at].get(self.linked_listener) else { return };
        for (_, link) in self.links.iter().filter(|((_, to), _)| *to == at) {
            link.set_target(*address);
        }
    }

    /// Positions of the processes that run and are not suspended.
    pub fn running(&mut self) -> Vec<usize> {
        let running = |(at, process): (usize, &mut Process)| {
            (process.is_running() && !process.is_suspended()).then_some(at)
        };
        self.processes.iter_mut().enumerate().filter_map(running).collect()
    }

    /// The ways from one process to another: on the links that it opened, and back on those that were opened to it.
    fn ways(&self, from: usize, to: usize) -> [LinkDirection<'_>; 2] {
        [
            LinkDirection { link: &self.links[&(from, to)], direction: Direction::Out },
            LinkDirection { link: &self.links[&(to, from)], direction: Direction::Back },
        ]
    }

    /// Sets the pace of everything that one process sends to another.
    pub fn set_pace(&self, from: usize, to: usize, pace: Pace) {
        for LinkDirection { link, direction } in self.ways(from, to) {
            link.set_pace(direction, pace);
        }
    }

    /// Cuts the links between two processes, both ways.
    fn cut(&self, one: usize, other: usize) {
        self.links[&(one, other)].cut();
        self.links[&(other, one)].cut();
    }

    /// Cuts all links between the two sides, both ways.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.cut(a, b);
        }
    }

    /// Takes the faults of all links away.
    pub fn heal(&self) {
        self.links.values().for_each(Relay::heal);
    }

    /// Applies a step of a script; `holds` says whether a named condition holds.
    pub fn apply(&mut self, step: &Step, mut holds: impl FnMut(&mut Self, &str) -> bool) {
        match step {
            Step::Suspend(at) => self.processes[*at].suspend(),
            Step::Resume(at) => self.processes[*at].resume(),
            Step::Kill(at) => self.processes[*at].kill(),
            Step::KillAt(at, point) => {
                self.processes[*at].kill();
                self.start_process(*at, Some(point));
            }
            Step::Start(at) => self.start_if_ended(*at),
            Step::StartEmpty(at) => {
                self.processes[*at].kill();
                self.processes[*at].remove_data(self.disk);
                self.start_if_ended(*at);
            }
            Step::Await(condition) => crate::until(condition, || holds(self, condition).then_some(())),
            link_step => self.apply_to_links(link_step),
        }
    }

    fn apply_to_links(&self, step: &Step) {
        match step {
            Step::Cut(a, b) => self.cut(*a, *b),
            Step::Hold(from, to) => self.set_pace(*from, *to, Pace::Hold),
            Step::Delay(from, to, ms) => self.set_pace(*from, *to, Pace::Delay(*ms)),
            Step::Trickle(from, to, bytes) => self.set_pace(*from, *to, Pace::Trickle(*bytes)),
            Step::Reset(from, to, bytes) => {
                for LinkDirection { link, direction } in self.ways(*from, *to) {
                    link.reset_after(direction, *bytes);
                }
            }
            Step::HalfClose(from, to) => {
                for LinkDirection { link, direction } in self.ways(*from, *to) {
                    link.half_close(direction);
                }
            }
            Step::Duplicate(from, to) => self.links[&(*from, *to)].set_duplicate(true),
            Step::Heal(a, b) => {
                self.links[&(*a, *b)].heal();
                self.links[&(*b, *a)].heal();
            }
            Step::HealAll => self.heal(),
            _ => unreachable!("{step} is not a step of links"),
        }
    }

    fn start_if_ended(&mut self, at: usize) {
        if !self.processes[at].is_running() {
            self.processes[at].kill();
            self.start_process(at, None);
        }
    }
}

/// A link from each process to each other one.
fn start_links(count: usize) -> BTreeMap<(usize, usize), Relay> {
    let mut links = BTreeMap::new();
    for from in 0..count {
        for to in (0..count).filter(|to| *to != from) {
            links.insert((from, to), Relay::start().expect("a port"));
        }
    }
    links
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder); // a test leaves nothing
    }
}
