//! Ways to say which engines each gateway keeps to, weighed: how evenly, how many pairs move, what it costs. The one in use
//! is `dahliaspoke::policy::subsetting`; the others stand here to be compared with it.

use dahliaspoke::policy::subsetting::{subset_positions, RingEngine};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Instant;

/// A way to reckon subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each gateway draws an order of its own for each pair: as it was before the rings.
    Draws,
    /// Deterministic subsets by rounds: gateways of a round share out one shuffle of the engines.
    Rounds,
    /// Engines on a circle, gateways at even distances: `dahliaspoke::policy::subsetting`.
    Ring,
    /// The same, and the engines at the ends of a gateway's arc belong to it by a part.
    Fractions,
    /// Rendezvous hashing of all pairs, best first, until an engine or a gateway has its fill.
    Rendezvous,
}

/// All of them.
pub const WAYS: [Way; 5] = [Way::Draws, Way::Rounds, Way::Ring, Way::Fractions, Way::Rendezvous];

/// What a way comes to.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// The most and the least that gateways keep to one engine.
    pub most: f64,
    /// See `most`.
    pub least: f64,
    /// The most over the mean once three gateways in ten have died, drawn.
    pub after_deaths: f64,
    /// Pairs that are new once an engine more is there, the mean of ten, over those that it needs for its part.
    pub moved: f64,
    /// Time of one reckoning at one gateway (us).
    pub micros: f64,
}

fn draw(gateway: usize, id: &str) -> f64 {
    let mix = |sum: u64, byte: u8| sum.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte);
    Pcg64Mcg::seed_from_u64(id.bytes().fold(gateway as u64, mix)).random()
}

/// What one gateway keeps to: engines by position in `ids`, and by how much each.
#[must_use]
pub fn kept(way: Way, ids: &[String], gateway: usize, gateways: usize, keep: usize) -> Vec<(usize, f64)> {
    let count = ids.len();
    let keep = keep.min(count);
    let best = |places: Vec<f64>| {
        let mut order: Vec<usize> = (0..count).collect();
        order.sort_by(|a, b| places[*a].total_cmp(&places[*b]));
        order.into_iter().take(keep).map(|at| (at, 1.0)).collect::<Vec<_>>()
    };
    let ring = || {
        let seats: Vec<RingEngine> = ids.iter().map(|id| RingEngine { id, zone: "", cores: 8.0 }).collect();
        subset_positions(&seats, "", gateway as f64, gateways as f64)
    };
    match way {
        Way::Draws => best(ids.iter().map(|id| draw(gateway, id)).collect()),
        Way::Ring => best(ring()),
        Way::Rounds => {
            let a_round = (count / keep).max(1);
            let mut order: Vec<usize> = (0..count).collect();
            order.sort_by_key(|at| &ids[*at]);
            order.shuffle(&mut Pcg64Mcg::seed_from_u64((gateway / a_round) as u64));
            order.into_iter().skip(gateway % a_round * keep).take(keep).map(|at| (at, 1.0)).collect()
        }
        Way::Fractions if keep == count => (0..count).map(|at| (at, 1.0)).collect(),
        Way::Fractions => {
            // An arc of `keep` engines' length; a place is how far ahead an engine's arc ends.
            let (arc, whole) = (1.0 / count as f64, keep as f64 / count as f64);
            let part = |place: f64| ((whole - (place - arc)).min(arc).min(place) / arc).clamp(0.0, 1.0);
            ring().into_iter().map(part).enumerate().filter(|(_, part)| *part > 0.0).collect()
        }
        Way::Rendezvous => {
            pairs(ids, gateways, keep).into_iter().filter(|p| p.0 == gateway).map(|p| (p.1, 1.0)).collect()
        }
    }
}

/// All pairs at once, as the bound on each engine's load needs.
fn pairs(ids: &[String], gateways: usize, keep: usize) -> Vec<(usize, usize)> {
    let mut all: Vec<(f64, usize, usize)> = Vec::new();
    for gateway in 0..gateways {
        all.extend(ids.iter().enumerate().map(|(at, id)| (draw(gateway, id), gateway, at)));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let most = (gateways * keep).div_ceil(ids.len());
    let (mut own, mut held) = (vec![0; gateways], vec![0; ids.len()]);
    let mut pairs = Vec::new();
    for (_, gateway, at) in all {
        if own[gateway] < keep && held[at] < most {
            own[gateway] += 1;
            held[at] += 1;
            pairs.push((gateway, at));
        }
    }
    pairs
}

/// All gateways' subsets: pairs, and by how much.
fn whole(way: Way, ids: &[String], gateways: usize, keep: usize) -> Vec<(usize, usize, f64)> {
    if way == Way::Rendezvous {
        return pairs(ids, gateways, keep.min(ids.len())).into_iter().map(|(g, at)| (g, at, 1.0)).collect();
    }
    let own = |gateway| {
        kept(way, ids, gateway, gateways, keep).into_iter().map(move |(at, part)| (gateway, at, part))
    };
    (0..gateways).flat_map(own).collect()
}

fn spread(pairs: &[(usize, usize, f64)], engines: usize, counts: impl Fn(usize) -> bool) -> (f64, f64, f64) {
    let mut held = vec![0.0; engines];
    pairs.iter().filter(|p| counts(p.0)).for_each(|p| held[p.1] += p.2);
    let mean = held.iter().sum::<f64>() / engines as f64;
    let (least, most) = held.iter().fold((f64::INFINITY, 0.0f64), |(l, m), h| (l.min(*h), m.max(*h)));
    (least, most, most / mean.max(1e-9))
}

/// Weighs one way.
#[must_use]
pub fn weigh(way: Way, gateways: usize, engines: usize, keep: usize, seed: u64) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let id = |rng: &mut Pcg64Mcg| format!("s-{:08x}", rng.random::<u32>());
    let ids: Vec<String> = (0..engines).map(|_| id(&mut rng)).collect();
    let before = whole(way, &ids, gateways, keep);
    let (least, most, _) = spread(&before, engines, |_| true);
    let dead: BTreeSet<usize> = (0..gateways).filter(|_| rng.random::<f64>() < 0.3).collect();
    let (.., after_deaths) = spread(&before, engines, |gateway| !dead.contains(&gateway));
    let mut moved = 0.0;
    for _ in 0..10 {
        let mut more = ids.clone();
        more.push(id(&mut rng));
        let after = whole(way, &more, gateways, keep);
        let mut had = vec![0.0; gateways * (engines + 1)];
        before.iter().for_each(|(g, at, part)| had[g * (engines + 1) + at] += part);
        moved += after.iter().map(|(g, at, part)| (part - had[g * (engines + 1) + at]).max(0.0)).sum::<f64>();
    }
    let needs = (gateways * keep.min(engines + 1)) as f64 / (engines + 1) as f64;
    let (began, times) = (Instant::now(), 20.min(gateways));
    (0..times).for_each(|gateway| drop(std::hint::black_box(kept(way, &ids, gateway, gateways, keep))));
    let micros = began.elapsed().as_secs_f64() * 1e6 / times as f64;
    Figures { most, least, after_deaths, moved: moved / 10.0 / needs, micros }
}

/// A table for operators and the design note.
#[must_use]
pub fn table(gateways: &[usize], engines: &[usize], keep: usize, seed: u64) -> String {
    let mut text = format!(
        "{:<12}{:>9}{:>9}{:>8}{:>8}{:>14}{:>8}{:>10}\n",
        "way", "gateways", "engines", "least", "most", "after deaths", "moved", "us"
    );
    for (gateways, engines) in gateways.iter().flat_map(|g| engines.iter().map(move |e| (*g, *e))) {
        for way in WAYS {
            let f = weigh(way, gateways, engines, keep, seed);
            text += &format!(
                "{:<12}{gateways:>9}{engines:>9}{:>8.1}{:>8.1}{:>14.2}{:>8.2}{:>10.1}\n",
                format!("{way:?}").to_lowercase(),
                f.least,
                f.most,
                f.after_deaths,
                f.moved,
                f.micros
            );
        }
    }
    text
}
