//! Tenant quotas: one token bucket for this coordinator's share of each quota.

use super::Settings;

/// A token bucket.
struct TokenBucket {
    /// Remaining requests of the quota; negative while it is exceeded.
    tokens: f64,
    /// When the bucket was last refilled (seconds).
    updated_at: f64,
}

/// The buckets of all tenants, by position in the settings.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates buckets that hold the quota of one second each.
    pub fn new(settings: &Settings) -> Self {
        let bucket =
            |quota_per_s: f64| TokenBucket { tokens: quota_per_s / settings.coordinators, updated_at: 0.0 };
        Self { buckets: settings.tenants.iter().map(|tenant| bucket(tenant.quota_per_s)).collect() }
    }

    /// Counts a request of a tenant; returns whether it is over the tenant's quota.
    pub fn is_exceeded(&mut self, now: f64, settings: &Settings, tenant: usize) -> bool {
        let rate = settings.tenants[tenant].quota_per_s / settings.coordinators;
        let bucket = &mut self.buckets[tenant];
        let refilled = bucket.tokens.max(0.0) + (now - bucket.updated_at) * rate;
        bucket.tokens = refilled.min(rate.max(1.0)) - 1.0;
        bucket.updated_at = now;
        bucket.tokens < 0.0
    }
}
