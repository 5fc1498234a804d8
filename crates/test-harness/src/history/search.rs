//! Searches for a linearization: an order of the operations that explains all answers.

use super::register::Register;
use super::{Call, Operation};
use std::collections::HashSet;

/// Maximum number of consecutive unanswered operations tried before an answered one.
const MAX_UNANSWERED_IN_A_ROW: usize = 2;

/// Whether some order of the operations produces all their answers without placing an operation before one
/// that was answered before it was called. An operation without an answer may have been executed at any time
/// after its call, or never.
///
/// An unanswered operation matters only if a later answer depends on it. So each is tried only directly
/// before an answer that is impossible without it, and at most two in a row. Otherwise the search would be
/// infeasible for histories with many of them.
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let positions = |is_answered: bool| {
        let is_selected = |index: &usize| operations[*index].answered.is_some() == is_answered;
        let mut positions: Vec<usize> = (0..operations.len()).filter(is_selected).collect();
        positions.sort_by_key(|index| operations[*index].called);
        positions
    };
    let mut unanswered = positions(false);
    unanswered.retain(|index| operations[*index].call != Call::Read);
    let search = Search {
        operations,
        answered: positions(true),
        unanswered,
        executed: vec![false; operations.len()],
        tried: HashSet::new(),
    };
    search.run()
}

/// Operations to append to the order together, and the register after them.
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
    /// Which operations the current order contains, by position.
    executed: Vec<bool>,
    /// Lowe's memoization: the sets of executed operations already tried, as bits, with the register after
    /// them.
    tried: HashSet<(Vec<u64>, Register)>,
}

/// A prefix of the order, and the candidates to follow it.
struct Frame {
    register: Register,
    /// Index in `Search::answered` of the first operation that is not executed.
    first: usize,
    /// Index in `Search::answered` of the next operation to try.
    next: usize,
    /// Extensions not tried yet.
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
    /// Searches depth first with an explicit stack, since long histories would overflow the call stack.
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
        for index in operations {
            self.executed[*index] = executed;
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
            let index = *self.answered.get(frame.next)?;
            if self.operations[index].called > earliest_answer {
                return None;
            }
            frame.next += 1;
            if !self.executed[index] {
                frame.extensions =
                    self.extensions(&frame.register, index, earliest_answer, MAX_UNANSWERED_IN_A_ROW);
            }
        }
    }

    /// The earliest answer time of the operations that are not executed. Only operations called before it may
    /// come next.
    fn earliest_answer(&self, first: usize) -> u64 {
        let mut earliest = u64::MAX;
        for index in self.answered[first..].iter().filter(|index| !self.executed[**index]) {
            let operation = &self.operations[*index];
            if operation.called > earliest {
                break;
            }
            earliest = earliest.min(operation.answered_at());
        }
        earliest
    }

    /// The ways in which an answered operation can follow: directly, or after up to `unanswered` unanswered
    /// operations.
    fn extensions(
        &self,
        register: &Register,
        index: usize,
        earliest_answer: u64,
        unanswered: usize,
    ) -> Vec<Extension> {
        let operation = &self.operations[index];
        if let Some(register) = register.after(&operation.call, operation.answer()) {
            return vec![Extension { executed: vec![index], register }];
        }
        if unanswered == 0 {
            return Vec::new();
        }
        let mut extensions = Vec::new();
        for unanswered_index in self.open_unanswered(earliest_answer) {
            let between = register.after(&self.operations[unanswered_index].call, None);
            let Some(between) = between.filter(|between| between != register) else { continue };
            for mut extension in self.extensions(&between, index, earliest_answer, unanswered - 1) {
                if !extension.executed.contains(&unanswered_index) {
                    extension.executed.push(unanswered_index);
                    extensions.push(extension);
                }
            }
        }
        extensions
    }

    /// Unanswered operations that are not executed and were called no later than `until`.
    fn open_unanswered(&self, until: u64) -> impl Iterator<Item = usize> + '_ {
        let is_open = move |index: &usize| !self.executed[*index] && self.operations[*index].called <= until;
        self.unanswered.iter().copied().filter(is_open)
    }
}
