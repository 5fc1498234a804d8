//! A store on a disk with injected faults.

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

/// A disk in memory with faults that the test controls.
#[derive(Default)]
pub struct FaultyDisk {
    pub slots: Mutex<HashMap<u32, Vec<u8>>>,
    /// Bytes that can still be written while `full` is set; the write that exceeds them is cut
    /// short.
    pub available: AtomicU64,
    pub full: AtomicBool,
    /// Reads fail.
    pub unreadable: AtomicBool,
    /// Reads return one flipped bit.
    pub flips_bits: AtomicBool,
    /// Calls block while this is set.
    hangs: Mutex<bool>,
    resumed: Condvar,
    release_calls: AtomicU64,
}

impl FaultyDisk {
    fn wait(&self) {
        let mut hangs = self.hangs.lock().expect("not poisoned");
        while *hangs {
            hangs = self.resumed.wait(hangs).expect("not poisoned");
        }
    }

    /// Makes calls block, or unblocks them.
    pub fn hang(&self, hangs: bool) {
        *self.hangs.lock().expect("not poisoned") = hangs;
        self.resumed.notify_all();
    }
}

impl ChunkStorage for FaultyDisk {
    fn write(&self, _: u64, slot: u32, bytes: &[u8]) -> io::Result<()> {
        self.wait();
        if self.full.load(Ordering::SeqCst) {
            let available = self.available.load(Ordering::SeqCst) as usize;
            let accepted = available.min(bytes.len());
            self.available.fetch_sub(accepted as u64, Ordering::SeqCst);
            self.slots.lock().expect("not poisoned").insert(slot, bytes[..accepted].to_vec());
            if accepted < bytes.len() {
                return Err(io::Error::from_raw_os_error(28)); // ENOSPC after a short write
            }
            return Ok(());
        }
        self.slots.lock().expect("not poisoned").insert(slot, bytes.to_vec());
        Ok(())
    }

    fn read(&self, _: u64, slot: u32, buffer: &mut [u8]) -> io::Result<()> {
        self.wait();
        if self.unreadable.load(Ordering::SeqCst) {
            return Err(io::Error::from_raw_os_error(5)); // EIO
        }
        let slots = self.slots.lock().expect("not poisoned");
        let stored = slots.get(&slot).filter(|stored| stored.len() >= buffer.len());
        buffer.copy_from_slice(&stored.ok_or(io::ErrorKind::UnexpectedEof)?[..buffer.len()]);
        if self.flips_bits.load(Ordering::SeqCst) {
            let middle = buffer.len() / 2;
            buffer[middle] ^= 1;
        }
        Ok(())
    }

    fn release(&self, _: u64, slots: &[u32]) {
        let mut stored = self.slots.lock().expect("not poisoned");
        slots.iter().for_each(|slot| drop(stored.remove(slot)));
        self.release_calls.fetch_add(1, Ordering::SeqCst);
    }
}

/// A store on a [`FaultyDisk`], with a simulated clock.
pub struct Fixture {
    pub store: BodyStore,
    pub disk: Arc<FaultyDisk>,
    /// Time of the simulated clock (seconds).
    pub now: f64,
}

/// Two classes: one that is repeatable and may be passed through, and one that is neither.
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

/// A store with `memory` bytes of memory and two I/O threads.
pub fn fixture(memory: u64) -> Fixture {
    let disk = Arc::new(FaultyDisk::default());
    let store = BodyStore::new(budgets(memory), TIMING, Some(disk.clone()), 2).expect("a descriptor");
    Fixture { store, disk, now: 0.0 }
}

/// Random bytes, reproducible by their seed.
pub fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

impl Fixture {
    /// Gives the I/O threads time to run, then processes their completions.
    pub fn run_io(&mut self) {
        std::thread::sleep(Duration::from_micros(200));
        self.store.on_ready(self.now);
        self.store.on_timer(self.now);
    }

    pub fn admit(&mut self, class: usize, length: usize) -> Result<(Body, Tier), Rejection> {
        self.store.admit(self.now, class, length as u64, self.now + 10.0)
    }

    /// Sends bytes until all are accepted, or until the body is stored, passed through or lost;
    /// returns that event. Returns `None` if it has to wait for a hanging disk, or if a body that
    /// is passed through accepted all bytes.
    pub fn send(&mut self, body: &Body, mut bytes: &[u8]) -> Option<BodyEvent> {
        loop {
            let available = self.store.capacity(body.id()).min(bytes.len());
            self.store.append(self.now, body.id(), &bytes[..available]);
            bytes = &bytes[available..];
            while let Some(event) = self.store.next_event() {
                if matches!(event, BodyEvent::Stored(id) | BodyEvent::FellBackToPassThrough(id) | BodyEvent::Lost(id) if id == body.id())
                {
                    return Some(event);
                }
            }
            let passed_through =
                self.store.plan().body(body.id()).is_some_and(|b| b.tier == Tier::PassThrough);
            if bytes.is_empty() && passed_through || available == 0 && self.is_hanging() {
                return None;
            }
            if available == 0 || bytes.is_empty() {
                self.run_io();
            }
        }
    }

    fn is_hanging(&self) -> bool {
        *self.disk.hangs.lock().expect("not poisoned")
    }

    /// Reads a body from its start. If the body is lost meanwhile, the error contains what was
    /// read.
    pub fn read(&mut self, body: &Body) -> Result<Vec<u8>, Vec<u8>> {
        let reader = self.store.open_reader(self.now, body).ok_or_else(Vec::new)?;
        let mut received = Vec::new();
        loop {
            match self.store.read(self.now, &reader) {
                ReadOutcome::Bytes(bytes) => received.extend_from_slice(&bytes),
                ReadOutcome::End => return Ok(received),
                ReadOutcome::Lost => return Err(received),
                ReadOutcome::NotReady => self.run_io(),
            }
        }
    }

    fn is_empty(&self) -> bool {
        let plan = self.store.plan();
        plan.used() == UsedBytes::default() && plan.windows() == UsedWindows::default()
    }

    /// Waits until all I/O tasks have completed, then asserts that nothing is left on the disk or
    /// in memory.
    pub fn assert_all_released(&mut self) {
        for _ in 0..50_000 {
            self.run_io();
            if self.is_empty() && self.store.is_idle() {
                break;
            }
        }
        assert_eq!(self.disk.slots.lock().expect("not poisoned").len(), 0, "chunks left on the disk");
        assert_eq!(self.store.plan().used(), UsedBytes::default());
        assert_eq!(self.store.plan().windows(), UsedWindows::default());
        assert_eq!(self.store.resident_bytes(), 0);
    }
}
