//! Timeouts, sizes and limits of a member, and the faults that tests can plant in it.

use crate::Micros;

/// Maximum number of voters.
pub const MAX_VOTERS: usize = 7;
/// Maximum number of members, learners included.
pub const MAX_MEMBERS: usize = 14;

const DEFAULT_HEARTBEAT_INTERVAL: Micros = 50_000;
const DEFAULT_ELECTION_TIMEOUT: Micros = 300_000;
const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Timeouts, sizes and limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A leader sends a message to every member at least this often (us).
    pub heartbeat_interval: Micros,
    /// A member starts an election after one to two times this long without a leader (us). A leader that has had no
    /// contact with a quorum for this long steps down.
    pub election_timeout: Micros,
    /// Maximum size of the entries in one message, unless a single entry is larger (bytes).
    pub max_append_bytes: usize,
    /// Window of entries in flight to one member; the last message may exceed it. Also the maximum lag of a learner that
    /// can be promoted.
    pub max_inflight_entries: u64,
    /// Maximum size of a snapshot chunk in one message (bytes).
    pub snapshot_chunk_bytes: usize,
    /// Maximum encoded size of a snapshot that a member accepts (bytes).
    pub max_snapshot_bytes: u64,
    /// A leader rejects proposals once it has this many uncommitted entries, and reads once this many are pending.
    pub max_uncommitted_entries: u64,
    /// A leader rejects proposals while its uncommitted entries exceed this size (bytes).
    pub max_uncommitted_bytes: usize,
    /// Maximum number of entries retained before a snapshot, for members that are slightly behind.
    pub retained_entries: u64,
    /// Maximum size of the entries retained before a snapshot (bytes).
    pub retained_bytes: usize,
    /// Seeds the random part of the election timeout.
    pub seed: u64,
    /// A fault planted by a test.
    #[cfg(feature = "planted-faults")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    /// Default options, suited to members in one zone or in zones of one city.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            max_append_bytes: 256 * KIB,
            max_inflight_entries: 256,
            snapshot_chunk_bytes: 64 * KIB,
            max_snapshot_bytes: 32 * MIB as u64,
            max_uncommitted_entries: 1024,
            max_uncommitted_bytes: 4 * MIB,
            retained_entries: 256,
            retained_bytes: 2 * MIB,
            seed,
            #[cfg(feature = "planted-faults")]
            planted_fault: None,
        }
    }
}

/// Faults that tests plant, to show that they would detect them.
#[cfg(feature = "planted-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// A vote is sent before it is on disk.
    VoteNotStored,
    /// An entry of an older term is committed as soon as a quorum has it on disk.
    CommitOlderTerm,
    /// A read is answered without confirmation by a quorum.
    ReadAlone,
    /// Entries are acknowledged before they are on disk.
    AckNotStored,
    /// A snapshot is taken without the members.
    SnapshotForgets,
}

/// Whether a test has planted this fault in the member; always false without the feature.
macro_rules! is_planted {
    ($raft:ident, $fault:ident) => {{
        #[cfg(feature = "planted-faults")]
        let planted = $raft.options.planted_fault == Some(crate::raft::PlantedFault::$fault);
        #[cfg(not(feature = "planted-faults"))]
        let planted = false;
        planted
    }};
}
pub(super) use is_planted;
