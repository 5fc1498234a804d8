//! A store over a disk that fails on purpose.

use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

pub const MB: u64 = 1 << 20;
pub const TIMING: Timing = Timing { write_timeout: 2.0, file_retry_delay: 1.0 };

/// A disk in memory that does what the test wants.
#[derive(Default)]
pub struct FaultyDisk {
    pub slots: Mutex<HashMap<u32, Vec<u8>>>,
    /// Bytes that it still takes; the write that goes past them is cut short.
    pub room: AtomicU64,
    pub full: AtomicBool,
    /// Reads fail.
    pub unreadable: AtomicBool,
    /// Reads bring one wrong bit.
    pub flips: AtomicBool,
    /// Calls wait while this is set.
    hangs: Mutex<bool>,
    go: Condvar,
    ended: AtomicU64,
}

impl FaultyDisk {
    fn wait(&self) {
        let mut hangs = self.hangs.lock().expect("held");
        while *hangs {
            hangs = self.go.wait(hangs).expect("held");
        }
    }

    /// Makes calls wait, or lets them go on.
    pub fn hang(&self, hangs: bool) {
        *self.hangs.lock().expect("held") = hangs;
        self.go.notify_all();
    }
}

impl ChunkStorage for FaultyDisk {
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

/// A store over a [`FaultyDisk`], with the test's own clock.
pub struct Fixture {
    pub store: BodyStore,
    pub disk: Arc<FaultyDisk>,
    /// Seconds on the test's clock.
    pub now: f64,
}

/// Two classes: one that is repeatable and may be passed on, and one that is neither.
pub fn budgets(memory_bytes: u64) -> Budgets {
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

/// A store with that much memory (bytes) and two I/O threads.
pub fn fixture(memory: u64) -> Fixture {
    let disk = Arc::new(FaultyDisk::default());
    let store = BodyStore::new(budgets(memory), TIMING, Some(disk.clone()), 2).expect("a descriptor");
    Fixture { store, disk, now: 0.0 }
}

/// The same bytes for the same seed.
pub fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

impl Fixture {
    /// Lets the disk do what it has been asked for, as long as it does.
    pub fn run_io(&mut self) {
        std::thread::sleep(Duration::from_micros(200));
        self.store.on_ready(self.now);
        self.store.on_timer(self.now);
    }

    pub fn admit(&mut self, class: usize, length: usize) -> Result<(Body, Tier), Rejection> {
        self.store.admit(self.now, class, length as u64, self.now + 10.0)
    }

    /// Sends bytes until all are taken, or until the body is kept, passed on or lost; returns that event.
    pub fn send(&mut self, body: &Body, mut bytes: &[u8]) -> Option<BodyEvent> {
        loop {
            let room = self.store.capacity(body.id()).min(bytes.len());
            self.store.append(self.now, body.id(), &bytes[..room]);
            bytes = &bytes[room..];
            while let Some(wake) = self.store.next_event() {
                if matches!(wake, BodyEvent::Stored(id) | BodyEvent::PassedThrough(id) | BodyEvent::Lost(id) if id == body.id())
                {
                    return Some(wake);
                }
            }
            let passed = self.store.plan().body(body.id()).is_some_and(|b| b.tier == Tier::PassThrough);
            if bytes.is_empty() && passed || room == 0 && self.is_stuck() {
                return None;
            }
            if room == 0 || bytes.is_empty() {
                self.run_io();
            }
        }
    }

    fn is_stuck(&self) -> bool {
        *self.disk.hangs.lock().expect("held")
    }

    /// Reads a body from its start. If it is lost meanwhile, what was read is the error.
    pub fn read(&mut self, body: &Body) -> Result<Vec<u8>, Vec<u8>> {
        let reader = self.store.open_reader(self.now, body).ok_or_else(Vec::new)?;
        let mut out = Vec::new();
        loop {
            match self.store.read(self.now, &reader) {
                ReadOutcome::Bytes(bytes) => out.extend_from_slice(&bytes),
                ReadOutcome::End => return Ok(out),
                ReadOutcome::Lost => return Err(out),
                ReadOutcome::NotReady => self.run_io(),
            }
        }
    }

    fn is_empty(&self) -> bool {
        let plan = self.store.plan();
        plan.used() == UsedBytes::default() && plan.windows() == UsedWindows::default()
    }

    /// Nothing is left, on the disk or here, once what was asked for is done.
    pub fn assert_all_released(&mut self) {
        for _ in 0..50_000 {
            self.run_io();
            if self.is_empty() && self.store.is_idle() {
                break;
            }
        }
        assert_eq!(self.disk.slots.lock().expect("held").len(), 0, "left on the disk");
        assert_eq!(self.store.plan().used(), UsedBytes::default());
        assert_eq!(self.store.plan().windows(), UsedWindows::default());
        assert_eq!(self.store.resident_bytes(), 0);
    }
}
