//! Disks that fill up, hang, flip bits or fail reads.

use crate::fixture::*;
use dahliaspoke_body_store::plan::*;
use dahliaspoke_body_store::storage::*;
use dahliaspoke_body_store::store::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_full_disk_passes_an_arriving_body_through_and_keeps_the_stored_one() {
    let mut fixture = fixture(MB);
    let (stored_content, arriving_content) =
        (random_bytes(3, 2 * MB as usize), random_bytes(4, 4 * MB as usize));
    let (stored_body, _) = fixture.admit(0, stored_content.len()).expect("admitted");
    assert_eq!(fixture.send(&stored_body, &stored_content), Some(BodyEvent::Stored(stored_body.id())));
    fixture.disk.available.store(MB + 1000, Ordering::SeqCst);
    fixture.disk.full.store(true, Ordering::SeqCst);
    let (body, tier) = fixture.admit(0, arriving_content.len()).expect("admitted");
    assert_eq!(tier, Tier::File);
    assert_eq!(fixture.send(&body, &arriving_content), Some(BodyEvent::FellBackToPassThrough(body.id())));
    // It is passed through from its first byte: the chunks in the file first, then the bytes that
    // arrive.
    let reader = fixture.store.open_reader(0.0, &body).expect("nothing discarded yet");
    let still_arriving = fixture.store.plan().body(body.id()).is_some_and(|b| !b.complete);
    assert!(still_arriving, "the body is complete already");
    let mut at =
        arriving_content.len() - (arriving_content.len() as u64 - received(&fixture, &body)) as usize;
    let (mut output, mut bytes_dropped) = (Vec::new(), false);
    loop {
        let available = fixture.store.capacity(body.id()).min(arriving_content.len() - at);
        fixture.store.append(0.0, body.id(), &arriving_content[at..at + available]);
        at += available;
        match fixture.store.read(0.0, &reader) {
            ReadOutcome::Bytes(bytes) => output.extend_from_slice(&bytes),
            ReadOutcome::End => break,
            ReadOutcome::NotReady => fixture.run_io(),
            ReadOutcome::Lost => panic!("lost"),
        }
        while let Some(event) = fixture.store.next_event() {
            bytes_dropped |= event == BodyEvent::BytesDropped(body.id());
        }
        assert!(fixture.store.resident_bytes() <= (PASS_THROUGH_WINDOW_CHUNKS * CHUNK_BYTES) as u64);
    }
    assert!(output == arriving_content, "altered");
    assert!(bytes_dropped, "no BytesDropped event");
    drop(reader);
    assert!(fixture.store.open_reader(0.0, &body).is_none(), "a second reader after bytes were discarded");
    assert!(fixture.read(&stored_body) == Ok(stored_content), "the stored body is not readable");
    assert_eq!(fixture.store.counters()[0].fell_back, 1);
    // Files are not used until the retry delay has passed.
    assert_eq!(fixture.admit(0, MB as usize).map(|b| b.1), Ok(Tier::PassThrough));
    fixture.now += TIMING.file_retry_delay;
    fixture.disk.full.store(false, Ordering::SeqCst);
    assert_eq!(fixture.admit(0, MB as usize).map(|b| b.1), Ok(Tier::File));
    drop((body, stored_body));
    fixture.store.on_timer(fixture.now);
    fixture.assert_all_released();
}

/// Bytes of a body that the store has received.
fn received(fixture: &Fixture, body: &Body) -> u64 {
    fixture.store.received_bytes(body.id())
}

#[test]
fn a_write_to_dev_full_falls_back_to_pass_through() {
    let file = std::fs::OpenOptions::new().read(true).write(true).open("/dev/full").expect("/dev/full");
    let store = Arc::new(SegmentFile::from_file(file));
    let mut store = BodyStore::new(budgets(MB), TIMING, Some(store), 2).expect("a descriptor");
    let (body, tier) = store.admit(0.0, 0, MB, 9.0).expect("admitted");
    assert_eq!(tier, Tier::File);
    store.append(0.0, body.id(), &random_bytes(5, CHUNK_BYTES));
    let event = loop {
        store.on_ready(0.0);
        match store.next_event() {
            Some(event @ BodyEvent::FellBackToPassThrough(_)) => break event,
            _ => std::thread::sleep(Duration::from_micros(200)),
        }
    };
    assert_eq!(event, BodyEvent::FellBackToPassThrough(body.id()));
    let reader = store.open_reader(0.0, &body).expect("nothing discarded yet");
    assert!(store.read(0.0, &reader) == ReadOutcome::Bytes(Arc::new(random_bytes(5, CHUNK_BYTES))));
}

#[test]
fn a_failed_write_loses_a_body_whose_class_has_no_pass_through() {
    let mut fixture = fixture(MB);
    fixture.disk.full.store(true, Ordering::SeqCst);
    let content = random_bytes(6, MB as usize);
    let (body, _) = fixture.admit(1, content.len()).expect("admitted");
    assert_eq!(fixture.send(&body, &content), Some(BodyEvent::Lost(body.id())));
    assert!(fixture.store.open_reader(0.0, &body).is_none());
}

#[test]
fn a_hanging_write_does_not_block_other_bodies() {
    let mut fixture = fixture(MB);
    fixture.disk.hang(true);
    let content = random_bytes(7, 2 * MB as usize);
    let (body, _) = fixture.admit(0, content.len()).expect("admitted");
    assert_eq!(fixture.send(&body, &content), None, "the sender has to wait");
    assert_eq!(
        fixture.store.resident_bytes(),
        (FILE_WINDOW_CHUNKS * CHUNK_BYTES) as u64,
        "one chunk is being written, one is waiting"
    );
    assert!(fixture.store.next_deadline().is_some_and(|at| at == TIMING.write_timeout));
    fixture.now = TIMING.write_timeout;
    fixture.store.on_timer(fixture.now);
    assert_eq!(fixture.store.next_event(), Some(BodyEvent::Lost(body.id())), "the write was not given up");
    drop(body);
    // While the write hangs, other bodies do not use files.
    assert_eq!(fixture.admit(0, 100_000).map(|b| b.1), Ok(Tier::Memory));
    assert_eq!(fixture.admit(0, 2 * MB as usize).map(|b| b.1), Ok(Tier::PassThrough));
    fixture.disk.hang(false);
    fixture.assert_all_released();
}

#[test]
fn corrupt_or_unreadable_chunks_are_never_returned() {
    for flips_bits in [true, false] {
        let mut fixture = fixture(MB);
        let content = random_bytes(8, 2 * MB as usize);
        let (body, _) = fixture.admit(0, content.len()).expect("admitted");
        fixture.send(&body, &content);
        fixture.disk.flips_bits.store(flips_bits, Ordering::SeqCst);
        fixture.disk.unreadable.store(!flips_bits, Ordering::SeqCst);
        let read_bytes = fixture.read(&body).expect_err("lost");
        assert!(content.starts_with(&read_bytes), "altered bytes were returned");
        assert_eq!(fixture.store.counters()[0].corrupt, 1);
        let mut events = std::iter::from_fn(|| fixture.store.next_event());
        assert!(events.any(|event| event == BodyEvent::BytesDropped(body.id())));
        assert!(fixture.store.open_reader(0.0, &body).is_none(), "a lost body was opened again");
    }
}
