//! Random histories against the plainest model, the bytes themselves.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::atomic::Ordering;

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
        let mut fixture = fixture(2 * MB);
        let mut bodies: Vec<(Body, Vec<u8>, usize)> = Vec::new();
        let mut readers: Vec<(Reader, Vec<u8>, usize)> = Vec::new();
        for (seed, step) in steps.into_iter().enumerate() {
            match step {
                Step::Admit(length, open) => {
                    let taken = if open { fixture.store.admit_open(fixture.now, 0, fixture.now + 10.0).ok() } else { fixture.admit(0, length).ok().map(|taken| taken.0) };
                    bodies.extend(taken.map(|body| (body, random_bytes(seed as u64, length), 0)));
                }
                Step::Push(at, count) if !bodies.is_empty() => {
                    let at = at % bodies.len();
                    let (body, text, sent) = &mut bodies[at];
                    let count = count.min(fixture.store.room(body.id())).min(text.len() - *sent);
                    fixture.store.push(fixture.now, body.id(), &text[*sent..*sent + count]);
                    *sent += count;
                    if *sent == text.len() {
                        fixture.store.end(fixture.now, body.id()); // nothing where the length was known
                    }
                }
                Step::Read(at) if !bodies.is_empty() => {
                    let at = at % bodies.len();
                    let (body, ..) = &bodies[at];
                    if let Some(reader) = fixture.store.reader(fixture.now, body) {
                        readers.push((reader, bodies[at].1.clone(), 0));
                    }
                }
                Step::Pull(at, count) if !readers.is_empty() => {
                    let at = at % readers.len();
                    for _ in 0..count {
                        let (reader, text, got) = &mut readers[at];
                        match fixture.store.pull(fixture.now, reader) {
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
                Step::Full(full) => fixture.disk.full.store(full, Ordering::SeqCst),
                Step::Later => fixture.now += 0.6,
                _ => fixture.run_io(),
            }
            let windows = fixture.store.plan().windows();
            // What has fallen is read back from its file in the window that it came with.
            let fallen = fixture.store.figures()[0].held_bodies.passed * (REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64;
            let bound = 2 * MB + ((windows.arrivals + windows.replays) * CHUNK_BYTES) as u64 + fallen;
            prop_assert!(fixture.store.resident_bytes() <= bound, "{} over {bound}", fixture.store.resident_bytes());
        }
        drop((bodies, readers));
        fixture.store.on_timer(fixture.now);
        fixture.assert_all_released();
    }
}
