//! Checks the plan against a simple model: the invariants documented in the `plan` module must hold
//! after every step of random histories.

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

/// A reader that was registered with the plan.
struct ActiveReader {
    body: BodyId,
    has_window: bool,
}

/// A plan, and a record of the calls to it, from which the expected usage is recomputed.
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

    /// Selects a body by index; `None` if there is none or it does not satisfy the predicate.
    fn pick(&self, index: usize, wanted: impl Fn(&BodyState) -> bool) -> Option<BodyId> {
        let id = *self.bodies.get(index.checked_rem(self.bodies.len())?)?;
        self.plan.body(id).is_some_and(wanted).then_some(id)
    }

    fn state(&self, id: BodyId) -> BodyState {
        self.plan.body(id).expect("a live body").clone()
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
                // A body of unknown length cannot be complete.
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
        // No other candidate of the class that is no larger and whose deadline is no later has a
        // lower value.
        let value = |body: &BodyState| self.plan.retention_value(self.now, body);
        let lower_valued = before.iter().filter(|body| {
            body.tier == Tier::Memory
                && body.complete
                && body.readers == 0
                && !body.demoting
                && body.class == chosen.class
                && body.length <= chosen.length
                && body.deadline <= chosen.deadline
                && value(body) < value(&chosen)
        });
        prop_assert_eq!(lower_valued.count(), 0);
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
        let fell_back = self.plan.fall_back_to_pass_through(id);
        let arriving = before.tier == Tier::File && !before.complete && !before.length_unknown;
        let expected = arriving && self.budgets.classes[before.class].pass_through;
        prop_assert_eq!(fell_back, expected, "only an arriving body of a class with pass-through falls back");
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
            self.plan.release(id); // a second call has no effect
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

    /// Bytes in use by class, recomputed from the bodies.
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

    /// Windows in use, recomputed from the bodies and the readers.
    fn used_windows(&self) -> UsedWindows {
        let bodies = self.bodies.iter().filter_map(|id| self.plan.body(*id));
        let readers_with_window = self.readers.iter().filter(|reader| reader.has_window).count();
        UsedWindows {
            arrivals: bodies.map(|body| body.window_chunks).sum(),
            replays: REPLAY_WINDOW_CHUNKS * readers_with_window,
        }
    }

    /// Checks the invariants of the `plan` module.
    fn check(&self) {
        let by_class = self.used_by_class();
        let (memory, file) =
            by_class.iter().fold((0, 0), |sum, used| (sum.0 + used.memory, sum.1 + used.file));
        let (used, windows) = (UsedBytes { memory, file }, self.used_windows());
        assert_eq!((self.plan.used(), self.plan.windows()), (used, windows));
        let budgets = &self.budgets;
        let within_budgets = used.memory <= budgets.memory_bytes && used.file <= budgets.file_bytes;
        assert!(within_budgets, "over budget: {used:?}");
        let all_windows = windows.arrivals + windows.replays;
        let within_windows =
            all_windows <= budgets.window_chunks && 4 * windows.arrivals <= 3 * budgets.window_chunks;
        assert!(within_windows, "too many windows");
        for (class, used) in budgets.classes.iter().zip(&by_class) {
            let max_memory = class.memory_share * budgets.memory_bytes as f64;
            let max_file = class.file_share * budgets.file_bytes as f64;
            assert!(used.memory as f64 <= max_memory, "a class exceeds its share of the memory");
            assert!(used.file as f64 <= max_file, "a class exceeds its share of the files");
        }
        for (counters, used) in self.plan.counters().iter().zip(&by_class) {
            let counted =
                UsedBytes { memory: counters.current_bytes.memory, file: counters.current_bytes.file };
            assert_eq!(counted, *used, "the counters differ from the bodies");
        }
        for body in self.bodies.iter().filter_map(|id| self.plan.body(*id)) {
            assert!(
                body.tier != Tier::PassThrough || body.readers <= 1,
                "a body that is passed through has several readers"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_in_random_histories(steps in prop::collection::vec(step(), 1..200)) {
        let mut history = History::new();
        for step in steps {
            history.now += 0.1;
            history.apply(step)?;
            history.check();
        }
        history.release_all();
        let plan = &history.plan;
        prop_assert_eq!((plan.used(), plan.windows()), (UsedBytes::default(), UsedWindows::default()));
        let zero = PerTier::default();
        prop_assert!(plan.counters().iter().all(|c| c.current_bytes == zero && c.current_bodies == zero));
    }
}

fn tier(plan: &mut Plan, class: usize, length: u64) -> Result<Tier, Rejection> {
    plan.admit(0.0, class, length, 9.0).map(|admission| admission.tier)
}

#[test]
fn a_burst_of_one_class_leaves_capacity_for_others() {
    let mut plan = Plan::new(budgets());
    // Class 1 may use half of the memory; further bodies go to files, then they are passed through.
    let tiers: Vec<_> = (0..20).map(|_| tier(&mut plan, 1, 2 * MB)).collect();
    let count = |wanted| tiers.iter().filter(|t| **t == Ok(wanted)).count();
    assert_eq!((count(Tier::Memory), count(Tier::File) + count(Tier::PassThrough)), (2, 11));
    assert_eq!(tiers.last(), Some(&Err(Rejection::NoCapacity)), "no windows left");
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory), "another class still has memory");
}

#[test]
fn one_body_may_not_use_all_of_the_memory() {
    let mut plan = Plan::new(budgets());
    assert_eq!(tier(&mut plan, 0, 3 * MB), Ok(Tier::File));
    assert_eq!(tier(&mut plan, 0, 2 * MB), Ok(Tier::Memory));
    assert_eq!(tier(&mut plan, 0, 9 * MB), Err(Rejection::TooLarge));
}

#[test]
fn with_files_suspended_the_class_decides_between_pass_through_and_rejection() {
    let mut plan = Plan::new(budgets());
    plan.suspend_files(5.0);
    assert_eq!(tier(&mut plan, 1, 3 * MB), Ok(Tier::PassThrough));
    assert_eq!(tier(&mut plan, 2, 3 * MB), Err(Rejection::NoCapacity), "this class has no pass-through");
    assert_eq!(plan.admit(5.0, 2, 3 * MB, 9.0).map(|b| b.tier), Ok(Tier::File), "files are used again");
}

#[test]
fn bodies_of_unrepeatable_requests_are_demoted_first() {
    let mut plan = Plan::new(budgets());
    let mut ids = Vec::new();
    for class in [0, 2, 1, 0] {
        let Admission { id, tier } = plan.admit(0.0, class, 2 * MB, 9.0).expect("admitted");
        assert_eq!(tier, Tier::Memory);
        plan.mark_complete(id);
        ids.push(id);
    }
    // Retention value per byte: the priority weight of class 2, which is not repeatable, counts for
    // a tenth.
    assert_eq!(plan.start_demotion(1.0), Some(ids[1]));
    assert_eq!(plan.start_demotion(1.0), None, "memory of a body being demoted is not counted as used");
    plan.finish_demotion(ids[1], true);
    assert_eq!(plan.body(ids[1]).map(|b| b.tier), Some(Tier::File));
    assert_eq!(plan.counters()[2].demoted, 1);
}

#[test]
fn the_body_with_the_latest_deadline_is_demoted_first() {
    let mut plan = Plan::new(budgets());
    let body_ids =
        [3.0, 60.0, 3.0, 3.0].map(|deadline| plan.admit(0.0, 0, 2 * MB, deadline).expect("admitted").id);
    body_ids.iter().for_each(|id| plan.mark_complete(*id));
    assert_eq!(plan.start_demotion(1.0), Some(body_ids[1]));
}

#[test]
fn the_largest_body_is_demoted_first() {
    let mut plan = Plan::new(budgets());
    let lengths = [3 * MB / 2, 2 * MB, 2 * MB, 2 * MB];
    let body_ids = lengths.map(|length| plan.admit(0.0, 0, length, 9.0).expect("admitted").id);
    body_ids.iter().for_each(|id| plan.mark_complete(*id));
    assert_eq!(plan.start_demotion(1.0), Some(body_ids[1]));
}
