//! Compares algorithms that choose the engines to which each coordinator connects: how even they are, how
//! many pairs move, how long they take. The one in use is `dahliaspoke::policy::subsetting`.

use dahliaspoke::policy::subsetting::{subset_positions, RingEngine};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;

/// Share of the coordinators that fail for [`Figures::after_failures`].
const FAILURE_SHARE: f64 = 0.3;
/// Number of engines that are added, each alone, for [`Figures::moved`].
const ADDITIONS: usize = 10;
/// Number of coordinators whose subset is computed for [`Figures::micros`].
const TIMED_COORDINATORS: usize = 20;

/// An algorithm that chooses subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    /// Each coordinator ranks the engines by a random number that is drawn for each pair.
    Draws,
    /// Deterministic subsets by rounds: the coordinators of a round divide one shuffle of the engines among
    /// them.
    Rounds,
    /// Engines on a ring, coordinators at equal distances: `dahliaspoke::policy::subsetting`.
    Ring,
    /// As [`Ring`](Self::Ring), but engines at the ends of a coordinator's arc belong to it in part.
    Fractions,
    /// Rendezvous hashing of all pairs, best first, with a maximum per engine and per coordinator.
    Rendezvous,
}

/// All algorithms.
pub const ALGORITHMS: [Algorithm; 5] =
    [Algorithm::Draws, Algorithm::Rounds, Algorithm::Ring, Algorithm::Fractions, Algorithm::Rendezvous];

/// Sizes of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of engines in each coordinator's subset.
    pub subset: usize,
}

/// The results of an algorithm.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// The most coordinators that connect to one engine.
    pub most: f64,
    /// The fewest coordinators that connect to one engine.
    pub least: f64,
    /// The most over the mean after three in ten coordinators, drawn at random, have failed.
    pub after_failures: f64,
    /// Pairs that are new after an engine is added, relative to those that its share requires; the mean of
    /// ten.
    pub moved: f64,
    /// Time to compute the subset of one coordinator (us).
    pub micros: f64,
}

/// An engine of a coordinator's subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetEntry {
    /// Position of the engine.
    pub engine: usize,
    /// By how much it belongs to the subset, 0 to 1.
    pub weight: f64,
}

/// A coordinator and an engine of its subset.
struct WeightedPair {
    coordinator: usize,
    entry: SubsetEntry,
}

/// Statistics of the number of coordinators per engine.
struct Spread {
    least: f64,
    most: f64,
    most_over_mean: f64,
}

fn draw(coordinator: usize, id: &str) -> f64 {
    let mix = |sum: u64, byte: u8| sum.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte);
    Pcg64Mcg::seed_from_u64(id.bytes().fold(coordinator as u64, mix)).random()
}

fn complete_entry(engine: usize) -> SubsetEntry {
    SubsetEntry { engine, weight: 1.0 }
}

/// The subset of one coordinator, from engines with these ids.
#[must_use]
pub fn subset(algorithm: Algorithm, ids: &[String], coordinator: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    let sizes = Sizes { subset: sizes.subset.min(ids.len()), ..sizes };
    match algorithm {
        Algorithm::Draws => nearest(&ids.iter().map(|id| draw(coordinator, id)).collect::<Vec<_>>(), sizes),
        Algorithm::Ring => nearest(&ring_positions(ids, coordinator, sizes), sizes),
        Algorithm::Rounds => subset_by_rounds(ids, coordinator, sizes),
        Algorithm::Fractions if sizes.subset == ids.len() => (0..ids.len()).map(complete_entry).collect(),
        Algorithm::Fractions => subset_by_fractions(ids, coordinator, sizes),
        Algorithm::Rendezvous => {
            let pairs = rendezvous_pairs(ids, sizes).into_iter();
            pairs.filter(|pair| pair.coordinator == coordinator).map(|pair| pair.entry).collect()
        }
    }
}

/// The engines with the lowest positions.
fn nearest(positions: &[f64], sizes: Sizes) -> Vec<SubsetEntry> {
    let mut order: Vec<usize> = (0..positions.len()).collect();
    order.sort_by(|a, b| positions[*a].total_cmp(&positions[*b]));
    order.into_iter().take(sizes.subset).map(complete_entry).collect()
}

/// How far ahead of the coordinator each engine's arc on the ring ends.
fn ring_positions(ids: &[String], coordinator: usize, sizes: Sizes) -> Vec<f64> {
    let engines: Vec<RingEngine> = ids.iter().map(|id| RingEngine { id, zone: "", cores: 8.0 }).collect();
    subset_positions(&engines, "", coordinator as f64, sizes.coordinators as f64)
}

fn subset_by_rounds(ids: &[String], coordinator: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    let coordinators_per_round = (ids.len() / sizes.subset).max(1);
    let mut order: Vec<usize> = (0..ids.len()).collect();
    order.sort_by_key(|engine| &ids[*engine]);
    order.shuffle(&mut Pcg64Mcg::seed_from_u64((coordinator / coordinators_per_round) as u64));
    let first = coordinator % coordinators_per_round * sizes.subset;
    order.into_iter().skip(first).take(sizes.subset).map(complete_entry).collect()
}

fn subset_by_fractions(ids: &[String], coordinator: usize, sizes: Sizes) -> Vec<SubsetEntry> {
    // The coordinator's arc is as long as the arcs of its engines together; a position is how far ahead an
    // engine's arc ends.
    let engine_arc = 1.0 / ids.len() as f64;
    let coordinator_arc = sizes.subset as f64 / ids.len() as f64;
    let weight = |position: f64| {
        let overlap = (coordinator_arc - (position - engine_arc)).min(engine_arc).min(position);
        (overlap / engine_arc).clamp(0.0, 1.0)
    };
    let weights = ring_positions(ids, coordinator, sizes).into_iter().map(weight).enumerate();
    let entries = weights.map(|(engine, weight)| SubsetEntry { engine, weight });
    entries.filter(|entry| entry.weight > 0.0).collect()
}

/// All pairs at once, which the bound on the coordinators per engine requires.
fn rendezvous_pairs(ids: &[String], sizes: Sizes) -> Vec<WeightedPair> {
    struct Candidate {
        draw: f64,
        coordinator: usize,
        engine: usize,
    }
    let mut candidates: Vec<Candidate> = Vec::new();
    for coordinator in 0..sizes.coordinators {
        let candidate =
            |(engine, id): (usize, &String)| Candidate { draw: draw(coordinator, id), coordinator, engine };
        candidates.extend(ids.iter().enumerate().map(candidate));
    }
    candidates.sort_by(|a, b| a.draw.total_cmp(&b.draw));
    let most = (sizes.coordinators * sizes.subset).div_ceil(ids.len());
    let mut by_coordinator = vec![0; sizes.coordinators];
    let mut by_engine = vec![0; ids.len()];
    let mut pairs = Vec::new();
    for Candidate { coordinator, engine, .. } in candidates {
        if by_coordinator[coordinator] < sizes.subset && by_engine[engine] < most {
            by_coordinator[coordinator] += 1;
            by_engine[engine] += 1;
            pairs.push(WeightedPair { coordinator, entry: complete_entry(engine) });
        }
    }
    pairs
}

/// The subsets of all coordinators.
fn all_pairs(algorithm: Algorithm, ids: &[String], sizes: Sizes) -> Vec<WeightedPair> {
    if algorithm == Algorithm::Rendezvous {
        return rendezvous_pairs(ids, Sizes { subset: sizes.subset.min(ids.len()), ..sizes });
    }
    let of_coordinator = |coordinator| {
        let entries = subset(algorithm, ids, coordinator, sizes).into_iter();
        entries.map(move |entry| WeightedPair { coordinator, entry })
    };
    (0..sizes.coordinators).flat_map(of_coordinator).collect()
}

/// How the coordinators that are up are distributed over the engines.
fn spread(pairs: &[WeightedPair], engines: usize, is_up: impl Fn(usize) -> bool) -> Spread {
    let mut coordinators = vec![0.0; engines];
    for pair in pairs.iter().filter(|pair| is_up(pair.coordinator)) {
        coordinators[pair.entry.engine] += pair.entry.weight;
    }
    let mean = coordinators.iter().sum::<f64>() / engines as f64;
    let least = coordinators.iter().copied().fold(f64::INFINITY, f64::min);
    let most = coordinators.iter().copied().fold(0.0, f64::max);
    Spread { least, most, most_over_mean: most / mean.max(1e-9) }
}

/// Pairs of `after` that are not in `before`, by weight.
fn moved(before: &[WeightedPair], after: &[WeightedPair], coordinators: usize, engines: usize) -> f64 {
    let index = |pair: &WeightedPair| pair.coordinator * engines + pair.entry.engine;
    let mut weights = vec![0.0; coordinators * engines];
    for pair in before {
        weights[index(pair)] += pair.entry.weight;
    }
    after.iter().map(|pair| (pair.entry.weight - weights[index(pair)]).max(0.0)).sum()
}

/// Measures one algorithm with this number of engines.
#[must_use]
pub fn measure(algorithm: Algorithm, engines: usize, sizes: Sizes, seed: u64) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let draw_id = |rng: &mut Pcg64Mcg| format!("s-{:08x}", rng.random::<u32>());
    let ids: Vec<String> = (0..engines).map(|_| draw_id(&mut rng)).collect();
    let before = all_pairs(algorithm, &ids, sizes);
    let Spread { least, most, .. } = spread(&before, engines, |_| true);
    let failed: BTreeSet<usize> =
        (0..sizes.coordinators).filter(|_| rng.random::<f64>() < FAILURE_SHARE).collect();
    let after_failures =
        spread(&before, engines, |coordinator| !failed.contains(&coordinator)).most_over_mean;
    let mut moved_pairs = 0.0;
    for _ in 0..ADDITIONS {
        let mut more = ids.clone();
        more.push(draw_id(&mut rng));
        let after = all_pairs(algorithm, &more, sizes);
        moved_pairs += moved(&before, &after, sizes.coordinators, engines + 1);
    }
    let subset_size = sizes.subset.min(engines + 1);
    let needed = (sizes.coordinators * subset_size) as f64 / (engines + 1) as f64;
    let micros = time_subset(algorithm, &ids, sizes);
    Figures { most, least, after_failures, moved: moved_pairs / ADDITIONS as f64 / needed, micros }
}

/// Mean time to compute the subset of a coordinator (us).
fn time_subset(algorithm: Algorithm, ids: &[String], sizes: Sizes) -> f64 {
    let started = Instant::now();
    let coordinators = TIMED_COORDINATORS.min(sizes.coordinators);
    for coordinator in 0..coordinators {
        black_box(subset(algorithm, ids, coordinator, sizes));
    }
    started.elapsed().as_secs_f64() * 1e6 / coordinators as f64
}

/// A table of all algorithms for these numbers of coordinators and engines; each coordinator connects to
/// `subset` engines.
#[must_use]
pub fn table(coordinators: &[usize], engines: &[usize], subset: usize, seed: u64) -> String {
    let mut text = format!(
        "{:<12}{:>9}{:>9}{:>8}{:>8}{:>14}{:>8}{:>10}\n",
        "way", "gateways", "engines", "least", "most", "after deaths", "moved", "us"
    );
    for coordinators in coordinators.iter().copied() {
        for engines in engines.iter().copied() {
            for algorithm in ALGORITHMS {
                let figures = measure(algorithm, engines, Sizes { coordinators, subset }, seed);
                let name = format!("{algorithm:?}").to_lowercase();
                let Figures { most, least, after_failures, moved, micros } = figures;
                // Writing to a String cannot fail.
                let _ = write!(text, "{name:<12}{coordinators:>9}{engines:>9}{least:>8.1}{most:>8.1}");
                let _ = writeln!(text, "{after_failures:>14.2}{moved:>8.2}{micros:>10.1}");
            }
        }
    }
    text
}
