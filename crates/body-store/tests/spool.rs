//! The spool over disks that fail on purpose. No verdict hangs on how long something takes: the test's own
//! clock says when a call hangs, and the disk waits for the test.

use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const MB: u64 = 1 << 20;
const PACE: Pace = Pace { hangs: 2.0, again: 1.0 };

/// A disk in memory that does what the test wants.
#[derive(Default)]
struct Faulty {
    slots: Mutex<HashMap<u32, Vec<u8>>>,
    /// Bytes that it still takes; the write that goes past them is cut short.
    room: AtomicU64,
    full: AtomicBool,
    /// Reads fail.
    unreadable: AtomicBool,
    /// Reads bring one wrong bit.
    flips: AtomicBool,
    /// Calls wait while this is set.
    hangs: Mutex<bool>,
    go: Condvar,
    ended: AtomicU64,
}

impl Faulty {
    fn wait(&self) {
        let mut hangs = self.hangs.lock().expect("held");
        while *hangs {
            hangs = self.go.wait(hangs).expect("held");
        }
    }

    fn hang(&self, hangs: bool) {
        *self.hangs.lock().expect("held") = hangs;
        self.go.notify_all();
    }
}

impl ChunkStorage for Faulty {
    fn write(&self, _: u64, slot: u32, bytes: &[u8]) -> io::Result<()> {
        self.wait();
        if self.full.load(Ordering::SeqCst) {
            let room = self.room.load(Ordering::SeqCst) as usize;
            let taken = room.min(bytes.len());
            self.room.fetch_sub(taken as u64, Ordering::SeqCst);
            self.slots.lock().expect("held").insert(slot, bytes[..taken].to_vec());
            if taken < bytes.len() {
                return Err(io::Error::from_raw_os_error(28)); // ENOSPC after a short write
            }
            return Ok(());
        }
        self.slots.lock().expect("held").insert(slot, bytes.to_vec());
        Ok(())
    }

    fn read(&self, _: u64, slot: u32, buffer: &mut [u8]) -> io::Result<()> {
        self.wait();
        if self.unreadable.load(Ordering::SeqCst) {
            return Err(io::Error::from_raw_os_error(5)); // EIO
        }
        let slots = self.slots.lock().expect("held");
        let held = slots.get(&slot).filter(|held| held.len() >= buffer.len());
        buffer.copy_from_slice(&held.ok_or(io::ErrorKind::UnexpectedEof)?[..buffer.len()]);
        if self.flips.load(Ordering::SeqCst) {
            let middle = buffer.len() / 2;
            buffer[middle] ^= 1;
        }
        Ok(())
    }

    fn release(&self, _: u64, slots: &[u32]) {
        let mut held = self.slots.lock().expect("held");
        slots.iter().for_each(|slot| drop(held.remove(slot)));
        self.ended.fetch_add(1, Ordering::SeqCst);
    }
}

struct World {
    spool: BodyStore,
    disk: Arc<Faulty>,
    now: f64,
}

fn budgets(memory_bytes: u64) -> Budgets {
    let class = |repeatable, pass_through| ClassLimits {
        repeatable,
        priority_weight: 1.0,
        memory_share: 1.0,
        file_share: 1.0,
        max_bytes: 64 * MB,
        pass_through,
    };
    let classes = vec![class(true, true), class(false, false)];
    Budgets { memory_bytes, file_bytes: 64 * MB, window_chunks: 32, classes }
}

fn world(memory: u64) -> World {
    let disk = Arc::new(Faulty::default());
    let spool = BodyStore::new(budgets(memory), PACE, Some(disk.clone()), 2).expect("a descriptor");
    World { spool, disk, now: 0.0 }
}

fn pattern(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

impl World {
    /// Lets the disk do what it has been asked for, as long as it does.
    fn turn(&mut self) {
        std::thread::sleep(Duration::from_micros(200));
        self.spool.on_ready(self.now);
        self.spool.on_timer(self.now);
    }

    fn admit(&mut self, class: usize, length: usize) -> Result<(Body, Tier), Refusal> {
        self.spool.admit(self.now, class, length as u64, self.now + 10.0)
    }

    /// Sends bytes until all are taken or one of these wakes comes.
    fn send(&mut self, body: &Body, mut bytes: &[u8]) -> Option<Wake> {
        loop {
            let room = self.spool.room(body.id()).min(bytes.len());
            self.spool.push(self.now, body.id(), &bytes[..room]);
            bytes = &bytes[room..];
            while let Some(wake) = self.spool.take() {
                if matches!(wake, Wake::Kept(id) | Wake::Passed(id) | Wake::Lost(id) if id == body.id()) {
                    return Some(wake);
                }
            }
            let passed = self.spool.plan().body(body.id()).is_some_and(|b| b.tier == Tier::Passed);
            if bytes.is_empty() && passed || room == 0 && self.is_stuck() {
                return None;
            }
            if room == 0 || bytes.is_empty() {
                self.turn();
            }
        }
    }

    fn is_stuck(&self) -> bool {
        *self.disk.hangs.lock().expect("held")
    }

    fn read(&mut self, body: &Body) -> Result<Vec<u8>, Vec<u8>> {
        let reader = self.spool.reader(self.now, body).ok_or_else(Vec::new)?;
        let mut out = Vec::new();
        loop {
            match self.spool.pull(self.now, &reader) {
                Pull::Bytes(bytes) => out.extend_from_slice(&bytes),
                Pull::End => return Ok(out),
                Pull::Lost => return Err(out),
                Pull::Wait => self.turn(),
            }
        }
    }

    fn is_empty(&self) -> bool {
        let plan = self.spool.plan();
        plan.used() == UsedBytes::default() && plan.windows() == UsedWindows::default()
    }

    /// Nothing is left, on the disk or here, once what was asked for is done.
    fn settle(&mut self) {
        for _ in 0..50_000 {
            self.turn();
            if self.is_empty() && self.spool.is_idle() {
                break;
            }
        }
        assert_eq!(self.disk.slots.lock().expect("held").len(), 0, "left on the disk");
        assert_eq!(self.spool.plan().used(), UsedBytes::default());
        assert_eq!(self.spool.plan().windows(), UsedWindows::default());
        assert_eq!(self.spool.resident_bytes(), 0);
    }
}

#[test]
fn what_goes_to_a_file_comes_back_as_it_was_as_often_as_wanted() {
    let mut world = world(MB);
    let text = pattern(1, 5 * MB as usize + 17);
    let (body, tier) = world.admit(0, text.len()).expect("room");
    assert_eq!(tier, Tier::File);
    assert_eq!(world.send(&body, &text), Some(Wake::Kept(body.id())));
    assert_eq!(world.spool.resident_bytes(), 0, "all of it is in the file");
    for _ in 0..3 {
        assert!(world.read(&body) == Ok(text.clone()));
    }
    assert_eq!(world.spool.figures()[0].replayed, 2);
    drop(body);
    world.settle();
}

#[test]
fn two_attempts_replay_one_body_at_once() {
    let mut world = world(MB);
    let text = pattern(2, 3 * MB as usize);
    let (body, _) = world.admit(0, text.len()).expect("room");
    world.send(&body, &text);
    let readers: Vec<Reader> = (0..2).map(|_| world.spool.reader(0.0, &body).expect("here")).collect();
    let mut got = [Vec::new(), Vec::new()];
    // One goes three times as fast as the other.
    let mut ended = [false; 2];
    for turn in 0.. {
        let at = usize::from(turn % 4 == 3);
        match world.spool.pull(0.0, &readers[at]) {
            Pull::Bytes(bytes) => got[at].extend_from_slice(&bytes),
            Pull::End => ended[at] = true,
            Pull::Wait => world.turn(),
            Pull::Lost => panic!("lost"),
        }
        assert!(
            world.spool.resident_bytes() <= (2 * REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
            "each holds a window at most"
        );
        if ended == [true; 2] {
            break;
        }
    }
    assert!(got[0] == text && got[1] == text);
    drop((body, readers));
    world.spool.on_timer(0.0);
    world.settle();
}

#[test]
fn a_disk_that_fills_lets_what_is_coming_pass_and_keeps_what_is_whole() {
    let mut world = world(MB);
    let (whole, coming) = (pattern(3, 2 * MB as usize), pattern(4, 4 * MB as usize));
    let (kept, _) = world.admit(0, whole.len()).expect("room");
    assert_eq!(world.send(&kept, &whole), Some(Wake::Kept(kept.id())));
    world.disk.room.store(MB + 1000, Ordering::SeqCst);
    world.disk.full.store(true, Ordering::SeqCst);
    let (body, tier) = world.admit(0, coming.len()).expect("room");
    assert_eq!(tier, Tier::File);
    assert_eq!(world.send(&body, &coming), Some(Wake::Passed(body.id())));
    // It is passed on from its start: what is in the file first, then what comes.
    let reader = world.spool.reader(0.0, &body).expect("all of it is here so far");
    let sent = world.spool.plan().body(body.id()).is_some_and(|b| !b.complete);
    assert!(sent, "it had not come whole");
    let mut at = coming.len() - (coming.len() as u64 - came(&world, &body)) as usize;
    let (mut out, mut spent) = (Vec::new(), false);
    loop {
        let room = world.spool.room(body.id()).min(coming.len() - at);
        world.spool.push(0.0, body.id(), &coming[at..at + room]);
        at += room;
        match world.spool.pull(0.0, &reader) {
            Pull::Bytes(bytes) => out.extend_from_slice(&bytes),
            Pull::End => break,
            Pull::Wait => world.turn(),
            Pull::Lost => panic!("lost"),
        }
        while let Some(wake) = world.spool.take() {
            spent |= wake == Wake::Spent(body.id());
        }
        assert!(world.spool.resident_bytes() <= (PASSED_WINDOW_CHUNKS * CHUNK_BYTES) as u64);
    }
    assert!(out == coming, "not altered");
    assert!(spent, "the caller is told that it cannot be repeated");
    drop(reader);
    assert!(world.spool.reader(0.0, &body).is_none(), "and it cannot");
    assert!(world.read(&kept) == Ok(whole), "what was whole is still there");
    assert_eq!(world.spool.figures()[0].dropped, 1);
    // Files are left alone for a while; then tried again.
    assert_eq!(world.admit(0, MB as usize).map(|b| b.1), Ok(Tier::Passed));
    world.now += PACE.again;
    world.disk.full.store(false, Ordering::SeqCst);
    assert_eq!(world.admit(0, MB as usize).map(|b| b.1), Ok(Tier::File));
    drop((body, kept));
    world.spool.on_timer(world.now);
    world.settle();
}

/// Bytes of a body that came, from what its room and state tell.
fn came(world: &World, body: &Body) -> u64 {
    world.spool.came(body.id())
}

#[test]
fn the_real_full_device_is_met_the_same_way() {
    let file = std::fs::OpenOptions::new().read(true).write(true).open("/dev/full").expect("it is there");
    let store = Arc::new(SegmentFile::from_file(file));
    let mut spool = BodyStore::new(budgets(MB), PACE, Some(store), 2).expect("a descriptor");
    let (body, tier) = spool.admit(0.0, 0, MB, 9.0).expect("room");
    assert_eq!(tier, Tier::File);
    spool.push(0.0, body.id(), &pattern(5, CHUNK_BYTES));
    let wake = loop {
        spool.on_ready(0.0);
        match spool.take() {
            Some(wake @ Wake::Passed(_)) => break wake,
            _ => std::thread::sleep(Duration::from_micros(200)),
        }
    };
    assert_eq!(wake, Wake::Passed(body.id()));
    let reader = spool.reader(0.0, &body).expect("all of it is here");
    assert!(spool.pull(0.0, &reader) == Pull::Bytes(Arc::new(pattern(5, CHUNK_BYTES))));
}

#[test]
fn a_class_that_is_not_passed_on_is_lost_before_anything_ran() {
    let mut world = world(MB);
    world.disk.full.store(true, Ordering::SeqCst);
    let text = pattern(6, MB as usize);
    let (body, _) = world.admit(1, text.len()).expect("room");
    assert_eq!(world.send(&body, &text), Some(Wake::Lost(body.id())));
    assert!(world.spool.reader(0.0, &body).is_none());
}

#[test]
fn a_write_that_hangs_holds_nobody_up() {
    let mut world = world(MB);
    world.disk.hang(true);
    let text = pattern(7, 2 * MB as usize);
    let (body, _) = world.admit(0, text.len()).expect("room");
    assert_eq!(world.send(&body, &text), None, "its sender waits");
    assert_eq!(
        world.spool.resident_bytes(),
        (FILE_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
        "one chunk waits for the disk beside the next"
    );
    assert!(world.spool.next().is_some_and(|at| at == PACE.hangs));
    world.now = PACE.hangs;
    world.spool.on_timer(world.now);
    assert_eq!(world.spool.take(), Some(Wake::Lost(body.id())), "it is given up: nothing ran");
    drop(body);
    // While it hangs, others pass it by.
    assert_eq!(world.admit(0, 100_000).map(|b| b.1), Ok(Tier::Memory));
    assert_eq!(world.admit(0, 2 * MB as usize).map(|b| b.1), Ok(Tier::Passed));
    world.disk.hang(false);
    world.settle();
}

#[test]
fn a_flipped_bit_or_an_unreadable_disk_is_never_handed_on() {
    for flips in [true, false] {
        let mut world = world(MB);
        let text = pattern(8, 2 * MB as usize);
        let (body, _) = world.admit(0, text.len()).expect("room");
        world.send(&body, &text);
        world.disk.flips.store(flips, Ordering::SeqCst);
        world.disk.unreadable.store(!flips, Ordering::SeqCst);
        let got = world.read(&body).expect_err("lost");
        assert!(text.starts_with(&got), "what went out before was good");
        assert_eq!(world.spool.figures()[0].corrupt, 1);
        let mut wakes = std::iter::from_fn(|| world.spool.take());
        assert!(wakes.any(|wake| wake == Wake::Spent(body.id())));
        assert!(world.spool.reader(0.0, &body).is_none(), "and not tried again");
    }
}

#[test]
fn memory_that_runs_full_moves_bodies_to_files_and_a_failed_move_leaves_them() {
    let mut world = world(4 * MB);
    let texts: Vec<Vec<u8>> = (0..4).map(|n| pattern(10 + n, MB as usize)).collect();
    let bodies: Vec<Body> = texts
        .iter()
        .map(|text| {
            let (body, tier) = world.admit(0, text.len()).expect("room");
            assert_eq!(tier, Tier::Memory);
            assert_eq!(world.send(&body, text), Some(Wake::Kept(body.id())));
            body
        })
        .collect();
    while world.spool.plan().used() != (UsedBytes { memory: 3 * MB, file: MB }) {
        world.turn();
    }
    assert_eq!(world.spool.figures()[0].demoted, 1);
    // The next move fails: that body stays where it was.
    world.disk.full.store(true, Ordering::SeqCst);
    let more = pattern(20, MB as usize);
    let (last, tier) = world.admit(0, more.len()).expect("room");
    assert_eq!(tier, Tier::Memory);
    assert_eq!(world.send(&last, &more), Some(Wake::Kept(last.id())));
    while world.spool.plan().used() != (UsedBytes { memory: 4 * MB, file: MB }) {
        world.turn();
    }
    for (body, text) in bodies.iter().chain([&last]).zip(texts.iter().chain([&more])) {
        assert!(world.read(body).as_ref() == Ok(text));
    }
    drop((bodies, last));
    world.spool.on_timer(0.0);
    world.settle();
}

#[test]
fn replays_wait_their_turn_for_a_window() {
    let mut world = world(MB);
    let text = pattern(30, MB as usize);
    let (body, _) = world.admit(0, text.len()).expect("room");
    world.send(&body, &text);
    let readers: Vec<Reader> = (0..9).map(|_| world.spool.reader(0.0, &body).expect("here")).collect();
    assert_eq!(world.spool.plan().windows(), UsedWindows { arrivals: 0, replays: 8 * REPLAY_WINDOW_CHUNKS });
    assert_eq!(world.spool.pull(0.0, &readers[8]), Pull::Wait);
    let last = readers[8].id;
    let mut readers = readers;
    readers.remove(0);
    world.spool.on_timer(0.0);
    let wakes: Vec<Wake> = std::iter::from_fn(|| world.spool.take()).collect();
    assert!(wakes.contains(&Wake::Data(last)), "{wakes:?}");
    assert_ne!(world.spool.pull(0.0, &readers[7]), Pull::Lost);
}

#[test]
fn a_folder_holds_nothing_once_it_is_open_and_is_cleaned_of_what_a_crash_left() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("body-4711-0"), b"left behind").expect("written");
    let held = StorageFolder::open(folder.path()).expect("a folder");
    let names = || -> Vec<String> {
        let entries = std::fs::read_dir(folder.path()).expect("readable");
        entries.map(|e| e.expect("readable").file_name().to_string_lossy().into_owned()).collect()
    };
    assert_eq!(names(), ["bodies.lock"]);
    let segment = SegmentFile::open(held).expect("a file");
    segment.write(1, 3, b"abc").expect("written");
    let mut back = [0; 3];
    segment.read(1, 3, &mut back).expect("read");
    assert_eq!((&back, names()), (b"abc", vec!["bodies.lock".into()]));
    // Another process that lives must not lose what it has between two calls.
    std::fs::write(folder.path().join("body-4712-0"), b"").expect("written");
    StorageFolder::open(folder.path()).expect("beside the first");
    assert_eq!(names().len(), 2);
}

#[test]
fn a_body_of_unknown_length_takes_what_it_needs_and_gives_back_the_rest() {
    let mut world = world(MB);
    let text = pattern(40, 5 * MB as usize + 3);
    let body = world.spool.admit_open(0.0, 0, 9.0).expect("room");
    let mut rest = &text[..];
    while !rest.is_empty() {
        let room = world.spool.room(body.id()).min(rest.len());
        world.spool.push(0.0, body.id(), &rest[..room]);
        rest = &rest[room..];
        world.turn();
    }
    assert!(world.spool.reader(0.0, &body).is_none(), "it may go on");
    assert_eq!(world.spool.plan().used(), UsedBytes { memory: 0, file: 8 * MB });
    world.spool.end(0.0, body.id());
    assert_eq!(world.spool.plan().used(), UsedBytes { memory: 0, file: text.len() as u64 });
    while !std::iter::from_fn(|| world.spool.take()).any(|wake| wake == Wake::Kept(body.id())) {
        world.turn();
    }
    assert!(world.read(&body) == Ok(text));
    drop(body);
    // One that outgrows its class is lost, before anything ran.
    let (body, mut wakes) = (world.spool.admit_open(0.0, 0, 9.0).expect("room"), Vec::new());
    while wakes.is_empty() {
        let room = world.spool.room(body.id());
        world.spool.push(0.0, body.id(), &vec![0; room]);
        world.turn();
        wakes.extend(std::iter::from_fn(|| world.spool.take()).filter(|wake| *wake == Wake::Lost(body.id())));
    }
    assert_eq!(world.spool.figures()[0].rejected + world.spool.figures()[0].too_large, 1);
    drop(body);
    world.spool.on_timer(0.0);
    world.settle();
}

#[derive(Clone, Debug)]
enum Step {
    Admit(usize, bool),
    Push(usize, usize),
    Read(usize),
    Pull(usize, usize),
    Stop(usize),
    Drop(usize),
    Full(bool),
    Turn,
    Later,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..900_000usize, any::<bool>()).prop_map(|(length, open)| Step::Admit(length, open)),
        8 => (any::<usize>(), 1..300_000usize).prop_map(|(at, count)| Step::Push(at, count)),
        3 => any::<usize>().prop_map(Step::Read),
        8 => (any::<usize>(), 1..8usize).prop_map(|(at, count)| Step::Pull(at, count)),
        1 => any::<usize>().prop_map(Step::Stop),
        1 => any::<usize>().prop_map(Step::Drop),
        1 => any::<bool>().prop_map(Step::Full),
        6 => Just(Step::Turn),
        1 => Just(Step::Later),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Against the plainest model, the bytes themselves: whatever a reader gets is the start of what was sent,
    /// to the byte, and nothing is left at the end.
    #[test]
    fn readers_get_what_was_sent_and_nothing_else(steps in steps()) {
        let mut world = world(2 * MB);
        let mut bodies: Vec<(Body, Vec<u8>, usize)> = Vec::new();
        let mut readers: Vec<(Reader, Vec<u8>, usize)> = Vec::new();
        for (seed, step) in steps.into_iter().enumerate() {
            match step {
                Step::Admit(length, open) => {
                    let taken = if open { world.spool.admit_open(world.now, 0, world.now + 10.0).ok() } else { world.admit(0, length).ok().map(|taken| taken.0) };
                    bodies.extend(taken.map(|body| (body, pattern(seed as u64, length), 0)));
                }
                Step::Push(at, count) if !bodies.is_empty() => {
                    let at = at % bodies.len();
                    let (body, text, sent) = &mut bodies[at];
                    let count = count.min(world.spool.room(body.id())).min(text.len() - *sent);
                    world.spool.push(world.now, body.id(), &text[*sent..*sent + count]);
                    *sent += count;
                    if *sent == text.len() {
                        world.spool.end(world.now, body.id()); // nothing where the length was known
                    }
                }
                Step::Read(at) if !bodies.is_empty() => {
                    let at = at % bodies.len();
                    let (body, ..) = &bodies[at];
                    if let Some(reader) = world.spool.reader(world.now, body) {
                        readers.push((reader, bodies[at].1.clone(), 0));
                    }
                }
                Step::Pull(at, count) if !readers.is_empty() => {
                    let at = at % readers.len();
                    for _ in 0..count {
                        let (reader, text, got) = &mut readers[at];
                        match world.spool.pull(world.now, reader) {
                            Pull::Bytes(bytes) => {
                                prop_assert!(text[*got..].starts_with(&bytes), "altered at {got}");
                                *got += bytes.len();
                            }
                            Pull::End => prop_assert_eq!(*got, text.len()),
                            Pull::Wait | Pull::Lost => {}
                        }
                    }
                }
                Step::Stop(at) if !readers.is_empty() => drop(readers.swap_remove(at % readers.len())),
                Step::Drop(at) if !bodies.is_empty() => drop(bodies.swap_remove(at % bodies.len())),
                Step::Full(full) => world.disk.full.store(full, Ordering::SeqCst),
                Step::Later => world.now += 0.6,
                _ => world.turn(),
            }
            let windows = world.spool.plan().windows();
            // What has fallen is read back from its file in the window that it came with.
            let fallen = world.spool.figures()[0].held_bodies.passed * (REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64;
            let bound = 2 * MB + ((windows.arrivals + windows.replays) * CHUNK_BYTES) as u64 + fallen;
            prop_assert!(world.spool.resident_bytes() <= bound, "{} over {bound}", world.spool.resident_bytes());
        }
        drop((bodies, readers));
        world.spool.on_timer(world.now);
        world.settle();
    }
}
