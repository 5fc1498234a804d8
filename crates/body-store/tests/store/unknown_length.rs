//! Bodies whose length is not known when they begin.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::store::*;

#[test]
fn a_body_of_unknown_length_takes_what_it_needs_and_gives_back_the_rest() {
    let mut fixture = fixture(MB);
    let text = random_bytes(40, 5 * MB as usize + 3);
    let body = fixture.store.admit_unknown_length(0.0, 0, 9.0).expect("room");
    let mut rest = &text[..];
    while !rest.is_empty() {
        let room = fixture.store.capacity(body.id()).min(rest.len());
        fixture.store.append(0.0, body.id(), &rest[..room]);
        rest = &rest[room..];
        fixture.run_io();
    }
    assert!(fixture.store.open_reader(0.0, &body).is_none(), "it may go on");
    assert_eq!(fixture.store.plan().used(), UsedBytes { memory: 0, file: 8 * MB });
    fixture.store.finish(0.0, body.id());
    assert_eq!(fixture.store.plan().used(), UsedBytes { memory: 0, file: text.len() as u64 });
    while !std::iter::from_fn(|| fixture.store.next_event()).any(|wake| wake == BodyEvent::Stored(body.id()))
    {
        fixture.run_io();
    }
    assert!(fixture.read(&body) == Ok(text));
    drop(body);
    // One that outgrows its class is lost, before anything ran.
    let (body, mut wakes) = (fixture.store.admit_unknown_length(0.0, 0, 9.0).expect("room"), Vec::new());
    while wakes.is_empty() {
        let room = fixture.store.capacity(body.id());
        fixture.store.append(0.0, body.id(), &vec![0; room]);
        fixture.run_io();
        wakes.extend(
            std::iter::from_fn(|| fixture.store.next_event())
                .filter(|wake| *wake == BodyEvent::Lost(body.id())),
        );
    }
    assert_eq!(fixture.store.counters()[0].rejected + fixture.store.counters()[0].too_large, 1);
    drop(body);
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}
