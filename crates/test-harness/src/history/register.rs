//! A register as the search sees it.

use super::{Answer, Call};

/// What a register may hold. The version is unknown after a write without an answer; it is at least `min_version`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Register {
    value: Option<String>,
    version: Option<u64>,
    min_version: u64,
}

impl Register {
    fn with(version: u64, value: &str) -> Self {
        Self { value: Some(value.into()), version: Some(version), min_version: version }
    }

    /// Whether its version may be this one.
    fn may_have(&self, version: u64) -> bool {
        self.value.is_some() && self.version.map_or(version >= self.min_version, |own| own == version)
    }

    /// The register after a call, if the answer is possible. Without an answer the call was executed.
    pub(super) fn after(&self, call: &Call, answer: Option<&Answer>) -> Option<Self> {
        match call {
            Call::Read => self.after_read(answer),
            Call::Write(value) => self.after_write(value, answer),
            Call::CompareAndSwap(expected, value) => self.after_compare_and_swap(*expected, value, answer),
        }
    }

    fn after_read(&self, answer: Option<&Answer>) -> Option<Self> {
        match answer {
            None => Some(self.clone()),
            Some(Answer::Value(None)) => self.value.is_none().then(|| self.clone()),
            Some(Answer::Value(Some((version, value)))) => {
                let is_same = self.value.as_ref() == Some(value) && self.may_have(*version);
                is_same.then(|| Self::with(*version, value))
            }
            Some(_) => None,
        }
    }

    /// Versions grow with each write.
    fn after_write(&self, value: &str, answer: Option<&Answer>) -> Option<Self> {
        match answer {
            Some(Answer::Written(version)) => {
                (*version > self.min_version).then(|| Self::with(*version, value))
            }
            Some(_) => None,
            None => {
                Some(Self { value: Some(value.into()), version: None, min_version: self.min_version + 1 })
            }
        }
    }

    fn after_compare_and_swap(&self, expected: u64, value: &str, answer: Option<&Answer>) -> Option<Self> {
        let is_empty = self.value.is_none();
        let may_match = if expected == 0 { is_empty } else { self.may_have(expected) };
        let must_match = if expected == 0 { is_empty } else { self.version == Some(expected) };
        match answer {
            Some(Answer::VersionMismatch) => (!must_match).then(|| self.clone()),
            Some(_) if !may_match => None,
            Some(_) => {
                let matched = Self { min_version: expected.max(self.min_version), ..self.clone() };
                matched.after_write(value, answer)
            }
            None if may_match => self.after_write(value, None),
            None => Some(self.clone()),
        }
    }
}
