//! Demotion of bodies from memory to files.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::store::*;
use std::sync::atomic::Ordering;

#[test]
fn full_memory_demotes_bodies_and_a_failed_demotion_keeps_them_in_memory() {
    let mut fixture = fixture(4 * MB);
    let contents: Vec<Vec<u8>> = (0..4).map(|n| random_bytes(10 + n, MB as usize)).collect();
    let bodies: Vec<Body> = contents
        .iter()
        .map(|content| {
            let (body, tier) = fixture.admit(0, content.len()).expect("admitted");
            assert_eq!(tier, Tier::Memory);
            assert_eq!(fixture.send(&body, content), Some(BodyEvent::Stored(body.id())));
            body
        })
        .collect();
    while fixture.store.plan().used() != (UsedBytes { memory: 3 * MB, file: MB }) {
        fixture.run_io();
    }
    assert_eq!(fixture.store.counters()[0].demoted, 1);
    // The next demotion fails: its body stays in memory.
    fixture.disk.full.store(true, Ordering::SeqCst);
    let last_content = random_bytes(20, MB as usize);
    let (last, tier) = fixture.admit(0, last_content.len()).expect("admitted");
    assert_eq!(tier, Tier::Memory);
    assert_eq!(fixture.send(&last, &last_content), Some(BodyEvent::Stored(last.id())));
    while fixture.store.plan().used() != (UsedBytes { memory: 4 * MB, file: MB }) {
        fixture.run_io();
    }
    for (body, content) in bodies.iter().chain([&last]).zip(contents.iter().chain([&last_content])) {
        assert!(fixture.read(body).as_ref() == Ok(content));
    }
    drop((bodies, last));
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}
