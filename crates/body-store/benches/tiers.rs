//! Cost of each tier: bodies of one size are stored and read once, or twice, as after a failed
//! attempt.
//!
//!     cargo bench -p dahliaspoke-body-store
//!
//! `plain` is the baseline without a body store: one growing buffer, copied once to send it.

use dahliaspoke_body_store::plan::{Budgets, ClassLimits};
use dahliaspoke_body_store::storage::{slot_offset, ChunkStorage, SegmentFile, StorageFolder};
use dahliaspoke_body_store::{Body, BodyEvent, BodyStore, ReadOutcome, Timing};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::fs::File;
use std::hint::black_box;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

const MB: u64 = 1 << 20;
/// Bytes returned by one read from a socket.
const SOCKET_READ_BYTES: usize = 16 << 10;
/// Total size of the bodies of each measurement (bytes).
const TOTAL_BYTES: u64 = 512 * MB;

/// One file per body: the alternative to [`SegmentFile`] that was rejected
/// (`docs/body-store-design.md`).
struct FilePerBody {
    folder: StorageFolder,
    files: Mutex<HashMap<u64, Arc<File>>>,
}

impl FilePerBody {
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

impl ChunkStorage for FilePerBody {
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
enum Mode {
    Memory,
    File,
    PassThrough,
}

fn open_store(mode: Mode, storage: Option<Arc<dyn ChunkStorage>>) -> BodyStore {
    let class = ClassLimits {
        repeatable: true,
        priority_weight: 1.0,
        memory_share: if mode == Mode::Memory { 1.0 } else { 0.0 },
        file_share: 1.0,
        max_bytes: 64 * MB,
        pass_through: true,
    };
    let file_bytes = if mode == Mode::File { 1024 * MB } else { 0 };
    let budgets = Budgets { memory_bytes: 512 * MB, file_bytes, window_chunks: 64, classes: vec![class] };
    BodyStore::new(budgets, Timing { write_timeout: 60.0, file_retry_delay: 1.0 }, storage, 2)
        .expect("a descriptor")
}

/// Discards events and processes completions while waiting for the disk.
fn wait(store: &mut BodyStore) {
    while store.next_event().is_some() {}
    store.on_ready(0.0);
    std::thread::yield_now();
}

fn read(store: &mut BodyStore, body: &Body) -> u64 {
    let reader = store.open_reader(0.0, body).expect("readable");
    let mut count = 0;
    loop {
        match store.read(0.0, &reader) {
            ReadOutcome::Bytes(bytes) => count += black_box(&bytes).len() as u64,
            ReadOutcome::NotReady => wait(store),
            ReadOutcome::End => return count,
            ReadOutcome::Lost => panic!("lost"),
        }
    }
}

fn send_and_read(store: &mut BodyStore, mode: Mode, length: u64, socket_data: &[u8], reads: usize) {
    let (body, _) = store.admit(0.0, 0, length, 1.0).expect("admitted");
    let mut remaining = length as usize;
    if mode == Mode::PassThrough {
        let reader = store.open_reader(0.0, &body).expect("readable");
        loop {
            let count = store.capacity(body.id()).min(remaining).min(socket_data.len());
            store.append(0.0, body.id(), &socket_data[..count]);
            remaining -= count;
            match store.read(0.0, &reader) {
                ReadOutcome::Bytes(bytes) => drop(black_box(bytes)),
                ReadOutcome::End => return,
                ReadOutcome::NotReady => {}
                ReadOutcome::Lost => panic!("lost"),
            }
            while store.next_event().is_some() {}
        }
    }
    let mut stored = false;
    while !stored {
        let count = store.capacity(body.id()).min(remaining).min(socket_data.len());
        store.append(0.0, body.id(), &socket_data[..count]);
        remaining -= count;
        while let Some(event) = store.next_event() {
            stored |= matches!(event, BodyEvent::Stored(_));
        }
        if count == 0 && !stored {
            store.on_ready(0.0);
            std::thread::yield_now();
        }
    }
    for _ in 0..reads {
        assert_eq!(read(store, &body), length);
    }
}

fn report(name: &str, length: u64, latencies: &Histogram<u64>, seconds: f64, count: u64) {
    println!(
        "{name:<22} {:>6} KB  {:>7.0} MB/s  p50 {:>8} us  p99 {:>8} us",
        length >> 10,
        (count * length) as f64 / seconds / MB as f64,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
}

fn run(name: &str, length: u64, mut body: impl FnMut()) {
    let count = (TOTAL_BYTES / length).min(4000);
    (0..count / 10 + 1).for_each(|_| body()); // warm-up
    let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
    let started = Instant::now();
    for _ in 0..count {
        let start = Instant::now();
        body();
        latencies.record(start.elapsed().as_micros() as u64).expect("in range");
    }
    report(name, length, &latencies, started.elapsed().as_secs_f64(), count);
}

fn main() {
    let socket_data: Vec<u8> = (0..SOCKET_READ_BYTES).map(|n| n as u8).collect();
    let folder = tempfile::tempdir().expect("a folder");
    let open = || StorageFolder::open(folder.path()).expect("a folder");
    for length in [64 << 10, MB, 16 * MB] {
        run("plain", length, || {
            let mut buffer = Vec::new();
            (0..length as usize / SOCKET_READ_BYTES).for_each(|_| buffer.extend_from_slice(&socket_data));
            black_box(buffer.to_vec());
        });
        for (name, mode, reads) in [
            ("pass-through", Mode::PassThrough, 1),
            ("memory", Mode::Memory, 1),
            ("memory, replayed", Mode::Memory, 2),
        ] {
            let mut store = open_store(mode, None);
            run(name, length, || send_and_read(&mut store, mode, length, &socket_data, reads));
        }
        let storages: [(&str, Arc<dyn ChunkStorage>); 2] = [
            ("segment", Arc::new(SegmentFile::open(open()).expect("a file"))),
            ("file per body", Arc::new(FilePerBody::open(open()))),
        ];
        for (name, storage) in storages {
            for reads in [1, 2] {
                let mut store = open_store(Mode::File, Some(storage.clone()));
                let name = if reads == 1 { name.to_string() } else { format!("{name}, replayed") };
                run(&name, length, || send_and_read(&mut store, Mode::File, length, &socket_data, reads));
            }
        }
    }
}
