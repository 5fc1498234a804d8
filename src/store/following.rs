//! Which copy of the store this daemon uses: that of its own member, or that of its watcher.
//!
//! A daemon that is configured as a member may not take part in the store: it has lost its disk and was not added
//! again, it was removed, its disk has failed, or it has lost contact with the leader. It then watches the other
//! members, as a daemon without a member does, and uses the watcher's copy until its own is up to date again.

use super::{Member, Watcher};
use crate::net::Time;

/// How long a member may be without a leader before this daemon watches the others (s): elections are shorter.
const MAX_TIME_WITHOUT_LEADER: Time = 1.5;

/// The copy of the store that a daemon uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The state machine of its own member.
    Member,
    /// The copy of its watcher.
    Watcher,
}

/// Decides when a daemon with a member of its own watches the others, and which copy it uses.
pub struct Following {
    source: Source,
    /// When the member was last up to date, or the start.
    member_current_at: Time,
}

impl Following {
    /// The state at the start.
    pub fn new(now: Time, source: Source) -> Self {
        Self { source, member_current_at: now }
    }

    /// The copy in use.
    pub fn source(&self) -> Source {
        self.source
    }

    /// Starts or ends the watch, and chooses the copy. Returns whether another one is in use from now on. A copy that
    /// is not up to date remains in use until the other one is.
    pub fn update(&mut self, now: Time, member: &Member, watcher: &mut Watcher) -> bool {
        let replica = member.replica();
        let is_member_current = replica.is_current(now);
        if is_member_current {
            self.member_current_at = now;
        }
        let has_lost_contact = now - self.member_current_at > MAX_TIME_WITHOUT_LEADER;
        watcher.set_active(now, !replica.participates() || has_lost_contact);
        let source = match (is_member_current, watcher.view().is_current(now)) {
            (true, _) => Source::Member,
            (false, true) => Source::Watcher,
            (false, false) => self.source,
        };
        source != std::mem::replace(&mut self.source, source)
    }
}
