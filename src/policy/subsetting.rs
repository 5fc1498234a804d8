//! Which engines a gateway keeps to, reckoned from what all gateways are told alike: ids, zones, cores,
//! their number and
//! how many they are. Pure: nobody asks anybody, and yet the subsets add up.
//!
//! The engines of a zone lie on a circle in the order of their hashed ids, each with an arc by its cores;
//! gateways stand on
//! it at even distances and prefer what follows. So every engine is kept to by equally many gateways,
//! within one, and an
//! engine that comes or goes changes two of a gateway's at the most. `docs/subsetting.md` has what else was
//! weighed.

/// An engine, as the list tells it.
#[derive(Clone, Copy, Debug)]
pub struct Seat<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its size: arcs go by it.
    pub cores: f64,
}

/// Where each engine stands in a gateway's order of preference: above 0 and up to 1 in its own zone, above
/// 1 and up to 2 in
/// the others. Shape: as `seats`, whose order does not matter. `number` is from 0, below `gateways`; a
/// fleet whose settings
/// tell otherwise gets an order all the same.
#[must_use]
pub fn places(seats: &[Seat], zone: &str, number: f64, gateways: f64) -> Vec<f64> {
    let mut places = vec![0.0; seats.len()];
    for away in [false, true] {
        let mut circle: Vec<usize> =
            (0..seats.len()).filter(|at| (seats[*at].zone != zone) == away).collect();
        circle.sort_by_cached_key(|at| (mixed(seats[*at].id), seats[*at].id));
        let whole = circle.iter().map(|at| seats[*at].cores).sum::<f64>().max(1e-9);
        // In cores, so that one who stands just where an arc ends is on the same side of it for all.
        let stand = (number + 0.5) * whole / gateways.max(1.0);
        let mut end = 0.0;
        for at in circle {
            end += seats[at].cores;
            let ahead = (end - stand).rem_euclid(whole) / whole;
            places[at] = f64::from(u8::from(away)) + if ahead > 0.0 { ahead } else { 1.0 };
        }
    }
    places
}

/// FNV-1a, and a finisher so that ids that differ in their last letters alone do not lie side by side.
fn mixed(id: &str) -> u64 {
    let hash = id
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}
