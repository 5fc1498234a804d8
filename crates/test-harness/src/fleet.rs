//! A set of processes of the program, with a link from each to every other.

use crate::process::{Addresses, Process};
use crate::relay::{Direction, Pace, Relay};
use crate::script::Step;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of the next fleet of this test program; keeps the folders of fleets distinct.
static NEXT_FLEET: AtomicUsize = AtomicUsize::new(0);

/// The files written before the first start of a process: names and contents.
pub type Files = Vec<(String, String)>;

/// 3 to 24 processes. Dropping the fleet kills them and removes their folders.
pub struct Fleet {
    /// The processes, by position.
    pub processes: Vec<Process>,
    /// The current addresses of their listeners, by position.
    pub addresses: Vec<Addresses>,
    /// The links by `(from, to)`: each carries the connections that `from` opens to `to`.
    pub links: BTreeMap<(usize, usize), Relay>,
    /// The name of the listener that the links connect to.
    linked_listener: &'static str,
    /// The file or folder that serves as the disk of a process; [`Step::StartEmpty`] removes it.
    disk: &'static str,
    folder: PathBuf,
}

/// One direction of a link.
struct LinkDirection<'a> {
    link: &'a Relay,
    direction: Direction,
}

impl Fleet {
    /// Starts `count` processes whose links connect to `linked_listener`. `files` returns the files for the
    /// folder of a process, given its position and the addresses, by position, at which it reaches the
    /// others.
    ///
    /// # Panics
    /// If a folder cannot be created or a port cannot be bound.
    pub fn start(
        program: &Path,
        count: usize,
        linked_listener: &'static str,
        disk: &'static str,
        files: impl Fn(usize, &BTreeMap<usize, SocketAddr>) -> Files,
    ) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("dahliaspoke-test-harness-{}-{number}", std::process::id()));
        let links = start_links(count);
        let mut processes = Vec::new();
        for position in 0..count {
            let process = Process::new(program, &format!("c{position}"), &folder).expect("a folder");
            let own_links = links.iter().filter(|((from, _), _)| *from == position);
            let peer_addresses = own_links.map(|((_, to), link)| (*to, link.address)).collect();
            for (name, text) in files(position, &peer_addresses) {
                process.write_file(&name, &text);
            }
            processes.push(process);
        }
        let addresses = vec![Addresses::new(); count];
        let mut fleet = Self { processes, addresses, links, linked_listener, disk, folder };
        for position in 0..count {
            fleet.start_process(position, None);
        }
        fleet
    }

    /// Starts a process, optionally with a kill point, and points the links to it at its new address.
    pub fn start_process(&mut self, position: usize, kill_point: Option<&str>) {
        self.addresses[position] = self.processes[position].start(kill_point);
        let Some(address) = self.addresses[position].get(self.linked_listener) else { return };
        for (_, link) in self.links.iter().filter(|((_, to), _)| *to == position) {
            link.set_target(*address);
        }
    }

    /// Positions of the processes that are running and not suspended.
    pub fn running(&mut self) -> Vec<usize> {
        let running = |(position, process): (usize, &mut Process)| {
            (process.is_running() && !process.is_suspended()).then_some(position)
        };
        self.processes.iter_mut().enumerate().filter_map(running).collect()
    }

    /// The link directions that carry bytes from one process to another: outbound on its own connections, and
    /// back on the connections that were opened to it.
    fn link_directions(&self, from: usize, to: usize) -> [LinkDirection<'_>; 2] {
        [
            LinkDirection { link: &self.links[&(from, to)], direction: Direction::Out },
            LinkDirection { link: &self.links[&(to, from)], direction: Direction::Back },
        ]
    }

    /// Sets the pace of everything that one process sends to another.
    pub fn set_pace(&self, from: usize, to: usize, pace: Pace) {
        for LinkDirection { link, direction } in self.link_directions(from, to) {
            link.set_pace(direction, pace);
        }
    }

    /// Cuts the links between two processes, in both directions.
    fn cut(&self, one: usize, other: usize) {
        self.links[&(one, other)].cut();
        self.links[&(other, one)].cut();
    }

    /// Cuts all links between the two groups, in both directions.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.cut(a, b);
        }
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.links.values().for_each(Relay::heal);
    }

    /// Applies a step of a script; `holds` evaluates a named condition.
    pub fn apply(&mut self, step: &Step, mut holds: impl FnMut(&mut Self, &str) -> bool) {
        match step {
            Step::Suspend(position) => self.processes[*position].suspend(),
            Step::Resume(position) => self.processes[*position].resume(),
            Step::Kill(position) => self.processes[*position].kill(),
            Step::KillAt(position, point) => {
                self.processes[*position].kill();
                self.start_process(*position, Some(point));
            }
            Step::Start(position) => self.start_if_ended(*position),
            Step::StartEmpty(position) => {
                self.processes[*position].kill();
                self.processes[*position].remove_data(self.disk);
                self.start_if_ended(*position);
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
                for LinkDirection { link, direction } in self.link_directions(*from, *to) {
                    link.reset_after(direction, *bytes);
                }
            }
            Step::HalfClose(from, to) => {
                for LinkDirection { link, direction } in self.link_directions(*from, *to) {
                    link.half_close(direction);
                }
            }
            Step::Duplicate(from, to) => self.links[&(*from, *to)].set_duplicate(true),
            Step::Heal(a, b) => {
                self.links[&(*a, *b)].heal();
                self.links[&(*b, *a)].heal();
            }
            Step::HealAll => self.heal(),
            _ => unreachable!("{step} is not a link step"),
        }
    }

    fn start_if_ended(&mut self, position: usize) {
        if !self.processes[position].is_running() {
            self.processes[position].kill();
            self.start_process(position, None);
        }
    }
}

/// Creates a link from each process to every other.
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
        let _ = std::fs::remove_dir_all(&self.folder); // best effort: a test should leave no files behind
    }
}
