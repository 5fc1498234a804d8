//! The search for an order of operations that explains all answers.

use super::register::Register;
use super::{Call, Operation};
use std::collections::HashSet;

/// Unanswered operations in a row that are tried before an answered one.
const MAX_UNANSWERED_IN_A_ROW: usize = 2;

/// Whether some order of the operations, in which none comes before one that was answered before it was called, gives all
/// their answers. Operations without an answer may have been executed at any time, or never.
///
/// Only a later answer needs an unanswered operation; so each is tried just before an answer that is not possible without
/// it, two in a row at the most. Otherwise histories with many of them could not be searched.
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let positions = |is_answered: bool| {
        let is_selected = |at: &usize| operations[*at].answered.is_some() == is_answered;
        let mut positions: Vec<usize> = (0..operations.len()).filter(is_selected).collect();
        positions.sort_by_key(|at| operations[*at].called);
        positions
    };
    let mut unanswered = positions(false);
    unanswered.retain(|at| operations[*at].call != Call::Read);
    let search = Search {
        operations,
        answered: positions(true),
        unanswered,
        executed: vec![false; operations.len()],
        tried: HashSet::new(),
    };
    search.run()
}

/// Operations that are executed together, and the register after them.
struct Extension {
    executed: Vec<usize>,
    register: Register,
}

struct Search<'a> {
    operations: &'a [Operation],
    /// Answered operations by position, in the order of their calls.
    answered: Vec<usize>,
    /// Unanswered writes by position, in the order of their calls.
    unanswered: Vec<usize>,
    /// Which operations the present order contains.
    executed: Vec<bool>,
    /// Sets of executed operations, as bits, with the register after them: Lowe's memory.
    tried: HashSet<(Vec<u64>, Register)>,
}

/// A prefix of the order, and what can follow it.
struct Frame {
    register: Register,
    /// The first answered operation that is not executed, by its place in `Search::answered`.
    first: usize,
    /// The place of the next operation to try.
    next: usize,
    /// Extensions that are not tried yet.
    extensions: Vec<Extension>,
    /// The last operations of the prefix.
    executed: Vec<usize>,
}

impl Frame {
    fn new(register: Register, first: usize, executed: Vec<usize>) -> Self {
        Self { register, first, next: first, extensions: Vec::new(), executed }
    }
}

impl Search<'_> {
    /// Searches depth first with a stack of its own: histories are longer than recursion may be deep.
    fn run(mut self) -> bool {
        let mut stack = vec![Frame::new(Register::default(), 0, Vec::new())];
        while let Some(frame) = stack.last_mut() {
            while frame.first < self.answered.len() && self.executed[self.answered[frame.first]] {
                frame.first += 1;
            }
            if frame.first == self.answered.len() {
                return true;
            }
            frame.next = frame.next.max(frame.first);
            let Some(Extension { executed, register }) = self.next_extension(frame) else {
                let executed = stack.pop().map(|frame| frame.executed).unwrap_or_default();
                self.mark(&executed, false);
                continue;
            };
            self.mark(&executed, true);
            if self.tried.insert((self.executed_bits(), register.clone())) {
                let first = frame.first;
                stack.push(Frame::new(register, first, executed));
            } else {
                self.mark(&executed, false);
            }
        }
        false
    }

    fn mark(&mut self, operations: &[usize], executed: bool) {
        for at in operations {
            self.executed[*at] = executed;
        }
    }

    fn executed_bits(&self) -> Vec<u64> {
        let word = |flags: &[bool]| flags.iter().fold(0, |bits, flag| bits << 1 | u64::from(*flag));
        self.executed.chunks(64).map(word).collect()
    }

    fn next_extension(&self, frame: &mut Frame) -> Option<Extension> {
        let earliest_answer = self.earliest_answer(frame.first);
        loop {
            if let Some(extension) = frame.extensions.pop() {
                return Some(extension);
            }
            let at = *self.answered.get(frame.next)?;
            if self.operations[at].called > earliest_answer {
                return None;
            }
            frame.next += 1;
            if !self.executed[at] {
                frame.extensions =
                    self.extensions(&frame.register, at, earliest_answer, MAX_UNANSWERED_IN_A_ROW);
            }
        }
    }

    /// The first answer among the operations that are not executed: only operations called before it may be next.
    fn earliest_answer(&self, first: usize) -> u64 {
        let mut earliest = u64::MAX;
        for at in self.answered[first..].iter().filter(|at| !self.executed[**at]) {
            let operation = &self.operations[*at];
            if operation.called > earliest {
                break;
            }
            earliest = earliest.min(operation.answered_at());
        }
        earliest
    }

    /// How an answered operation can follow: at once, or after up to `unanswered` operations without an answer.
    fn extensions(
        &self,
        register: &Register,
        at: usize,
        earliest_answer: u64,
        unanswered: usize,
    ) -> Vec<Extension> {
        let operation = &self.operations[at];
        if let Some(register) = register.after(&operation.call, operation.answer()) {
            return vec![Extension { executed: vec![at], register }];
        }
        if unanswered == 0 {
            return Vec::new();
        }
        let mut extensions = Vec::new();
        for other in self.open_unanswered(earliest_answer) {
            let between = register.after(&self.operations[other].call, None);
            let Some(between) = between.filter(|between| between != register) else { continue };
            for mut extension in self.extensions(&between, at, earliest_answer, unanswered - 1) {
                if !extension.executed.contains(&other) {
                    extension.executed.push(other);
                    extensions.push(extension);
                }
            }
        }
        extensions
    }

    /// Unanswered operations that are not executed and were called before that time.
    fn open_unanswered(&self, until: u64) -> impl Iterator<Item = usize> + '_ {
        let is_open = move |at: &usize| !self.executed[*at] && self.operations[*at].called <= until;
        self.unanswered.iter().copied().filter(is_open)
    }
}
