//! The plan against a plain model: whatever happens in whatever order, the invariants of its page hold.

use dahliaspoke_body_store::plan::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseResult};

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
    AdmitUnknownLength(usize),
    Extend(usize),
    SetLength(usize, u64),
    MarkComplete(usize),
    StartDemotion,
    FinishDemotion(usize, bool),
    SuspendFiles,
    FallBack(usize),
    StartRead(usize),
    EndRead(usize),
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![1..64 * 1024u64, 64 * 1024..2 * MB, MB..10 * MB];
    prop_oneof![
        4 => (0..3usize, length).prop_map(|(class, length)| Step::Admit { class, length }),
        1 => (0..3usize).prop_map(Step::AdmitUnknownLength),
        2 => any::<usize>().prop_map(Step::Extend),
        1 => (any::<usize>(), any::<u64>()).prop_map(|(index, length)| Step::SetLength(index, length)),
        4 => any::<usize>().prop_map(Step::MarkComplete),
        2 => Just(Step::StartDemotion),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(index, succeeds)| Step::FinishDemotion(index, succeeds)),
        1 => Just(Step::SuspendFiles),
        1 => any::<usize>().prop_map(Step::FallBack),
        2 => any::<usize>().prop_map(Step::StartRead),
        2 => any::<usize>().prop_map(Step::EndRead),
        3 => any::<usize>().prop_map(Step::Release),
    ]
}

/// A reader that the plan has begun.
struct ActiveReader {
    body: BodyId,
    has_window: bool,
}

/// A plan and what it was asked for, from which the invariants are counted afresh.
struct History {
    budgets: Budgets,
    plan: Plan,
    bodies: Vec<BodyId>,
    readers: Vec<ActiveReader>,
    now: f64,
}

impl History {
    fn new() -> Self {
        let budgets = budgets();
        let plan = Plan::new(budgets.clone());
        Self { budgets, plan, bodies: Vec::new(), readers: Vec::new(), now: 0.0 }
    }

    /// One of the bodies, if there is one and it is as wanted.
    fn pick(&self, index: usize, wanted: impl Fn(&BodyState) -> bool) -> Option<BodyId> {
        let id = *self.bodies.get(index.checked_rem(self.bodies.len())?)?;
        self.plan.body(id).is_some_and(wanted).then_some(id)
    }

    fn state(&self, id: BodyId) -> BodyState {
        self.plan.body(id).expect("held").clone()
    }

    fn apply(&mut self, step: Step) -> TestCaseResult {
        match step {
            Step::Admit { class, length } => self.admit(class, length)?,
            Step::AdmitUnknownLength(class) => {
                let admitted = self.plan.admit_unknown_length(self.now, class, 256 << 10, self.now + 5.0);
                self.bodies.extend(admitted.map(|admission| admission.id));
            }
            Step::Extend(index) => self.extend(index)?,
            Step::SetLength(index, length) => self.set_length(index, length),
            Step::MarkComplete(index) => {
                // A body whose length is not known is not complete.
                if let Some(id) = self.pick(index, |body| !body.length_unknown) {
                    self.plan.mark_complete(id);
                }
            }
            Step::StartDemotion => self.start_demotion()?,
            Step::FinishDemotion(index, succeeds) => self.finish_demotion(index, succeeds),
            Step::SuspendFiles => self.plan.suspend_files(self.now + 1.0),
            Step::FallBack(index) => self.fall_back(index)?,
            Step::StartRead(index) => self.start_read(index),
            Step::EndRead(index) => self.end_read(index),
            Step::Release(index) => self.release(index),
        }
        Ok(())
    }

    fn admit(&mut self, class: usize, length: u64) -> TestCaseResult {
        let max_bytes = self.budgets.classes[class].max_bytes;
        match self.plan.admit(self.now, class, length, self.now + 5.0) {
            Ok(admission) => self.bodies.push(admission.id),
            Err(Rejection::TooLarge) => prop_assert!(length > max_bytes),
            Err(Rejection::NoCapacity) => prop_assert!(length <= max_bytes),
        }
        Ok(())
    }

    fn extend(&mut self, index: usize) -> TestCaseResult {
        let Some(id) = self.pick(index, |body| body.length_unknown) else { return Ok(()) };
        let before = self.state(id);
        let max_bytes = self.budgets.classes[before.class].max_bytes;
        match self.plan.extend(id) {
            Ok(length) => prop_assert!(length > before.length && length <= max_bytes),
            Err(Rejection::TooLarge) => prop_assert_eq!(before.length, max_bytes),
            Err(Rejection::NoCapacity) => {}
        }
        Ok(())
    }

    fn set_length(&mut self, index: usize, length: u64) {
        if let Some(id) = self.pick(index, |body| body.length_unknown) {
            let reserved = self.state(id).length;
            self.plan.set_length(id, length % (reserved + 1));
        }
    }

    fn start_demotion(&mut self) -> TestCaseResult {
        let before: Vec<_> = self.bodies.iter().map(|id| self.state(*id)).collect();
        let Some(id) = self.plan.start_demotion(self.now) else { return Ok(()) };
        let chosen = self.state(id);
        prop_assert!(chosen.complete && chosen.readers == 0 && chosen.tier == Tier::Memory);
        // No other one that could go, and is no larger, is worth less by the byte.
        let value = |body: &BodyState| self.plan.retention_value(self.now, body);
        let less = before.iter().filter(|body| {
            body.tier == Tier::Memory
                && body.complete
                && body.readers == 0
                && !body.demoting
                && body.class == chosen.class
                && body.length <= chosen.length
                && body.deadline <= chosen.deadline
                && value(body) < value(&chosen)
        });
        prop_assert_eq!(less.count(), 0);
        Ok(())
    }

    fn finish_demotion(&mut self, index: usize, succeeds: bool) {
        if let Some(id) = self.pick(index, |body| body.demoting) {
            let succeeded = succeeds && self.state(id).readers == 0;
            self.plan.finish_demotion(id, succeeded);
        }
    }

    fn fall_back(&mut self, index: usize) -> TestCaseResult {
        let Some(id) = self.pick(index, |_| true) else { return Ok(()) };
        let before = self.state(id);
        let fell = self.plan.fall_back_to_pass_through(id);
        let arriving = before.tier == Tier::File && !before.complete && !before.length_unknown;
        let may = arriving && self.budgets.classes[before.class].pass_through;
        prop_assert_eq!(fell, may, "one that is complete stays");
        Ok(())
    }

    fn start_read(&mut self, index: usize) {
        let Some(id) = self.pick(index, |_| true).filter(|id| self.plan.can_read(*id)) else { return };
        let has_window = self.state(id).tier == Tier::File;
        if self.plan.start_read(id) {
            self.readers.push(ActiveReader { body: id, has_window });
        }
    }

    fn end_read(&mut self, index: usize) {
        if let Some(index) = index.checked_rem(self.readers.len()) {
            let reader = self.readers.swap_remove(index);
            self.plan.end_read(reader.body, reader.has_window);
        }
    }

    fn release(&mut self, index: usize) {
        if let Some(id) = self.pick(index, |_| true) {
            self.bodies.retain(|other| *other != id);
            self.plan.release(id);
            self.plan.release(id); // a second time has no effect
        }
    }

    /// Ends all readers, then releases all bodies.
    fn release_all(&mut self) {
        for reader in self.readers.drain(..) {
            self.plan.end_read(reader.body, reader.has_window);
        }
        for id in self.bodies.drain(..) {
            self.plan.release(id);
        }
    }

    /// Bytes in use by class, counted from the bodies.
    fn used_by_class(&self) -> Vec<UsedBytes> {
        let mut by_class = vec![UsedBytes::default(); self.budgets.classes.len()];
        for body in self.bodies.iter().filter_map(|id| self.plan.body(*id)) {
            let in_file = body.tier == Tier::File || body.demoting || body.retains_file;
            let used = &mut by_class[body.class];
            used.memory += if body.tier == Tier::Memory { body.length } else { 0 };
            used.file += if in_file { body.length } else { 0 };
        }
        by_class
    }

    /// Windows in use, counted from the bodies and the readers.
    fn used_windows(&self) -> UsedWindows {
        let bodies = self.bodies.iter().filter_map(|id| self.plan.body(*id));
        let readers_with_window = self.readers.iter().filter(|reader| reader.has_window).count();
        UsedWindows {
            arrivals: bodies.map(|body| body.window_chunks).sum(),
            replays: REPLAY_WINDOW_CHUNKS * readers_with_window,
        }
    }

    /// The invariants of the plan's page.
    fn check(&self) {
        let by_class = self.used_by_class();
        let (memory, file) =
            by_class.iter().fold((0, 0), |sum, used| (sum.0 + used.memory, sum.1 + used.file));
        let (used, windows) = (UsedBytes { memory, file }, self.used_windows());
        assert_eq!((self.plan.used(), self.plan.windows()), (used, windows));
        let budgets = &self.budgets;
        let within = used.memory <= budgets.memory_bytes && used.file <= budgets.file_bytes;
        assert!(within, "over the budget: {used:?}");
        let all_windows = windows.arrivals + windows.replays;
        let few = all_windows <= budgets.window_chunks && 4 * windows.arrivals <= 3 * budgets.window_chunks;
        assert!(few, "too many windows");
        for (class, used) in budgets.classes.iter().zip(&by_class) {
            let max_memory = class.memory_share * budgets.memory_bytes as f64;
            let max_file = class.file_share * budgets.file_bytes as f64;
            assert!(used.memory as f64 <= max_memory, "a class over its memory");
            assert!(used.file as f64 <= max_file, "a class over its files");
        }
        for (counters, used) in self.plan.counters().iter().zip(&by_class) {
            let held = UsedBytes { memory: counters.current_bytes.memory, file: counters.current_bytes.file };
            assert_eq!(held, *used, "what operators are told");
        }
        for body in self.bodies.iter().filter_map(|id| self.plan.body(*id)) {
            assert!(body.tier != Tier::PassThrough || body.readers <= 1, "a passed body has one reader");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    #[test]
    fn the_invariants_hold_whatever_happens(steps in prop::collection::vec(step(), 1..200)) {
        let mut history = History::new();
        for step in steps {
            history.now += 0.1;
            history.apply(step)?;
            history.check();
        }
        history.release_all();
        let plan = &history.plan;
        prop_assert_eq!((plan.used(), plan.windows()), (UsedBytes::default(), UsedWindows::default()));
        let nothing = PerTier::default();
        prop_assert!(plan.counters().iter().all(|c| c.current_bytes == nothing && c.current_bodies == nothing));
    }
}

fn tier(plan: &mut Plan, class: usize, length: u64) -> Result<Tier, Rejection> {
    plan.admit(0.0, class, length, 9.0).map(|admission| admission.tier)
}

#[test]
fn a_burst_of_one_class_leaves_the_others_their_room() {
    let mut plan = Plan::new(budgets());
    // Loads may have half of the memory; what is more goes to files, then is passed on.
    let tiers: Vec<_> = (0..20).map(|_| tier(&mut plan, 1, 2 * MB)).collect();
    let count = |wanted| tiers.iter().filter(|t| **t == Ok(wanted)).count();
    assert_eq!((count(Tier::Memory), count(Tier::File) + count(Tier::PassThrough)), (2, 11));
    assert_eq!(tiers.last(), Some(&Err(Rejection::NoCapacity)), "windows run out");
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory), "a look-up still has its place");
}

#[test]
fn one_body_does_not_take_all_of_the_memory() {
    let mut plan = Plan::new(budgets());
    assert_eq!(tier(&mut plan, 0, 3 * MB), Ok(Tier::File));
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory));
    assert_eq!(tier(&mut plan, 0, 9 * MB), Err(Rejection::TooLarge));
}

#[test]
fn where_files_fail_a_body_is_passed_on_or_refused_by_its_class() {
    let mut plan = Plan::new(budgets());
    plan.suspend_files(5.0);
    assert_eq!(tier(&mut plan, 1, 3 * MB), Ok(Tier::PassThrough));
    assert_eq!(tier(&mut plan, 2, 3 * MB), Err(Rejection::NoCapacity), "this class is not passed on");
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

#[test]
fn of_two_alike_the_larger_one_is_demoted() {
    let mut plan = Plan::new(budgets());
    let lengths = [3 * MB / 2, 2 * MB, 2 * MB, 2 * MB];
    let taken = lengths.map(|length| plan.admit(0.0, 0, length, 9.0).expect("room").id);
    taken.iter().for_each(|id| plan.mark_complete(*id));
    assert_eq!(plan.start_demotion(1.0), Some(taken[1]));
}
