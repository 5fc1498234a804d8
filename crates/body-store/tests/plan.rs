//! The plan against a plain model: whatever happens in whatever order, the invariants of its page hold.

use dahliaspoke_body_store::plan::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MB: u64 = 1 << 20;

fn budgets() -> Budgets {
    let class = |repeatable, priority_weight, memory_share, pass_through| ClassLimits {
        repeatable,
        priority_weight,
        memory_share,
        file_share: 0.75,
        max_bytes: 8 * MB,
        pass_through,
    };
    let classes =
        vec![class(true, 1.0, 1.0, true), class(true, 20.0, 0.5, true), class(false, 5.0, 0.5, false)];
    Budgets { memory_bytes: 8 * MB, file_bytes: 24 * MB, window_chunks: 40, classes }
}

#[derive(Clone, Debug)]
enum Step {
    Admit { class: usize, length: u64 },
    Open(usize),
    Extend(usize),
    End(usize, u64),
    Whole(usize),
    Demote,
    Moved(usize, bool),
    Fail,
    Fall(usize),
    Read(usize),
    ReadOver(usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![1..64 * 1024u64, 64 * 1024..2 * MB, MB..10 * MB];
    prop_oneof![
        4 => (0..3usize, length).prop_map(|(class, length)| Step::Admit { class, length }),
        1 => (0..3usize).prop_map(Step::Open),
        2 => any::<usize>().prop_map(Step::Extend),
        1 => (any::<usize>(), any::<u64>()).prop_map(|(at, length)| Step::End(at, length)),
        4 => any::<usize>().prop_map(Step::Whole),
        2 => Just(Step::Demote),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, done)| Step::Moved(at, done)),
        1 => Just(Step::Fail),
        1 => any::<usize>().prop_map(Step::Fall),
        2 => any::<usize>().prop_map(Step::Read),
        2 => any::<usize>().prop_map(Step::ReadOver),
        3 => any::<usize>().prop_map(Step::Close),
    ]
}

/// The invariants of the plan's page, counted afresh from what is held.
fn check(plan: &Plan, budgets: &Budgets, held: &[BodyId], replays: usize) {
    let (mut used, mut arrivals) = (UsedBytes::default(), 0);
    let mut by_class = vec![UsedBytes::default(); budgets.classes.len()];
    for body in held.iter().filter_map(|id| plan.body(*id)) {
        let in_file = body.tier == Tier::File || body.demoting || body.retains_file;
        for sums in [&mut used, &mut by_class[body.class]] {
            sums.memory += if body.tier == Tier::Memory { body.length } else { 0 };
            sums.file += if in_file { body.length } else { 0 };
        }
        arrivals += body.window_chunks;
        assert!(body.tier != Tier::Passed || body.readers <= 1, "a passed body has one reader");
    }
    assert_eq!((plan.used(), plan.windows()), (used, UsedWindows { arrivals, replays }));
    assert!(
        used.memory <= budgets.memory_bytes && used.file <= budgets.file_bytes,
        "over the budget: {used:?}"
    );
    assert!(
        arrivals + replays <= budgets.window_chunks && 4 * arrivals <= 3 * budgets.window_chunks,
        "too many windows"
    );
    for (class, sums) in budgets.classes.iter().zip(&by_class) {
        assert!(
            sums.memory as f64 <= class.memory_share * budgets.memory_bytes as f64,
            "a class over its memory"
        );
        assert!(sums.file as f64 <= class.file_share * budgets.file_bytes as f64, "a class over its files");
    }
    for (counters, sums) in plan.counters().iter().zip(&by_class) {
        let held = UsedBytes { memory: counters.held_bytes.memory, file: counters.held_bytes.file };
        assert_eq!(held, *sums, "what operators are told");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    #[test]
    fn the_invariants_hold_whatever_happens(steps in prop::collection::vec(step(), 1..200)) {
        let budgets = budgets();
        let mut plan = Plan::new(budgets.clone());
        let (mut held, mut readers, mut now) = (Vec::<BodyId>::new(), Vec::<(BodyId, bool)>::new(), 0.0);
        let any = |held: &[BodyId], at: usize| (!held.is_empty()).then(|| held[at % held.len()]);
        for step in steps {
            now += 0.1;
            match step {
                Step::Admit { class, length } => match plan.admit(now, class, length, now + 5.0) {
                    Ok(admission) => held.push(admission.id),
                    Err(Refusal::TooLarge) => prop_assert!(length > budgets.classes[class].max_bytes),
                    Err(Refusal::NoRoom) => prop_assert!(length <= budgets.classes[class].max_bytes),
                },
                Step::Open(class) => held.extend(plan.admit_unknown_length(now, class, 256 << 10, now + 5.0).map(|b| b.id)),
                Step::Extend(at) => {
                    if let Some(id) = any(&held, at).filter(|id| plan.body(*id).is_some_and(|b| b.length_unknown)) {
                        let (class, had) = plan.body(id).map(|b| (b.class, b.length)).expect("held");
                        match plan.extend(id) {
                            Ok(length) => prop_assert!(length > had && length <= budgets.classes[class].max_bytes),
                            Err(Refusal::TooLarge) => prop_assert_eq!(had, budgets.classes[class].max_bytes),
                            Err(Refusal::NoRoom) => {}
                        }
                    }
                }
                Step::End(at, length) => {
                    if let Some(id) = any(&held, at).filter(|id| plan.body(*id).is_some_and(|b| b.length_unknown)) {
                        let had = plan.body(id).map_or(0, |b| b.length);
                        plan.set_length(id, length % (had + 1));
                    }
                }
                Step::Whole(at) => {
                    // A body whose length is not known is not whole.
                    let closed = any(&held, at).filter(|id| plan.body(*id).is_some_and(|b| !b.length_unknown));
                    closed.into_iter().for_each(|id| plan.mark_complete(id));
                }
                Step::Demote => {
                    let before: Vec<_> = held.iter().filter_map(|id| plan.body(*id).cloned()).collect();
                    if let Some(id) = plan.start_demotion(now) {
                        let chosen = plan.body(id).expect("held").clone();
                        prop_assert!(chosen.complete && chosen.readers == 0 && chosen.tier == Tier::Memory);
                        // No other one that could go, and is no larger, is worth less by the byte.
                        let less = before.iter().filter(|b| {
                            b.tier == Tier::Memory && b.complete && b.readers == 0 && !b.demoting
                                && b.class == chosen.class && b.length <= chosen.length && b.deadline <= chosen.deadline
                                && plan.retention_value(now, b) < plan.retention_value(now, &chosen)
                        });
                        prop_assert_eq!(less.count(), 0);
                    }
                }
                Step::Moved(at, done) => {
                    if let Some(id) = any(&held, at).filter(|id| plan.body(*id).is_some_and(|b| b.demoting)) {
                        let done = done && plan.body(id).is_some_and(|b| b.readers == 0);
                        plan.finish_demotion(id, done);
                    }
                }
                Step::Fail => plan.suspend_files(now + 1.0),
                Step::Fall(at) => {
                    if let Some(id) = any(&held, at) {
                        let before = plan.body(id).expect("held").clone();
                        let fell = plan.fall_back_to_passing(id);
                        let coming = before.tier == Tier::File && !before.complete && !before.length_unknown;
                        let may = coming && budgets.classes[before.class].pass_through;
                        prop_assert_eq!(fell, may, "one that is whole stays");
                    }
                }
                Step::Read(at) => {
                    let free = any(&held, at).filter(|id| plan.can_read(*id));
                    if let Some(id) = free {
                        let filed = plan.body(id).is_some_and(|b| b.tier == Tier::File);
                        if plan.start_read(id) {
                            readers.push((id, filed));
                        }
                    }
                }
                Step::ReadOver(at) => {
                    if !readers.is_empty() {
                        let (id, windowed) = readers.swap_remove(at % readers.len());
                        plan.end_read(id, windowed);
                    }
                }
                Step::Close(at) => {
                    if let Some(id) = any(&held, at) {
                        held.retain(|other| *other != id);
                        plan.release(id);
                        plan.release(id); // a second time is nothing
                    }
                }
            }
            check(&plan, &budgets, &held, REPLAY_WINDOW_CHUNKS * readers.iter().filter(|r| r.1).count());
        }
        // All is given back.
        readers.drain(..).for_each(|(id, windowed)| plan.end_read(id, windowed));
        held.drain(..).for_each(|id| plan.release(id));
        prop_assert_eq!((plan.used(), plan.windows()), (UsedBytes::default(), UsedWindows::default()));
        let nothing = PerTier::default();
        prop_assert!(plan.counters().iter().all(|c| c.held_bytes == nothing && c.held_bodies == nothing));
    }
}

fn tier(plan: &mut Plan, class: usize, length: u64) -> Result<Tier, Refusal> {
    plan.admit(0.0, class, length, 9.0).map(|admission| admission.tier)
}

#[test]
fn a_burst_of_one_class_leaves_the_others_their_room() {
    let mut plan = Plan::new(budgets());
    // Loads may have half of the memory; what is more goes to files, then is passed on.
    let tiers: Vec<_> = (0..20).map(|_| tier(&mut plan, 1, 2 * MB)).collect();
    let count = |wanted| tiers.iter().filter(|t| **t == Ok(wanted)).count();
    assert_eq!((count(Tier::Memory), count(Tier::File) + count(Tier::Passed)), (2, 11));
    assert_eq!(tiers.last(), Some(&Err(Refusal::NoRoom)), "windows run out");
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory), "a look-up still has its place");
}

#[test]
fn one_body_does_not_take_all_of_the_memory() {
    let mut plan = Plan::new(budgets());
    assert_eq!(tier(&mut plan, 0, 3 * MB), Ok(Tier::File));
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory));
    assert_eq!(tier(&mut plan, 0, 9 * MB), Err(Refusal::TooLarge));
}

#[test]
fn where_files_fail_a_body_is_passed_on_or_refused_by_its_class() {
    let mut plan = Plan::new(budgets());
    plan.suspend_files(5.0);
    assert_eq!(tier(&mut plan, 1, 3 * MB), Ok(Tier::Passed));
    assert_eq!(tier(&mut plan, 2, 3 * MB), Err(Refusal::NoRoom), "this class is not passed on");
    assert_eq!(plan.admit(5.0, 2, 3 * MB, 9.0).map(|b| b.tier), Ok(Tier::File), "tried again");
}

#[test]
fn what_can_never_be_repeated_is_demoted_first() {
    let mut plan = Plan::new(budgets());
    let mut ids = Vec::new();
    for class in [0, 2, 1, 0] {
        let Admission { id, tier } = plan.admit(0.0, class, 2 * MB, 9.0).expect("room");
        assert_eq!(tier, Tier::Memory);
        plan.mark_complete(id);
        ids.push(id);
    }
    // Worth by the byte, where a body that cannot follow one which may have run counts a tenth.
    assert_eq!(plan.start_demotion(1.0), Some(ids[1]));
    assert_eq!(plan.start_demotion(1.0), None, "what is on its way counts as gone");
    plan.finish_demotion(ids[1], true);
    assert_eq!(plan.body(ids[1]).map(|b| b.tier), Some(Tier::File));
    assert_eq!(plan.counters()[2].demoted, 1);
}

#[test]
fn of_two_alike_the_one_that_stays_longer_is_demoted() {
    let mut plan = Plan::new(budgets());
    let taken = [3.0, 60.0, 3.0, 3.0].map(|deadline| plan.admit(0.0, 0, 2 * MB, deadline).expect("room").id);
    taken.iter().for_each(|id| plan.mark_complete(*id));
    assert_eq!(plan.start_demotion(1.0), Some(taken[1]));
}
