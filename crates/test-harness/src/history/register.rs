//! The model of a register that the search applies operations to.

use super::{Answer, Call};

/// The content of a register. The version is unknown after a write without an answer, but at least
/// `min_version`.
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

    /// Whether it may have this version.
    fn may_have(&self, version: u64) -> bool {
        self.value.is_some() && self.version.map_or(version >= self.min_version, |own| own == version)
    }

    /// The register after a call, or `None` if the answer is impossible. A call without an answer is assumed
    /// to have been executed.
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

    /// Each write increases the version.
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
