//! Deterministic subsetting: which engines a coordinator prefers to keep connections to.
//!
//! Every coordinator computes its subset from data known to all (ids, zones and cores of engines, and the
//! number of coordinators) and its own index, so the subsets fit together without communication between
//! coordinators.
//!
//! The engines of a zone are placed on a ring in the order of their hashed ids, each with an arc
//! proportional to its cores. Coordinators are placed on the ring at equal distances and prefer the engines
//! that follow. Thus the numbers of subsets that engines are in differ by at most one, and an engine that
//! joins or leaves changes at most two engines of any subset. `docs/subsetting.md` compares this with other
//! algorithms.

/// An engine on the ring.
#[derive(Clone, Copy, Debug)]
pub struct RingEngine<'a> {
    /// Identity of the engine.
    pub id: &'a str,
    /// Zone of the engine.
    pub zone: &'a str,
    /// Cores of the engine, to which its arc is proportional.
    pub cores: f64,
}

/// Position of each engine in the order of preference of one coordinator: in (0, 1] for engines of the
/// coordinator's own `zone`, in (1, 2] for others.
///
/// Positions are returned in the order of `engines`, which does not influence them. `index` is the
/// coordinator's number, from 0 and below `coordinators`; values outside this range still give an order.
#[must_use]
pub fn subset_positions(engines: &[RingEngine], zone: &str, index: f64, coordinators: f64) -> Vec<f64> {
    let mut positions = vec![0.0; engines.len()];
    for other_zones in [false, true] {
        let mut ring: Vec<usize> =
            (0..engines.len()).filter(|at| (engines[*at].zone != zone) == other_zones).collect();
        ring.sort_by_cached_key(|at| (hash(engines[*at].id), engines[*at].id));
        let circumference = ring.iter().map(|at| engines[*at].cores).sum::<f64>().max(1e-9);
        // In cores, so that rounding puts a coordinator at the end of an arc on the same side everywhere.
        let coordinator = (index + 0.5) * circumference / coordinators.max(1.0);
        let mut arc_end = 0.0;
        for at in ring {
            arc_end += engines[at].cores;
            let distance = (arc_end - coordinator).rem_euclid(circumference) / circumference;
            positions[at] = f64::from(u8::from(other_zones)) + if distance > 0.0 { distance } else { 1.0 };
        }
    }
    positions
}

/// FNV-1a with a finalizer, so that ids that differ only in their last characters are not neighbours.
fn hash(id: &str) -> u64 {
    let hash = id
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}
