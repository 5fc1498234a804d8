//! Routes: which upstream runs the requests of which listener.

use super::{Listener, Upstream};

/// A listener and the upstream that runs its requests. Requests name their route by its position in the list that the core
/// is handed.
pub struct Route<'a> {
    /// Where requests of this route come from.
    pub listener: &'a mut dyn Listener,
    /// Where attempts of this route run.
    pub upstream: &'a mut dyn Upstream,
}
