//! The machine's resources that are available to this process.

use dahliaspoke::settings::{number, object_field, SettingsError};
use serde_json::{Map, Value};

/// Share of the descriptors that client connections may use.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.45;

/// Open file descriptors, if the configuration does not specify them.
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
/// Memory, if the configuration does not specify it (MB).
const DEFAULT_MEMORY: f64 = 2048.0;
/// Processes that run side by side during an upgrade.
const PROCESSES_IN_UPGRADE: f64 = 2.0;

/// The machine's resources that are available to this process.
pub(super) struct Machine {
    /// Open file descriptors.
    pub(super) descriptors: f64,
    /// Memory (MB).
    pub(super) memory_mb: f64,
}

impl Machine {
    /// Reads the machine's limits. `shares_listener`: an upgrade runs two processes that share the listening
    /// socket, so each plans with half of the machine.
    pub(super) fn from_config(
        config: &Map<String, Value>,
        shares_listener: bool,
    ) -> Result<Self, SettingsError> {
        let machine = object_field(config, "limits")?;
        let processes = if shares_listener { PROCESSES_IN_UPGRADE } else { 1.0 };
        Ok(Self {
            descriptors: number(machine, "sockets", DEFAULT_DESCRIPTORS)? / processes,
            memory_mb: number(machine, "memory_mb", DEFAULT_MEMORY)? / processes,
        })
    }

    /// Descriptors for client connections. At least one, even if that exceeds the share.
    pub(super) fn client_descriptors(&self) -> f64 {
        (self.descriptors * CLIENT_DESCRIPTOR_SHARE).max(1.0)
    }
}
