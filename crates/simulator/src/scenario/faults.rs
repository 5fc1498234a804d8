//! Faults that a scenario injects.

use serde::Deserialize;

/// A fault, as a scenario file has it under `[[trouble]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins (s).
    pub at_s: f64,
    /// How long it lasts (s).
    #[serde(default)]
    pub for_s: f64,
    /// Share of the engines that it affects; of the coordinators for crashes of coordinators and bursts.
    #[serde(default = "default_share", rename = "part")]
    pub share: f64,
    /// How severe it is, as a share, for the kinds that have a severity.
    #[serde(default = "default_share")]
    pub size: f64,
}

/// Share and size of a fault that names none.
fn default_share() -> f64 {
    0.25
}

/// What can go wrong. Scenario files have the names in kebab case, some of them other ones than here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Engines stop at once, and start again with a warm-up.
    Crash,
    /// Engines accept queries and make no progress.
    Hang,
    /// `size` of the queries fails at once.
    Errors,
    /// Another program takes `size` of the cores.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// Load reports are not refreshed.
    LateReports,
    /// Engines drain, go, and are replaced by warming ones in the same places, one after the other within `for_s`.
    Replace,
    /// A zone cannot be reached, and its engines start again with a warm-up.
    #[serde(rename = "lost-hall")]
    ZoneOutage,
    /// `size` of the answers never arrives.
    LostAnswers,
    /// Coordinators stop at once and restart with nothing but their list of engines.
    #[serde(rename = "herd")]
    CoordinatorCrash,
    /// Clients of a part of the coordinators send `size` more requests.
    Burst,
}

impl FaultKind {
    /// Whether the fault ends after its time; the others run their course by themselves.
    pub(crate) fn has_end(self) -> bool {
        !matches!(self, Self::CoordinatorCrash | Self::Replace)
    }
}
