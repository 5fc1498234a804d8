//! Random histories, checked against a model that is the plain content of the bodies.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseResult};
use std::sync::atomic::Ordering;

#[derive(Clone, Debug)]
enum Step {
    Admit(usize, bool),
    Push(usize, usize),
    OpenReader(usize),
    ReadOutcome(usize, usize),
    CloseReader(usize),
    DropBody(usize),
    SetDiskFull(bool),
    RunIo,
    AdvanceClock,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..900_000usize, any::<bool>()).prop_map(|(length, unknown)| Step::Admit(length, unknown)),
        8 => (any::<usize>(), 1..300_000usize).prop_map(|(index, count)| Step::Push(index, count)),
        3 => any::<usize>().prop_map(Step::OpenReader),
        8 => (any::<usize>(), 1..8usize).prop_map(|(index, count)| Step::ReadOutcome(index, count)),
        1 => any::<usize>().prop_map(Step::CloseReader),
        1 => any::<usize>().prop_map(Step::DropBody),
        1 => any::<bool>().prop_map(Step::SetDiskFull),
        6 => Just(Step::RunIo),
        1 => Just(Step::AdvanceClock),
    ];
    prop::collection::vec(step, 1..120)
}

/// Memory budget of the store (bytes).
const MEMORY_BYTES: u64 = 2 * MB;

/// A body, its content, and how much of it was sent.
struct SentBody {
    body: Body,
    content: Vec<u8>,
    sent: usize,
}

/// A reader, the content that it should read, and how much of it was read.
struct ActiveReader {
    reader: Reader,
    content: Vec<u8>,
    received: usize,
}

/// A store, and the content of its bodies and readers as a model.
struct History {
    fixture: Fixture,
    bodies: Vec<SentBody>,
    readers: Vec<ActiveReader>,
}

impl History {
    fn new() -> Self {
        Self { fixture: fixture(MEMORY_BYTES), bodies: Vec::new(), readers: Vec::new() }
    }

    /// Applies a step. A step for a body or a reader runs the I/O threads instead if there is none.
    fn apply(&mut self, seed: u64, step: Step) -> TestCaseResult {
        match step {
            Step::Admit(length, length_unknown) => self.admit(seed, length, length_unknown),
            Step::Push(index, count) if !self.bodies.is_empty() => self.push(index, count),
            Step::OpenReader(index) if !self.bodies.is_empty() => self.read(index),
            Step::ReadOutcome(index, count) if !self.readers.is_empty() => self.pull(index, count)?,
            Step::CloseReader(index) if !self.readers.is_empty() => {
                drop(self.readers.swap_remove(index % self.readers.len()));
            }
            Step::DropBody(index) if !self.bodies.is_empty() => {
                drop(self.bodies.swap_remove(index % self.bodies.len()));
            }
            Step::SetDiskFull(full) => self.fixture.disk.full.store(full, Ordering::SeqCst),
            Step::AdvanceClock => self.fixture.now += 0.6,
            _ => self.fixture.run_io(),
        }
        Ok(())
    }

    fn admit(&mut self, seed: u64, length: usize, length_unknown: bool) {
        let now = self.fixture.now;
        let body = if length_unknown {
            self.fixture.store.admit_unknown_length(now, 0, now + 10.0).ok()
        } else {
            self.fixture.admit(0, length).ok().map(|(body, _)| body)
        };
        let content = random_bytes(seed, length);
        self.bodies.extend(body.map(|body| SentBody { body, content, sent: 0 }));
    }

    fn push(&mut self, index: usize, count: usize) {
        let index = index % self.bodies.len();
        let SentBody { body, content, sent } = &mut self.bodies[index];
        let (store, now) = (&mut self.fixture.store, self.fixture.now);
        let count = count.min(store.capacity(body.id())).min(content.len() - *sent);
        store.append(now, body.id(), &content[*sent..*sent + count]);
        *sent += count;
        if *sent == content.len() {
            store.finish(now, body.id()); // no effect if the length was known
        }
    }

    fn read(&mut self, index: usize) {
        let SentBody { body, content, .. } = &self.bodies[index % self.bodies.len()];
        if let Some(reader) = self.fixture.store.open_reader(self.fixture.now, body) {
            self.readers.push(ActiveReader { reader, content: content.clone(), received: 0 });
        }
    }

    fn pull(&mut self, index: usize, count: usize) -> TestCaseResult {
        let index = index % self.readers.len();
        let ActiveReader { reader, content, received } = &mut self.readers[index];
        for _ in 0..count {
            match self.fixture.store.read(self.fixture.now, reader) {
                ReadOutcome::Bytes(bytes) => {
                    prop_assert!(content[*received..].starts_with(&bytes), "altered at {received}");
                    *received += bytes.len();
                }
                ReadOutcome::End => prop_assert_eq!(*received, content.len()),
                ReadOutcome::NotReady | ReadOutcome::Lost => {}
            }
        }
        Ok(())
    }

    /// Checks that the content in memory is within the memory budget and the windows.
    fn check_memory(&self) -> TestCaseResult {
        let store = &self.fixture.store;
        let windows = store.plan().windows();
        let window_bytes = ((windows.arrivals + windows.replays) * CHUNK_BYTES) as u64;
        // Chunks of a body that fell back are read back from its file without a replay window.
        let fallback_bytes =
            store.counters()[0].current_bodies.pass_through * (REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64;
        let bound = MEMORY_BYTES + window_bytes + fallback_bytes;
        prop_assert!(store.resident_bytes() <= bound, "{} bytes exceed {bound}", store.resident_bytes());
        Ok(())
    }

    /// Drops all bodies and readers, and checks that nothing is left of them.
    fn end(mut self) {
        drop((self.bodies, self.readers));
        self.fixture.store.on_timer(self.fixture.now);
        self.fixture.assert_all_released();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Every reader receives an unaltered prefix of what was sent, and nothing is left at the end.
    #[test]
    fn readers_receive_a_prefix_of_what_was_sent(steps in steps()) {
        let mut history = History::new();
        for (seed, step) in steps.into_iter().enumerate() {
            history.apply(seed as u64, step)?;
            history.check_memory()?;
        }
        history.end();
    }
}
