//! Transfer of a large snapshot in chunks.

use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, LogPosition, Member, Members, Snapshot};
use dahliaspoke_raft::raft::{Action, Event, Options, PersistentState, Raft};
use std::collections::VecDeque;
use std::sync::Arc;

#[test]
fn a_large_snapshot_is_transferred_with_each_chunk_sent_about_once() {
    let member = |n: u64| (n, Member { name: format!("m{n}"), address: String::new(), votes: true });
    let members: Members = (1..=3).map(member).collect();
    let hard = |id| HardState { id, cluster: 9, term: 1, vote: None };
    let data = Arc::new((0..5_000_000u32).map(|n| (n % 251) as u8).collect::<Vec<_>>());
    let snapshot = Arc::new(Snapshot { index: 60, term: 1, members: members.clone(), data });
    let first = Entry { index: 1, term: 1, kind: EntryKind::Members(members) };
    let lagging = PersistentState { hard_state: hard(3), entries: vec![first], ..PersistentState::default() };
    let up_to_date = |id| PersistentState {
        hard_state: hard(id),
        snapshot: snapshot.clone(),
        base: LogPosition { index: 60, term: 1 },
        entries: Vec::new(),
        ..PersistentState::default()
    };
    let mut rafts: Vec<Raft> = [up_to_date(1), up_to_date(2), lagging]
        .into_iter()
        .map(|saved| Raft::new(Options::new(1), saved, 0))
        .collect();
    let mut actions = Vec::new();
    rafts[0].campaign(&mut actions);
    let mut queue: VecDeque<(usize, Action)> = actions.drain(..).map(|action| (0, action)).collect();
    let (mut now, mut sent, mut restored) = (0, 0, false);
    for _ in 0..20_000 {
        let Some((at, action)) = queue.pop_front() else {
            now += 10_000;
            rafts[0].handle(now, Event::Tick, &mut actions);
            queue.extend(actions.drain(..).map(|action| (0, action)));
            continue;
        };
        let (to, event) = match action {
            Action::Send(message) => {
                sent += usize::from(message.to == 3);
                (message.to as usize - 1, Event::Message(message))
            }
            Action::Persist(batch) => (at, Event::Persisted(batch.number)),
            Action::Restore(received) => {
                restored |= at == 2 && *received == *snapshot;
                continue;
            }
            _ => continue,
        };
        now += 20;
        rafts[to].handle(now, event, &mut actions);
        queue.extend(actions.drain(..).map(|action| (to, action)));
        if restored && rafts[2].commit() == rafts[0].commit() {
            break;
        }
    }
    assert!(restored, "the snapshot was not restored after {sent} messages");
    assert!(sent < 120, "{sent} messages for about 80 chunks");
}
