//! Times, sizes and limits of a member, and the faults that tests plant in it.

use crate::Micros;

/// Members that count in quorums, at the most.
pub const MAX_VOTERS: usize = 7;
/// Members of all kinds, at the most.
pub const MAX_MEMBERS: usize = 14;

const DEFAULT_HEARTBEAT_INTERVAL: Micros = 50_000;
const DEFAULT_ELECTION_TIMEOUT: Micros = 300_000;
const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Times and sizes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A leader sends something to each member at least this often (us).
    pub heartbeat_interval: Micros,
    /// A member starts an election after so long without a leader (us), up to twice that. A leader that has not heard
    /// from a quorum for so long steps down.
    pub election_timeout: Micros,
    /// Entries in one message (bytes).
    pub max_append_bytes: usize,
    /// Entries that are under way to one member.
    pub max_inflight_entries: u64,
    /// A snapshot's part in one message (bytes).
    pub snapshot_chunk_bytes: usize,
    /// The largest snapshot that is accepted (bytes, encoded).
    pub max_snapshot_bytes: u64,
    /// Entries that a leader holds uncommitted. Beyond, it rejects proposals.
    pub max_uncommitted_entries: u64,
    /// The same in bytes.
    pub max_uncommitted_bytes: usize,
    /// Entries that are retained before a snapshot, for members that are a little behind.
    pub retained_entries: u64,
    /// The same in bytes.
    pub retained_bytes: usize,
    /// Seeds the random part of the election timeout.
    pub seed: u64,
    /// A fault that a test plants.
    #[cfg(feature = "planted-faults")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    /// What suits members in one zone or in zones of one town.
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

/// Faults that a test plants, to see that it would catch them.
#[cfg(feature = "planted-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// A vote is sent before it is on disk.
    VoteNotStored,
    /// An entry of an older term is committed once a quorum has it.
    CommitOlderTerm,
    /// A read is answered without asking a quorum.
    ReadAlone,
    /// Entries are acknowledged before they are on disk.
    AckNotStored,
    /// A snapshot that does not say who the members were.
    SnapshotForgets,
}

/// Whether a test has planted this fault in the member; never in a build without the feature.
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
