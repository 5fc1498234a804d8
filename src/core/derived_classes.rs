//! Classes for requests that must not be repeated even though their class allows it.

use super::Request;
use dahliaspoke::policy::{ClassSettings, Idempotency, Settings};

/// Maps each class of the settings to the classes of its requests that must not run twice: those without the
/// idempotency key that the class requires, and those whose body is passed through: it is not retained and
/// so cannot be sent again.
///
/// A derived class is a copy of the original with [`Idempotency::Never`]; both cases share it.
pub(super) struct DerivedClasses {
    /// By class, the class of its requests without a key.
    without_key: Vec<usize>,
    /// By class, the class of its requests whose body is passed through.
    passed_through: Vec<usize>,
}

impl DerivedClasses {
    /// Appends the derived classes to the settings. `may_pass_through`: whether bodies may be passed through.
    ///
    /// Settings with the same idempotencies in the same order get the same derived classes.
    pub(super) fn append_to(settings: &mut Settings, may_pass_through: bool) -> Self {
        let mut without_key: Vec<usize> = (0..settings.classes.len()).collect();
        let mut passed_through = without_key.clone();
        for position in 0..without_key.len() {
            let class = &settings.classes[position];
            let needs_key = class.idempotency == Idempotency::WithKey;
            let always = class.idempotency == Idempotency::Always;
            if !(needs_key || may_pass_through && always) {
                continue;
            }
            let derived = ClassSettings { idempotency: Idempotency::Never, ..class.clone() };
            let derived_position = settings.classes.len();
            settings.classes.push(derived);
            passed_through[position] = derived_position;
            if needs_key {
                without_key[position] = derived_position;
            }
        }
        Self { without_key, passed_through }
    }

    /// The position of the class that the policy applies to a request.
    pub(super) fn class_of(&self, request: &Request) -> usize {
        if request.uploading {
            self.passed_through[request.class]
        } else if request.payload.idempotency_key.is_none() {
            self.without_key[request.class]
        } else {
            request.class
        }
    }
}
