//! Limits of the sources of the endpoint set.

/// Limits of the sources of the endpoint set.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Interval between two DNS queries.
    pub poll_interval: f64,
    /// Maximum number of DNS queries whose responses are still accepted: those of the last 8 s. Responses may
    /// be late, but a change counts as notified 7 s after it happened in any case.
    pub max_outstanding_queries: usize,
    /// Maximum size of a DNS response: that of a datagram. The protocol specifies 8,000 bytes, about 75
    /// engines.
    pub max_datagram_bytes: usize,
    /// Maximum size of an answer from Consul.
    pub max_consul_answer_bytes: usize,
    /// How long Consul blocks a query. Its response is valid as of the query, and a silent agent is queried
    /// again after a quarter more than this time, so two such periods in a row must fit in the lease on the
    /// list.
    pub consul_wait: f64,
    /// Delay before Consul is queried again after a failure.
    pub consul_retry_delay: f64,
    /// Interval between two reads of the maintenance file, which another process may have changed.
    pub maintenance_poll_interval: f64,
    /// How long an engine that has left the list may still be put into maintenance, since it may be
    /// restarting.
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
