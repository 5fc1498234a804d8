//! Bodies that are read several times, and readers that wait for a window.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;

#[test]
fn a_body_in_a_file_can_be_read_unaltered_several_times() {
    let mut fixture = fixture(MB);
    let content = random_bytes(1, 5 * MB as usize + 17);
    let (body, tier) = fixture.admit(0, content.len()).expect("admitted");
    assert_eq!(tier, Tier::File);
    assert_eq!(fixture.send(&body, &content), Some(BodyEvent::Stored(body.id())));
    assert_eq!(fixture.store.resident_bytes(), 0, "content left in memory");
    for _ in 0..3 {
        assert!(fixture.read(&body) == Ok(content.clone()));
    }
    assert_eq!(fixture.store.counters()[0].replayed, 2);
    drop(body);
    fixture.assert_all_released();
}

#[test]
fn two_readers_replay_one_body_concurrently() {
    let mut fixture = fixture(MB);
    let content = random_bytes(2, 3 * MB as usize);
    let (body, _) = fixture.admit(0, content.len()).expect("admitted");
    fixture.send(&body, &content);
    let readers: Vec<Reader> =
        (0..2).map(|_| fixture.store.open_reader(0.0, &body).expect("readable")).collect();
    let mut received = [Vec::new(), Vec::new()];
    // One reader reads three times as often as the other.
    let mut ended = [false; 2];
    for step in 0.. {
        let index = usize::from(step % 4 == 3);
        match fixture.store.read(0.0, &readers[index]) {
            ReadOutcome::Bytes(bytes) => received[index].extend_from_slice(&bytes),
            ReadOutcome::End => ended[index] = true,
            ReadOutcome::NotReady => fixture.run_io(),
            ReadOutcome::Lost => panic!("lost"),
        }
        assert!(
            fixture.store.resident_bytes() <= (2 * REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
            "more than one window per reader"
        );
        if ended == [true; 2] {
            break;
        }
    }
    assert!(received[0] == content && received[1] == content);
    drop((body, readers));
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}

#[test]
fn a_reader_waits_until_a_replay_window_is_free() {
    let mut fixture = fixture(MB);
    let content = random_bytes(30, MB as usize);
    let (body, _) = fixture.admit(0, content.len()).expect("admitted");
    fixture.send(&body, &content);
    let readers: Vec<Reader> =
        (0..9).map(|_| fixture.store.open_reader(0.0, &body).expect("readable")).collect();
    assert_eq!(
        fixture.store.plan().windows(),
        UsedWindows { arrivals: 0, replays: 8 * REPLAY_WINDOW_CHUNKS }
    );
    assert_eq!(fixture.store.read(0.0, &readers[8]), ReadOutcome::NotReady);
    let last = readers[8].id;
    let mut readers = readers;
    readers.remove(0);
    fixture.store.on_timer(0.0);
    let events: Vec<BodyEvent> = std::iter::from_fn(|| fixture.store.next_event()).collect();
    assert!(events.contains(&BodyEvent::DataReady(last)), "{events:?}");
    assert_ne!(fixture.store.read(0.0, &readers[7]), ReadOutcome::Lost);
}
