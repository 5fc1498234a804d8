//! Faults that a scenario injects.

use serde::Deserialize;

/// A fault, as listed under `[[trouble]]` in a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it starts (s).
    pub at_s: f64,
    /// How long it lasts (s).
    #[serde(default)]
    pub for_s: f64,
    /// Share of the engines that it affects; for coordinator crashes and bursts, share of the coordinators.
    #[serde(default = "default_share", rename = "part")]
    pub share: f64,
    /// How severe it is, as a share, for the kinds that have a severity.
    #[serde(default = "default_share")]
    pub size: f64,
}

/// Share and size of a fault that specifies none.
fn default_share() -> f64 {
    0.25
}

/// The kinds of faults. Scenario files use kebab case, and different names for some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Engines stop immediately, and restart with a warm-up.
    Crash,
    /// Engines accept queries and make no progress.
    Hang,
    /// A share `size` of the queries fails immediately.
    Errors,
    /// Another program uses a share `size` of the cores.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// Load reports are not refreshed.
    LateReports,
    /// Engines drain, stop, and are replaced by warming ones with the same ids; they start to do so one after
    /// the other within `for_s`.
    Replace,
    /// A zone is unreachable, and its engines restart with a warm-up afterwards.
    #[serde(rename = "lost-hall")]
    ZoneOutage,
    /// A share `size` of the answers is lost.
    LostAnswers,
    /// Coordinators stop immediately and restart with only their list of engines.
    #[serde(rename = "herd")]
    CoordinatorCrash,
    /// Clients of some coordinators raise their request rate by a share `size`.
    Burst,
}

impl FaultKind {
    /// Whether the fault is ended after `for_s`; the others complete by themselves.
    pub(crate) fn has_end(self) -> bool {
        !matches!(self, Self::CoordinatorCrash | Self::Replace)
    }
}
