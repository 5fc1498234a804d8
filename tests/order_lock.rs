//! Locks of order keys between processes. Separate instances on one file stand for processes: the kernel treats
//! each open file description as an owner of its own.

#[allow(dead_code)]
#[path = "../src/order_lock/mod.rs"]
mod order_lock;

use dahliaspoke::policy::{OrderLock, RequestId};
use order_lock::queue::TicketQueue;
use order_lock::ticket::{KeyRange, TicketTime};
use order_lock::OrderLocks;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const PROCESSES: usize = 3;
/// Longer than a test takes (s).
const LONG: f64 = 100.0;
const PATIENCE: Duration = Duration::from_secs(20);

/// A folder that is removed at the end of a test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("dahliaspoke-locks-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A request that some process has received and not ended.
struct OpenRequest {
    id: RequestId,
    process: usize,
    key: usize,
    holds_lock: bool,
}

/// Processes that receive and end requests, and what they should do.
struct Model {
    folder: TemporaryFolder,
    processes: Vec<OrderLocks>,
    /// In the order of arrival.
    open: Vec<OpenRequest>,
    received: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        let folder = TemporaryFolder::new(&format!("model-{seed}"));
        let processes = (0..PROCESSES).map(|_| OrderLocks::in_folder(&folder.0)).collect();
        Self { folder, processes, open: Vec::new(), received: 0 }
    }

    fn receive(&mut self, process: usize, key: usize) {
        let id: RequestId = format!("r{}", self.received).into();
        self.received += 1;
        let lock = self.processes[process].acquire(&id, &format!("key {key}"), LONG);
        assert_ne!(lock, OrderLock::NotShared);
        self.open.push(OpenRequest { id, process, key, holds_lock: lock == OrderLock::Held });
    }

    fn poll(&mut self, process: usize) {
        let acquired = self.processes[process].poll();
        for request in &mut self.open {
            request.holds_lock |= acquired.contains(&request.id);
        }
    }

    fn end(&mut self, at: usize) {
        let request = self.open.remove(at);
        let process = &mut self.processes[request.process];
        let ticket = process.remove(&request.id).expect("it has a ticket");
        process.release(ticket);
    }

    fn kill(&mut self, process: usize) {
        self.processes[process] = OrderLocks::in_folder(&self.folder.0);
        self.open.retain(|request| request.process != process);
    }

    /// A lock is held only if no request of the key came before in another process.
    fn check_order(&self) {
        for (at, request) in self.open.iter().enumerate().filter(|(_, request)| request.holds_lock) {
            let ahead = self.open[..at].iter().find(|o| o.key == request.key && o.process != request.process);
            assert!(ahead.is_none(), "{} runs, {} came before", request.id, ahead.expect("found").id);
        }
    }

    /// Once each process has checked, the first request of each key holds its lock.
    fn check_progress(&mut self) {
        (0..PROCESSES).for_each(|process| self.poll(process));
        for (at, request) in self.open.iter().enumerate() {
            let is_first = !self.open[..at].iter().any(|other| other.key == request.key);
            assert!(request.holds_lock || !is_first, "{} is first and waits", request.id);
        }
    }
}

/// Guards against loads of one key that run at the same time, or in another order than they came, in the processes of
/// an upgrade, whichever of them ends.
#[test]
fn locks_are_held_in_the_order_of_arrival_and_die_with_their_process() {
    for seed in 0..200 {
        let (mut model, mut rng) = (Model::new(seed), Pcg64Mcg::seed_from_u64(seed));
        let mut below = |bound: usize| rng.next_u32() as usize % bound;
        for _ in 0..60 {
            match below(10) {
                0..=4 => model.receive(below(PROCESSES), below(2)),
                5..=6 => model.poll(below(PROCESSES)),
                7..=8 if !model.open.is_empty() => model.end(below(model.open.len())),
                9 if below(4) == 0 => model.kill(below(PROCESSES)),
                _ => {}
            }
            model.check_order();
        }
        model.check_progress();
        model.check_order();
    }
}

/// Guards against a ticket that gets ahead of one whose request may already run: another process has taken a later ticket
/// since the time of this one was read.
#[test]
fn ticket_is_not_taken_ahead_of_a_later_one() {
    let folder = TemporaryFolder::new("late");
    let open = || TicketQueue::open(&folder.0.join("order.lock")).expect("opened");
    let (mut slow, mut other) = (open(), open());
    let key = KeyRange::of("k");
    let early = key.next_ticket(TicketTime::from_seconds(0.0), LONG, None).expect("a ticket");
    let running = other.take(key, LONG).expect("a ticket");
    assert!(early < running && other.is_first(running).expect("checked"));
    assert!(!slow.try_take(early).expect("checked"));
    assert!(other.is_first(running).expect("checked"), "the ticket is left behind");
    let late = slow.take(key, LONG).expect("a ticket");
    assert!(late > running && !slow.is_first(late).expect("checked"));
    other.release(running).expect("released");
    assert!(slow.is_first(late).expect("checked"));
}

#[test]
fn one_process_at_a_time_holds_a_lock_that_all_compete_for() {
    const ROUNDS: usize = 5000;
    let folder = TemporaryFolder::new("contention");
    let (running, held) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let compete = |process: usize| {
        let mut locks = OrderLocks::in_folder(&folder.0);
        for round in 0..ROUNDS {
            let id: RequestId = format!("{process}.{round}").into();
            let mut holds = locks.acquire(&id, "k", LONG) == OrderLock::Held;
            while !holds {
                std::thread::yield_now();
                holds = !locks.poll().is_empty();
            }
            assert_eq!(running.fetch_add(1, Ordering::SeqCst), 0, "two run at once");
            held.fetch_add(1, Ordering::SeqCst);
            running.fetch_sub(1, Ordering::SeqCst);
            let ticket = locks.remove(&id).expect("it has a ticket");
            locks.release(ticket);
        }
    };
    let compete = &compete;
    std::thread::scope(|scope| {
        for process in 0..PROCESSES {
            scope.spawn(move || compete(process));
        }
    });
    assert_eq!(held.into_inner(), PROCESSES * ROUNDS);
}

/// Guards against a stuck process that holds a key for ever.
#[test]
fn lock_of_a_stuck_process_expires() {
    let folder = TemporaryFolder::new("stuck");
    let (mut stuck, mut other) = (OrderLocks::in_folder(&folder.0), OrderLocks::in_folder(&folder.0));
    assert_eq!(stuck.acquire(&"r1".into(), "k", 1.0), OrderLock::Held);
    assert_eq!(other.acquire(&"r2".into(), "k", LONG), OrderLock::Waiting);
    let until = Instant::now() + PATIENCE;
    while other.poll().is_empty() {
        assert!(Instant::now() < until, "the lock does not expire");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a start that fails because of what is in the folder for temporary files.
#[test]
fn file_that_cannot_be_opened_leaves_the_locks_unshared() {
    let folder = TemporaryFolder::new("foreign");
    std::fs::create_dir(folder.0.join("order.lock")).expect("a folder in its place");
    let mut locks = OrderLocks::in_folder(&folder.0);
    assert_eq!(locks.acquire(&"r1".into(), "k", LONG), OrderLock::NotShared);
    let mut locks = OrderLocks::in_folder(&folder.0.join("missing"));
    assert_eq!(locks.acquire(&"r1".into(), "k", LONG), OrderLock::NotShared);
}

/// Guards against keys that stay locked because some other program has written or locked the file.
#[test]
fn content_of_the_file_is_ignored() {
    let folder = TemporaryFolder::new("content");
    std::fs::write(folder.0.join("order.lock"), [0xff; 100]).expect("written");
    let mut locks = OrderLocks::in_folder(&folder.0);
    assert_eq!(locks.acquire(&"r1".into(), "k", LONG), OrderLock::Held);
}

#[test]
fn tickets_of_a_key_are_in_order_and_expire() {
    let key = KeyRange::of("k");
    let at = TicketTime::from_seconds;
    let first = key.next_ticket(at(50.0), 2.0, None).expect("a ticket");
    let second = key.next_ticket(at(50.0), 100.0, Some(first)).expect("a ticket");
    let later = key.next_ticket(at(50.2), 0.0, Some(second)).expect("a ticket");
    assert!(first < second && second < later);
    assert!([first, second, later].iter().all(|ticket| key.offsets().contains(&ticket.offset())));
    assert_eq!(second.key_range(), key);
    assert!(!first.is_expired(at(51.9)) && first.is_expired(at(52.1)));
    assert!(!second.is_expired(at(149.9)), "taken after the first");
    assert!(second.is_expired(at(150.1)));
    assert!(!first.is_expired(at(49.0)), "not taken yet");
    // The time in a ticket starts over after 2^33 units.
    let end_of_time = (1u64 << 33) as f64 / 100.0;
    let last = key.next_ticket(at(end_of_time - 1.0), 2.0, None).expect("a ticket");
    assert!(!last.is_expired(at(end_of_time + 0.5)) && last.is_expired(at(end_of_time + 1.5)));
}
