//! Bodies that move from memory to files.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::store::*;
use std::sync::atomic::Ordering;

#[test]
fn memory_that_runs_full_moves_bodies_to_files_and_a_failed_move_leaves_them() {
    let mut fixture = fixture(4 * MB);
    let texts: Vec<Vec<u8>> = (0..4).map(|n| random_bytes(10 + n, MB as usize)).collect();
    let bodies: Vec<Body> = texts
        .iter()
        .map(|text| {
            let (body, tier) = fixture.admit(0, text.len()).expect("room");
            assert_eq!(tier, Tier::Memory);
            assert_eq!(fixture.send(&body, text), Some(BodyEvent::Stored(body.id())));
            body
        })
        .collect();
    while fixture.store.plan().used() != (UsedBytes { memory: 3 * MB, file: MB }) {
        fixture.run_io();
    }
    assert_eq!(fixture.store.counters()[0].demoted, 1);
    // The next move fails: that body stays where it was.
    fixture.disk.full.store(true, Ordering::SeqCst);
    let more = random_bytes(20, MB as usize);
    let (last, tier) = fixture.admit(0, more.len()).expect("room");
    assert_eq!(tier, Tier::Memory);
    assert_eq!(fixture.send(&last, &more), Some(BodyEvent::Stored(last.id())));
    while fixture.store.plan().used() != (UsedBytes { memory: 4 * MB, file: MB }) {
        fixture.run_io();
    }
    for (body, text) in bodies.iter().chain([&last]).zip(texts.iter().chain([&more])) {
        assert!(fixture.read(body).as_ref() == Ok(text));
    }
    drop((bodies, last));
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}
