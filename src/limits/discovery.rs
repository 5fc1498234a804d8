//! Limits of the sources of the endpoint set.

/// Limits of the sources of the endpoint list.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Interval between two DNS queries.
    pub poll_interval: f64,
    /// DNS queries that an answer may still come to: 8 s of them. Lists come late, and what they tell counts as notified 7 s
    /// after it happened in any case.
    pub max_outstanding_queries: usize,
    /// A DNS answer: as much as a datagram holds. The protocol says 8,000 bytes, some 75 engines.
    pub max_datagram_bytes: usize,
    /// An answer of Consul.
    pub max_consul_answer_bytes: usize,
    /// How long Consul holds a blocking query. What it answers is true as of the query, so with a quarter more, after which
    /// a silent agent is queried anew, two in a row must fit in the lease on the list.
    pub consul_wait: f64,
    /// Delay before Consul is tried again.
    pub consul_retry_delay: f64,
    /// Interval between two reads of the maintenance file, which another process may have changed.
    pub maintenance_poll_interval: f64,
    /// An engine that has left the list may be put into maintenance for so long: it may be restarting.
    pub departed_retention: f64,
}

impl DiscoveryLimits {
    pub(super) fn new() -> Self {
        Self {
            poll_interval: 0.2,
            max_outstanding_queries: 40,
            max_datagram_bytes: 65_535,
            max_consul_answer_bytes: 1 << 20,
            consul_wait: 2.0,
            consul_retry_delay: 1.0,
            maintenance_poll_interval: 0.2,
            departed_retention: 60.0,
        }
    }
}
