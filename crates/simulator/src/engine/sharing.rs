//! Weighted fair sharing of cores and disks.

/// What one query asks of a resource.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// How much it can use.
    pub amount: f64,
    /// Its weight where the resource is short.
    pub weight: f64,
}

/// Shares `total` out by weight, and nobody gets more than it can use. Returns the part of its amount that each demand
/// is given, 0 to 1, in the order of the demands.
#[must_use]
pub fn weighted_shares(total: f64, demands: &[Demand]) -> Vec<f64> {
    if demands.iter().map(|demand| demand.amount).sum::<f64>() <= total {
        return vec![1.0; demands.len()];
    }
    // The smallest demands by weight are met in full, as long as a fair part covers them.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let by_weight = |index: usize| demands[index].amount / demands[index].weight;
    order.sort_by(|a, b| by_weight(*a).total_cmp(&by_weight(*b)).then(a.cmp(b)));
    let mut remaining_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut remaining = total;
    let mut shares = vec![1.0; demands.len()];
    for index in order {
        let Demand { amount, weight } = demands[index];
        let given = amount.min(remaining * weight / remaining_weight);
        shares[index] = if amount > 0.0 { given / amount } else { 1.0 };
        remaining -= given;
        remaining_weight -= weight;
    }
    shares
}
