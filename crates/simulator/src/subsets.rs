//! Algorithms that choose the engines to which each gateway keeps connections, compared: how even they are, how many
//! pairs move, what they cost. The one in use is `dahliaspoke::policy::subsetting`.

use dahliaspoke::policy::subsetting::{subset_positions, RingEngine};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;

/// Share of the gateways that dies for [`Figures::after_deaths`].
const DEATH_SHARE: f64 = 0.3;
/// Engines that are added, one at a time, for [`Figures::moved`].
const ADDITIONS: usize = 10;
/// Gateways whose subset is computed for [`Figures::micros`].
const TIMED_GATEWAYS: usize = 20;

/// An algorithm that chooses subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    /// Each gateway draws an order of its own for each pair.
    Draws,
    /// Deterministic subsets by rounds: the gateways of a round share out one shuffle of the engines.
    Rounds,
    /// Engines on a circle, gateways at even distances: `dahliaspoke::policy::subsetting`.
    Ring,
    /// The same, and engines at the ends of a gateway's arc belong to it in part.
    Fractions,
    /// Rendezvous hashing of all pairs, best first, until an engine or a gateway has its fill.
    Rendezvous,
}

/// All algorithms.
pub const ALGORITHMS: [Algorithm; 5] =
    [Algorithm::Draws, Algorithm::Rounds, Algorithm::Ring, Algorithm::Fractions, Algorithm::Rendezvous];

/// Sizes of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Gateways.
    pub gateways: usize,
    /// Engines that each gateway keeps to.
    pub subset: usize,
}

/// How an algorithm does.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// The most gateways that keep to one engine.
    pub most: f64,
    /// The fewest gateways that keep to one engine.
    pub least: f64,
    /// The most over the mean once three gateways in ten, drawn at random, have died.
    pub after_deaths: f64,
    /// Pairs that are new once an engine is added, over those that it needs for its part; the mean of ten.
    pub moved: f64,
    /// Time to compute the subset of one gateway (us).
    pub micros: f64,
}

/// An engine of a gateway's subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetEntry {
    /// Position of the engine.
    pub engine: usize,
    /// By how much it belongs to the subset, 0 to 1.
    pub weight: f64,
}

/// A gateway and an engine of its subset.
struct WeightedPair {
    gateway: usize,
    entry: SubsetEntry,
}

/// The gateways of each engine.
struct Spread {
    least: f64,
    most: f64,
    most_over_mean: f64,
}

fn draw(gateway: usize, id: &str) -> f64 {
    let mix = |sum: u64, byte: u8| sum.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte);
    Pcg64Mcg::seed_from_u64(id.bytes().fold(gateway as u64, mix)).random()
}

fn complete_entry(engine: usize) -> SubsetEntry {
    SubsetEntry { engine, weight: 1.0 }
}

/// The subset of one gateway, of engines with these ids.
#[must_use]
pub fn subset(algorithm: Algorithm, ids: &[String], gateway: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    let sizes = Sizes { subset: sizes.subset.min(ids.len()), ..sizes };
    match algorithm {
        Algorithm::Draws => nearest(&ids.iter().map(|id| draw(gateway, id)).collect::<Vec<_>>(), sizes),
        Algorithm::Ring => nearest(&ring_positions(ids, gateway, sizes), sizes),
        Algorithm::Rounds => subset_by_rounds(ids, gateway, sizes),
        Algorithm::Fractions if sizes.subset == ids.len() => (0..ids.len()).map(complete_entry).collect(),
        Algorithm::Fractions => subset_by_fractions(ids, gateway, sizes),
        Algorithm::Rendezvous => {
            let pairs = rendezvous_pairs(ids, sizes).into_iter();
            pairs.filter(|pair| pair.gateway == gateway).map(|pair| pair.entry).collect()
        }
    }
}

/// The engines with the lowest positions.
fn nearest(positions: &[f64], sizes: Sizes) -> Vec<SubsetEntry> {
    let mut order: Vec<usize> = (0..positions.len()).collect();
    order.sort_by(|a, b| positions[*a].total_cmp(&positions[*b]));
    order.into_iter().take(sizes.subset).map(complete_entry).collect()
}

/// How far ahead of the gateway each engine's arc on the ring ends.
fn ring_positions(ids: &[String], gateway: usize, sizes: Sizes) -> Vec<f64> {
    let engines: Vec<RingEngine> = ids.iter().map(|id| RingEngine { id, zone: "", cores: 8.0 }).collect();
    subset_positions(&engines, "", gateway as f64, sizes.gateways as f64)
}

fn subset_by_rounds(ids: &[String], gateway: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    let gateways_per_round = (ids.len() / sizes.subset).max(1);
    let mut order: Vec<usize> = (0..ids.len()).collect();
    order.sort_by_key(|engine| &ids[*engine]);
    order.shuffle(&mut Pcg64Mcg::seed_from_u64((gateway / gateways_per_round) as u64));
    let first = gateway % gateways_per_round * sizes.subset;
    order.into_iter().skip(first).take(sizes.subset).map(complete_entry).collect()
}

fn subset_by_fractions(ids: &[String], gateway: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    // The gateway's arc has the length of its engines' arcs; a position is how far ahead an engine's arc ends.
    let engine_arc = 1.0 / ids.len() as f64;
    let gateway_arc = sizes.subset as f64 / ids.len() as f64;
    let weight = |position: f64| {
        let overlap = (gateway_arc - (position - engine_arc)).min(engine_arc).min(position);
        (overlap / engine_arc).clamp(0.0, 1.0)
    };
    let weights = ring_positions(ids, gateway, sizes).into_iter().map(weight).enumerate();
    let entries = weights.map(|(engine, weight)| SubsetEntry { engine, weight });
    entries.filter(|entry| entry.weight > 0.0).collect()
}

/// All pairs at once, as the bound on each engine's gateways needs.
fn rendezvous_pairs(ids: &[String], sizes: Sizes) -> Vec<WeightedPair> {
    struct Candidate {
        draw: f64,
        gateway: usize,
        engine: usize,
    }
    let mut candidates: Vec<Candidate> = Vec::new();
    for gateway in 0..sizes.gateways {
        let candidate =
            |(engine, id): (usize, &String)| Candidate { draw: draw(gateway, id), gateway, engine };
        candidates.extend(ids.iter().enumerate().map(candidate));
    }
    candidates.sort_by(|a, b| a.draw.total_cmp(&b.draw));
    let most = (sizes.gateways * sizes.subset).div_ceil(ids.len());
    let mut by_gateway = vec![0; sizes.gateways];
    let mut by_engine = vec![0; ids.len()];
    let mut pairs = Vec::new();
    for Candidate { gateway, engine, .. } in candidates {
        if by_gateway[gateway] < sizes.subset && by_engine[engine] < most {
            by_gateway[gateway] += 1;
            by_engine[engine] += 1;
            pairs.push(WeightedPair { gateway, entry: complete_entry(engine) });
        }
    }
    pairs
}

/// The subsets of all gateways.
fn all_pairs(algorithm: Algorithm, ids: &[String], sizes: Sizes) -> Vec<WeightedPair> {
    if algorithm == Algorithm::Rendezvous {
        return rendezvous_pairs(ids, Sizes { subset: sizes.subset.min(ids.len()), ..sizes });
    }
    let of_gateway = |gateway| {
        let entries = subset(algorithm, ids, gateway, sizes).into_iter();
        entries.map(move |entry| WeightedPair { gateway, entry })
    };
    (0..sizes.gateways).flat_map(of_gateway).collect()
}

/// How the gateways that are alive spread over the engines.
fn spread(pairs: &[WeightedPair], engines: usize, is_alive: impl Fn(usize) -> bool) -> Spread {
    let mut gateways = vec![0.0; engines];
    for pair in pairs.iter().filter(|pair| is_alive(pair.gateway)) {
        gateways[pair.entry.engine] += pair.entry.weight;
    }
    let mean = gateways.iter().sum::<f64>() / engines as f64;
    let least = gateways.iter().copied().fold(f64::INFINITY, f64::min);
    let most = gateways.iter().copied().fold(0.0, f64::max);
    Spread { least, most, most_over_mean: most / mean.max(1e-9) }
}

/// Pairs of `after` that are not in `before`, by weight.
fn moved(before: &[WeightedPair], after: &[WeightedPair], gateways: usize, engines: usize) -> f64 {
    let index = |pair: &WeightedPair| pair.gateway * engines + pair.entry.engine;
    let mut weights = vec![0.0; gateways * engines];
    for pair in before {
        weights[index(pair)] += pair.entry.weight;
    }
    after.iter().map(|pair| (pair.entry.weight - weights[index(pair)]).max(0.0)).sum()
}

/// Measures one algorithm over that many engines.
#[must_use]
pub fn measure(algorithm: Algorithm, engines: usize, sizes: Sizes, seed: u64) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let draw_id = |rng: &mut Pcg64Mcg| format!("s-{:08x}", rng.random::<u32>());
    let ids: Vec<String> = (0..engines).map(|_| draw_id(&mut rng)).collect();
    let before = all_pairs(algorithm, &ids, sizes);
    let Spread { least, most, .. } = spread(&before, engines, |_| true);
    let dead: BTreeSet<usize> = (0..sizes.gateways).filter(|_| rng.random::<f64>() < DEATH_SHARE).collect();
    let after_deaths = spread(&before, engines, |gateway| !dead.contains(&gateway)).most_over_mean;
    let mut moved_pairs = 0.0;
    for _ in 0..ADDITIONS {
        let mut more = ids.clone();
        more.push(draw_id(&mut rng));
        let after = all_pairs(algorithm, &more, sizes);
        moved_pairs += moved(&before, &after, sizes.gateways, engines + 1);
    }
    let subset_size = sizes.subset.min(engines + 1);
    let needed = (sizes.gateways * subset_size) as f64 / (engines + 1) as f64;
    let micros = time_subset(algorithm, &ids, sizes);
    Figures { most, least, after_deaths, moved: moved_pairs / ADDITIONS as f64 / needed, micros }
}

/// Mean time to compute the subset of a gateway (us).
fn time_subset(algorithm: Algorithm, ids: &[String], sizes: Sizes) -> f64 {
    let began = Instant::now();
    let gateways = TIMED_GATEWAYS.min(sizes.gateways);
    for gateway in 0..gateways {
        black_box(subset(algorithm, ids, gateway, sizes));
    }
    began.elapsed().as_secs_f64() * 1e6 / gateways as f64
}

/// A table of all algorithms for these numbers of gateways and engines; each gateway keeps to `subset` engines.
#[must_use]
pub fn table(gateways: &[usize], engines: &[usize], subset: usize, seed: u64) -> String {
    let mut text = format!(
        "{:<12}{:>9}{:>9}{:>8}{:>8}{:>14}{:>8}{:>10}\n",
        "way", "gateways", "engines", "least", "most", "after deaths", "moved", "us"
    );
    for gateways in gateways.iter().copied() {
        for engines in engines.iter().copied() {
            for algorithm in ALGORITHMS {
                let figures = measure(algorithm, engines, Sizes { gateways, subset }, seed);
                let name = format!("{algorithm:?}").to_lowercase();
                let Figures { most, least, after_deaths, moved, micros } = figures;
                // Writing to a String cannot fail.
                let _ = write!(text, "{name:<12}{gateways:>9}{engines:>9}{least:>8.1}{most:>8.1}");
                let _ = writeln!(text, "{after_deaths:>14.2}{moved:>8.2}{micros:>10.1}");
            }
        }
    }
    text
}
