//! Disks that fill, hang, flip bits or cannot be read.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_disk_that_fills_lets_what_is_coming_pass_and_keeps_what_is_whole() {
    let mut fixture = fixture(MB);
    let (whole, coming) = (random_bytes(3, 2 * MB as usize), random_bytes(4, 4 * MB as usize));
    let (kept, _) = fixture.admit(0, whole.len()).expect("room");
    assert_eq!(fixture.send(&kept, &whole), Some(BodyEvent::Stored(kept.id())));
    fixture.disk.room.store(MB + 1000, Ordering::SeqCst);
    fixture.disk.full.store(true, Ordering::SeqCst);
    let (body, tier) = fixture.admit(0, coming.len()).expect("room");
    assert_eq!(tier, Tier::File);
    assert_eq!(fixture.send(&body, &coming), Some(BodyEvent::PassedThrough(body.id())));
    // It is passed on from its start: what is in the file first, then what comes.
    let reader = fixture.store.open_reader(0.0, &body).expect("all of it is here so far");
    let sent = fixture.store.plan().body(body.id()).is_some_and(|b| !b.complete);
    assert!(sent, "it had not come whole");
    let mut at = coming.len() - (coming.len() as u64 - came(&fixture, &body)) as usize;
    let (mut out, mut spent) = (Vec::new(), false);
    loop {
        let room = fixture.store.capacity(body.id()).min(coming.len() - at);
        fixture.store.append(0.0, body.id(), &coming[at..at + room]);
        at += room;
        match fixture.store.read(0.0, &reader) {
            ReadOutcome::Bytes(bytes) => out.extend_from_slice(&bytes),
            ReadOutcome::End => break,
            ReadOutcome::NotReady => fixture.run_io(),
            ReadOutcome::Lost => panic!("lost"),
        }
        while let Some(wake) = fixture.store.next_event() {
            spent |= wake == BodyEvent::BytesDropped(body.id());
        }
        assert!(fixture.store.resident_bytes() <= (PASS_THROUGH_WINDOW_CHUNKS * CHUNK_BYTES) as u64);
    }
    assert!(out == coming, "not altered");
    assert!(spent, "the caller is told that it cannot be repeated");
    drop(reader);
    assert!(fixture.store.open_reader(0.0, &body).is_none(), "and it cannot");
    assert!(fixture.read(&kept) == Ok(whole), "what was whole is still there");
    assert_eq!(fixture.store.counters()[0].fell_back, 1);
    // Files are left alone for a while; then tried again.
    assert_eq!(fixture.admit(0, MB as usize).map(|b| b.1), Ok(Tier::PassThrough));
    fixture.now += TIMING.file_retry_delay;
    fixture.disk.full.store(false, Ordering::SeqCst);
    assert_eq!(fixture.admit(0, MB as usize).map(|b| b.1), Ok(Tier::File));
    drop((body, kept));
    fixture.store.on_timer(fixture.now);
    fixture.assert_all_released();
}

/// Bytes of a body that came, from what its room and state tell.
fn came(fixture: &Fixture, body: &Body) -> u64 {
    fixture.store.received_bytes(body.id())
}

#[test]
fn the_real_full_device_is_met_the_same_way() {
    let file = std::fs::OpenOptions::new().read(true).write(true).open("/dev/full").expect("it is there");
    let store = Arc::new(SegmentFile::from_file(file));
    let mut store = BodyStore::new(budgets(MB), TIMING, Some(store), 2).expect("a descriptor");
    let (body, tier) = store.admit(0.0, 0, MB, 9.0).expect("room");
    assert_eq!(tier, Tier::File);
    store.append(0.0, body.id(), &random_bytes(5, CHUNK_BYTES));
    let wake = loop {
        store.on_ready(0.0);
        match store.next_event() {
            Some(wake @ BodyEvent::PassedThrough(_)) => break wake,
            _ => std::thread::sleep(Duration::from_micros(200)),
        }
    };
    assert_eq!(wake, BodyEvent::PassedThrough(body.id()));
    let reader = store.open_reader(0.0, &body).expect("all of it is here");
    assert!(store.read(0.0, &reader) == ReadOutcome::Bytes(Arc::new(random_bytes(5, CHUNK_BYTES))));
}

#[test]
fn a_class_that_is_not_passed_on_is_lost_before_anything_ran() {
    let mut fixture = fixture(MB);
    fixture.disk.full.store(true, Ordering::SeqCst);
    let text = random_bytes(6, MB as usize);
    let (body, _) = fixture.admit(1, text.len()).expect("room");
    assert_eq!(fixture.send(&body, &text), Some(BodyEvent::Lost(body.id())));
    assert!(fixture.store.open_reader(0.0, &body).is_none());
}

#[test]
fn a_write_that_hangs_holds_nobody_up() {
    let mut fixture = fixture(MB);
    fixture.disk.hang(true);
    let text = random_bytes(7, 2 * MB as usize);
    let (body, _) = fixture.admit(0, text.len()).expect("room");
    assert_eq!(fixture.send(&body, &text), None, "its sender waits");
    assert_eq!(
        fixture.store.resident_bytes(),
        (FILE_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
        "one chunk waits for the disk beside the next"
    );
    assert!(fixture.store.next_deadline().is_some_and(|at| at == TIMING.write_timeout));
    fixture.now = TIMING.write_timeout;
    fixture.store.on_timer(fixture.now);
    assert_eq!(fixture.store.next_event(), Some(BodyEvent::Lost(body.id())), "it is given up: nothing ran");
    drop(body);
    // While it hangs, others pass it by.
    assert_eq!(fixture.admit(0, 100_000).map(|b| b.1), Ok(Tier::Memory));
    assert_eq!(fixture.admit(0, 2 * MB as usize).map(|b| b.1), Ok(Tier::PassThrough));
    fixture.disk.hang(false);
    fixture.assert_all_released();
}

#[test]
fn a_flipped_bit_or_an_unreadable_disk_is_never_handed_on() {
    for flips in [true, false] {
        let mut fixture = fixture(MB);
        let text = random_bytes(8, 2 * MB as usize);
        let (body, _) = fixture.admit(0, text.len()).expect("room");
        fixture.send(&body, &text);
        fixture.disk.flips.store(flips, Ordering::SeqCst);
        fixture.disk.unreadable.store(!flips, Ordering::SeqCst);
        let got = fixture.read(&body).expect_err("lost");
        assert!(text.starts_with(&got), "what went out before was good");
        assert_eq!(fixture.store.counters()[0].corrupt, 1);
        let mut wakes = std::iter::from_fn(|| fixture.store.next_event());
        assert!(wakes.any(|wake| wake == BodyEvent::BytesDropped(body.id())));
        assert!(fixture.store.open_reader(0.0, &body).is_none(), "and not tried again");
    }
}
