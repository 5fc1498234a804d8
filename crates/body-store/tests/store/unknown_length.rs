//! Bodies whose length is unknown when they are admitted.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::store::*;

#[test]
fn an_unknown_length_reservation_grows_and_its_excess_is_released() {
    let mut fixture = fixture(MB);
    let content = random_bytes(40, 5 * MB as usize + 3);
    let body = fixture.store.admit_unknown_length(0.0, 0, 9.0).expect("admitted");
    let mut rest = &content[..];
    while !rest.is_empty() {
        let available = fixture.store.capacity(body.id()).min(rest.len());
        fixture.store.append(0.0, body.id(), &rest[..available]);
        rest = &rest[available..];
        fixture.run_io();
    }
    assert!(fixture.store.open_reader(0.0, &body).is_none(), "a body whose length is unknown was readable");
    assert_eq!(fixture.store.plan().used(), UsedBytes { memory: 0, file: 8 * MB });
    fixture.store.finish(0.0, body.id());
    assert_eq!(fixture.store.plan().used(), UsedBytes { memory: 0, file: content.len() as u64 });
    while !std::iter::from_fn(|| fixture.store.next_event())
        .any(|event| event == BodyEvent::Stored(body.id()))
    {
        fixture.run_io();
    }
    assert!(fixture.read(&body) == Ok(content));
    drop(body);
    // A body that outgrows its class is lost before it can be read.
    let (body, mut events) = (fixture.store.admit_unknown_length(0.0, 0, 9.0).expect("admitted"), Vec::new());
    while events.is_empty() {
        let available = fixture.store.capacity(body.id());
        fixture.store.append(0.0, body.id(), &vec![0; available]);
        fixture.run_io();
        events.extend(
            std::iter::from_fn(|| fixture.store.next_event())
                .filter(|event| *event == BodyEvent::Lost(body.id())),
        );
    }
    assert_eq!(fixture.store.counters()[0].rejected + fixture.store.counters()[0].too_large, 1);
    drop(body);
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}
