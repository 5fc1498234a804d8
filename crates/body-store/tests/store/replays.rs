//! Bodies that are read more than once, and readers that wait for a window.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;

#[test]
fn what_goes_to_a_file_comes_back_as_it_was_as_often_as_wanted() {
    let mut fixture = fixture(MB);
    let text = random_bytes(1, 5 * MB as usize + 17);
    let (body, tier) = fixture.admit(0, text.len()).expect("room");
    assert_eq!(tier, Tier::File);
    assert_eq!(fixture.send(&body, &text), Some(BodyEvent::Stored(body.id())));
    assert_eq!(fixture.store.resident_bytes(), 0, "all of it is in the file");
    for _ in 0..3 {
        assert!(fixture.read(&body) == Ok(text.clone()));
    }
    assert_eq!(fixture.store.counters()[0].replayed, 2);
    drop(body);
    fixture.assert_all_released();
}

#[test]
fn two_attempts_replay_one_body_at_once() {
    let mut fixture = fixture(MB);
    let text = random_bytes(2, 3 * MB as usize);
    let (body, _) = fixture.admit(0, text.len()).expect("room");
    fixture.send(&body, &text);
    let readers: Vec<Reader> = (0..2).map(|_| fixture.store.open_reader(0.0, &body).expect("here")).collect();
    let mut got = [Vec::new(), Vec::new()];
    // One goes three times as fast as the other.
    let mut ended = [false; 2];
    for turn in 0.. {
        let at = usize::from(turn % 4 == 3);
        match fixture.store.read(0.0, &readers[at]) {
            ReadOutcome::Bytes(bytes) => got[at].extend_from_slice(&bytes),
            ReadOutcome::End => ended[at] = true,
            ReadOutcome::NotReady => fixture.run_io(),
            ReadOutcome::Lost => panic!("lost"),
        }
        assert!(
            fixture.store.resident_bytes() <= (2 * REPLAY_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
            "each holds a window at most"
        );
        if ended == [true; 2] {
            break;
        }
    }
    assert!(got[0] == text && got[1] == text);
    drop((body, readers));
    fixture.store.on_timer(0.0);
    fixture.assert_all_released();
}

#[test]
fn replays_wait_their_turn_for_a_window() {
    let mut fixture = fixture(MB);
    let text = random_bytes(30, MB as usize);
    let (body, _) = fixture.admit(0, text.len()).expect("room");
    fixture.send(&body, &text);
    let readers: Vec<Reader> = (0..9).map(|_| fixture.store.open_reader(0.0, &body).expect("here")).collect();
    assert_eq!(
        fixture.store.plan().windows(),
        UsedWindows { arrivals: 0, replays: 8 * REPLAY_WINDOW_CHUNKS }
    );
    assert_eq!(fixture.store.read(0.0, &readers[8]), ReadOutcome::NotReady);
    let last = readers[8].id;
    let mut readers = readers;
    readers.remove(0);
    fixture.store.on_timer(0.0);
    let wakes: Vec<BodyEvent> = std::iter::from_fn(|| fixture.store.next_event()).collect();
    assert!(wakes.contains(&BodyEvent::DataReady(last)), "{wakes:?}");
    assert_ne!(fixture.store.read(0.0, &readers[7]), ReadOutcome::Lost);
}
