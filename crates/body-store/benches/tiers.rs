//! What each tier costs: bodies of one size go in and are read once, or twice, as after a failed attempt.
//!
//!     cargo bench -p dahliaspoke-body-store
//!
//! `plain` is what the door did before: one growing buffer, copied once to send it.

use dahliaspoke_body_store::plan::{Budgets, ClassLimits};
use dahliaspoke_body_store::storage::{slot_offset, ChunkStorage, SegmentFile, StorageFolder};
use dahliaspoke_body_store::{Body, BodyStore, Pace, Pull, Wake};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::fs::File;
use std::hint::black_box;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

const MB: u64 = 1 << 20;
/// What one read from a socket brings.
const READ: usize = 16 << 10;
const BYTES: u64 = 512 * MB;

/// A file a body: the option that was measured and not taken (`docs/body-store-design.md`).
struct Files {
    folder: StorageFolder,
    files: Mutex<HashMap<u64, Arc<File>>>,
}

impl Files {
    fn open(folder: StorageFolder) -> Self {
        Self { folder, files: Mutex::default() }
    }

    fn file(&self, body: u64) -> io::Result<Arc<File>> {
        let mut files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(file) = files.get(&body) {
            return Ok(file.clone());
        }
        let file = Arc::new(self.folder.create_file()?);
        files.insert(body, file.clone());
        Ok(file)
    }
}

impl ChunkStorage for Files {
    fn write(&self, body: u64, slot: u32, bytes: &[u8]) -> io::Result<()> {
        self.file(body)?.write_all_at(bytes, slot_offset(slot))
    }

    fn read(&self, body: u64, slot: u32, buffer: &mut [u8]) -> io::Result<()> {
        self.file(body)?.read_exact_at(buffer, slot_offset(slot))
    }

    fn release(&self, body: u64, _: &[u32]) {
        self.files.lock().unwrap_or_else(PoisonError::into_inner).remove(&body);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum How {
    Memory,
    File,
    Passed,
}

fn spool(how: How, store: Option<Arc<dyn ChunkStorage>>) -> BodyStore {
    let class = ClassLimits {
        repeatable: true,
        priority_weight: 1.0,
        memory_share: if how == How::Memory { 1.0 } else { 0.0 },
        file_share: 1.0,
        max_bytes: 64 * MB,
        pass_through: true,
    };
    let file_bytes = if how == How::File { 1024 * MB } else { 0 };
    let budgets = Budgets { memory_bytes: 512 * MB, file_bytes, window_chunks: 64, classes: vec![class] };
    BodyStore::new(budgets, Pace { hangs: 60.0, again: 1.0 }, store, 2).expect("a descriptor")
}

/// Waits for the disk where there is nothing else to do.
fn wait(spool: &mut BodyStore) {
    while spool.take().is_some() {}
    spool.on_ready(0.0);
    std::thread::yield_now();
}

fn read(spool: &mut BodyStore, body: &Body) -> u64 {
    let reader = spool.reader(0.0, body).expect("here");
    let mut count = 0;
    loop {
        match spool.pull(0.0, &reader) {
            Pull::Bytes(bytes) => count += black_box(&bytes).len() as u64,
            Pull::Wait => wait(spool),
            Pull::End => return count,
            Pull::Lost => panic!("lost"),
        }
    }
}

fn one(spool: &mut BodyStore, how: How, length: u64, piece: &[u8], reads: usize) {
    let (body, _) = spool.admit(0.0, 0, length, 1.0).expect("room");
    let mut left = length as usize;
    if how == How::Passed {
        let reader = spool.reader(0.0, &body).expect("here");
        loop {
            let count = spool.room(body.id()).min(left).min(piece.len());
            spool.push(0.0, body.id(), &piece[..count]);
            left -= count;
            match spool.pull(0.0, &reader) {
                Pull::Bytes(bytes) => drop(black_box(bytes)),
                Pull::End => return,
                Pull::Wait => {}
                Pull::Lost => panic!("lost"),
            }
            while spool.take().is_some() {}
        }
    }
    let mut kept = false;
    while !kept {
        let count = spool.room(body.id()).min(left).min(piece.len());
        spool.push(0.0, body.id(), &piece[..count]);
        left -= count;
        while let Some(wake) = spool.take() {
            kept |= matches!(wake, Wake::Kept(_));
        }
        if count == 0 && !kept {
            spool.on_ready(0.0);
            std::thread::yield_now();
        }
    }
    for _ in 0..reads {
        assert_eq!(read(spool, &body), length);
    }
}

fn report(name: &str, length: u64, times: &Histogram<u64>, took: f64, count: u64) {
    println!(
        "{name:<22} {:>6} KB  {:>7.0} MB/s  p50 {:>8} us  p99 {:>8} us",
        length >> 10,
        (count * length) as f64 / took / MB as f64,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
    );
}

fn run(name: &str, length: u64, mut body: impl FnMut()) {
    let count = (BYTES / length).min(4000);
    (0..count / 10 + 1).for_each(|_| body()); // warm
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let began = Instant::now();
    for _ in 0..count {
        let start = Instant::now();
        body();
        times.record(start.elapsed().as_micros() as u64).expect("in range");
    }
    report(name, length, &times, began.elapsed().as_secs_f64(), count);
}

fn main() {
    let piece: Vec<u8> = (0..READ).map(|n| n as u8).collect();
    let folder = tempfile::tempdir().expect("a folder");
    let open = || StorageFolder::open(folder.path()).expect("a folder");
    for length in [64 << 10, MB, 16 * MB] {
        run("plain", length, || {
            let mut buffer = Vec::new();
            (0..length as usize / READ).for_each(|_| buffer.extend_from_slice(&piece));
            black_box(buffer.to_vec());
        });
        for (name, how, reads) in
            [("passed on", How::Passed, 1), ("memory", How::Memory, 1), ("memory, replayed", How::Memory, 2)]
        {
            let mut spool = spool(how, None);
            run(name, length, || one(&mut spool, how, length, &piece, reads));
        }
        let stores: [(&str, Arc<dyn ChunkStorage>); 2] = [
            ("segment", Arc::new(SegmentFile::open(open()).expect("a file"))),
            ("a file a body", Arc::new(Files::open(open()))),
        ];
        for (name, store) in stores {
            for reads in [1, 2] {
                let mut spool = spool(How::File, Some(store.clone()));
                let name = if reads == 1 { name.to_string() } else { format!("{name}, replayed") };
                run(&name, length, || one(&mut spool, How::File, length, &piece, reads));
            }
        }
    }
}
