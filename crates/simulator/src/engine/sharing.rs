//! Weighted fair sharing of cores and disks.

/// One query's demand for a resource.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// How much it can use.
    pub amount: f64,
    /// Its weight when the resource is scarce.
    pub weight: f64,
}

/// Divides `total` by weight, without giving any demand more than it can use. Returns the share of its amount
/// that each demand gets, 0 to 1, in the order of the demands.
#[must_use]
pub fn weighted_shares(total: f64, demands: &[Demand]) -> Vec<f64> {
    if demands.iter().map(|demand| demand.amount).sum::<f64>() <= total {
        return vec![1.0; demands.len()];
    }
    // In order of amount over weight, demands are met in full as long as their fair share covers them.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let by_weight = |index: usize| demands[index].amount / demands[index].weight;
    order.sort_by(|a, b| by_weight(*a).total_cmp(&by_weight(*b)).then(a.cmp(b)));
    let mut remaining_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut remaining = total;
    let mut shares = vec![1.0; demands.len()];
    for index in order {
        let Demand { amount, weight } = demands[index];
        let allocated = amount.min(remaining * weight / remaining_weight);
        shares[index] = if amount > 0.0 { allocated / amount } else { 1.0 };
        remaining -= allocated;
        remaining_weight -= weight;
    }
    shares
}
