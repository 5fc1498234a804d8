//! The part of the settings that cannot change in service, since open requests refer to classes and tenants
//! by position.

use dahliaspoke::policy::{ClassSettings, Idempotency, Settings};
use thiserror::Error;

/// Why settings cannot be applied in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FixedSettingsError {
    /// Classes differ in number, order, name or idempotency.
    #[error("classes: names, order and effect cannot change in service, only at a restart")]
    Classes,
    /// Tenants differ in number, order or name.
    #[error("tenants: names and order cannot change in service, only at a restart")]
    Tenants,
}

/// The fixed part of a class.
#[derive(Clone, Debug, PartialEq)]
struct FixedClass {
    name: String,
    idempotency: Idempotency,
}

/// The fixed part of settings.
#[derive(Clone, Debug)]
pub(super) struct FixedSettings {
    classes: Vec<FixedClass>,
    tenants: Vec<String>,
}

impl FixedSettings {
    /// Extracts the fixed part of these settings.
    pub(super) fn of(settings: &Settings) -> Self {
        let class =
            |class: &ClassSettings| FixedClass { name: class.name.clone(), idempotency: class.idempotency };
        Self {
            classes: settings.classes.iter().map(class).collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// Checks whether other settings can be applied in service.
    pub(super) fn check(&self, settings: &Settings) -> Result<(), FixedSettingsError> {
        let other = Self::of(settings);
        if other.classes != self.classes {
            return Err(FixedSettingsError::Classes);
        }
        if other.tenants != self.tenants {
            return Err(FixedSettingsError::Tenants);
        }
        Ok(())
    }
}
