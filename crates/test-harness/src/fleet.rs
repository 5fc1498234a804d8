//! Processes of the program, and a link from each to each other one.

use crate::process::Process;
use crate::relay::{Pace, Relay, Way};
use crate::script::Step;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Tells fleets of one test program apart.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// What a process is given before its first start.
pub type Files = Vec<(String, String)>;

/// 3 to 24 processes. Dropped, they are killed and their folders removed.
pub struct Fleet {
    /// The processes, by position.
    pub processes: Vec<Process>,
    /// Their doors as they are now.
    pub doors: Vec<BTreeMap<&'static str, SocketAddr>>,
    /// The link that the first opens to the second's door.
    pub links: BTreeMap<(usize, usize), Relay>,
    door: &'static str,
    /// What a disk is, for `start-empty`.
    disk: &'static str,
    folder: PathBuf,
}

impl Fleet {
    /// Starts `count` processes, linked by that door. `files` gives what stands in each one's folder: it is told its
    /// position, and by position the addresses at which it reaches the others.
    ///
    /// # Panics
    /// Where a folder or a port cannot be had.
    pub fn start(
        program: &Path,
        count: usize,
        door: &'static str,
        disk: &'static str,
        files: impl Fn(usize, &BTreeMap<usize, SocketAddr>) -> Files,
    ) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("dahliaspoke-test-harness-{}-{number}", std::process::id()));
        let mut links = BTreeMap::new();
        for a in 0..count {
            for b in (0..count).filter(|b| *b != a) {
                links.insert((a, b), Relay::start().expect("a port"));
            }
        }
        let mut processes = Vec::new();
        for at in 0..count {
            let process = Process::new(program, &format!("c{at}"), &folder).expect("a folder");
            let reach = links.iter().filter(|((a, _), _)| *a == at).map(|((_, b), link)| (*b, link.address));
            for (name, text) in files(at, &reach.collect()) {
                process.file(&name, &text);
            }
            processes.push(process);
        }
        let doors = vec![BTreeMap::new(); count];
        let mut fleet = Self { processes, doors, links, door, disk, folder };
        (0..count).for_each(|at| fleet.up(at, None));
        fleet
    }

    /// Starts a process; the links to it lead to where it listens now.
    pub fn up(&mut self, at: usize, point: Option<&str>) {
        self.doors[at] = self.processes[at].start(point);
        let Some(to) = self.doors[at].get(self.door) else { return };
        for (_, link) in self.links.iter().filter(|((_, b), _)| *b == at) {
            link.lead(*to);
        }
    }

    /// Processes that run and are not stopped.
    pub fn awake(&mut self) -> Vec<usize> {
        let awake = |(at, p): (usize, &mut Process)| (p.is_running() && !p.is_stopped()).then_some(at);
        self.processes.iter_mut().enumerate().filter_map(awake).collect()
    }

    /// What one says to another goes two ways: on links that it opened, and back on those that it was opened.
    fn says(&self, a: usize, b: usize) -> [(&Relay, Way); 2] {
        [(&self.links[&(a, b)], Way::Out), (&self.links[&(b, a)], Way::Back)]
    }

    /// Sets the pace of all that one says to another.
    pub fn pace(&self, a: usize, b: usize, pace: Pace) {
        self.says(a, b).into_iter().for_each(|(link, way)| link.pace(way, pace));
    }

    /// Cuts all links between the two sides, both ways.
    pub fn split(&self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.links[&(a, b)].cut();
            self.links[&(b, a)].cut();
        }
    }

    /// Takes the faults of all links away.
    pub fn mend(&self) {
        self.links.values().for_each(Relay::mend);
    }

    /// Does a step; `is` says whether a condition holds.
    pub fn act(&mut self, step: &Step, mut is: impl FnMut(&mut Self, &str) -> bool) {
        match step {
            Step::Cut(a, b) => {
                self.links[&(*a, *b)].cut();
                self.links[&(*b, *a)].cut();
            }
            Step::Hold(a, b) => self.pace(*a, *b, Pace::Hold),
            Step::Delay(a, b, ms) => self.pace(*a, *b, Pace::Delay(*ms)),
            Step::Trickle(a, b, bytes) => self.pace(*a, *b, Pace::Trickle(*bytes)),
            Step::Reset(a, b, bytes) => {
                self.says(*a, *b).into_iter().for_each(|(l, way)| l.reset_after(way, *bytes));
            }
            Step::HalfClose(a, b) => self.says(*a, *b).into_iter().for_each(|(l, way)| l.half_close(way)),
            Step::Double(a, b) => self.links[&(*a, *b)].double(true),
            Step::Mend(a, b) => {
                self.links[&(*a, *b)].mend();
                self.links[&(*b, *a)].mend();
            }
            Step::MendAll => self.mend(),
            Step::Stop(p) => self.processes[*p].stop(),
            Step::GoOn(p) => self.processes[*p].go_on(),
            Step::Kill(p) => self.processes[*p].kill(),
            Step::KillAt(p, point) => {
                self.processes[*p].kill();
                self.up(*p, Some(point));
            }
            Step::Start(p) | Step::StartEmpty(p) => {
                if matches!(step, Step::StartEmpty(_)) {
                    self.processes[*p].kill();
                    self.processes[*p].forget(self.disk);
                }
                if !self.processes[*p].is_running() {
                    self.processes[*p].kill();
                    self.up(*p, None);
                }
            }
            Step::Await(what) => crate::until(what, || is(self, what).then_some(())),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder); // a test leaves nothing
    }
}
