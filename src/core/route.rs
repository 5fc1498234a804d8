//! Routes: which upstream runs the requests of which listener.

use super::{Listener, Upstream};

/// A listener and the upstream that runs its requests. Requests refer to their route by its position in the
/// list that is passed to the core.
pub struct Route<'a> {
    /// Receives the requests of this route.
    pub listener: &'a mut dyn Listener,
    /// Runs the attempts of this route.
    pub upstream: &'a mut dyn Upstream,
}
