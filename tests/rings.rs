//! Subsets that every gateway reckons for itself add up.

use dahliaspoke::policy::subsetting::{subset_positions, RingEngine};

/// Engines of that many zones, in turn.
fn ids(count: usize, from: usize) -> Vec<String> {
    (from..from + count).map(|n| format!("node-{n}")).collect()
}

fn seats(ids: &[String], zones: usize) -> Vec<RingEngine<'_>> {
    const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
    let zone = |n: usize| ZONES[n % zones];
    ids.iter().enumerate().map(|(n, id)| RingEngine { id, zone: zone(n), cores: 8.0 }).collect()
}

/// The engines that a gateway of that zone keeps to.
fn kept(seats: &[RingEngine], zone: &str, number: usize, gateways: usize, keep: usize) -> Vec<usize> {
    let places = subset_positions(seats, zone, number as f64, gateways as f64);
    let mut order: Vec<usize> = (0..seats.len()).collect();
    order.sort_by(|a, b| places[*a].total_cmp(&places[*b]));
    order.truncate(keep);
    order
}

/// How many gateways keep to each engine.
fn keepers(seats: &[RingEngine], gateways: usize, keep: usize) -> Vec<usize> {
    let mut keepers = vec![0; seats.len()];
    for number in 0..gateways {
        kept(seats, "hall-a", number, gateways, keep).into_iter().for_each(|at| keepers[at] += 1);
    }
    keepers
}

#[test]
fn every_engine_is_kept_to_by_equally_many_within_one() {
    for gateways in [1, 3, 10, 30, 100, 300, 309, 1000] {
        for engines in [1, 2, 7, 8, 30, 36, 60] {
            for keep in [1, 3, 10] {
                let ids = ids(engines, 0);
                let keepers = keepers(&seats(&ids, 1), gateways, keep);
                let (least, most) = (keepers.iter().min(), keepers.iter().max());
                assert!(
                    most.unwrap() - least.unwrap() <= 1,
                    "{gateways} gateways, {engines} engines, {keep} kept: {keepers:?}"
                );
            }
        }
    }
}

#[test]
fn the_own_zone_comes_first_and_all_reckon_alike_in_whatever_order_they_are_told() {
    let ids = ids(24, 0);
    let told = seats(&ids, 3);
    let mut other = told.clone();
    other.reverse();
    for number in 0..30 {
        let order = kept(&told, "hall-b", number, 30, 24);
        let zones: Vec<&str> = order.iter().map(|at| told[*at].zone).collect();
        assert!(zones[..8].iter().all(|zone| *zone == "hall-b"), "{zones:?}");
        let again: Vec<&str> =
            kept(&other, "hall-b", number, 30, 24).iter().map(|at| other[*at].id).collect();
        let first: Vec<&str> = order.iter().map(|at| told[*at].id).collect();
        assert_eq!(first, again);
    }
}

/// Zones whose gateways are numbered in turn, as fleets are: even in each zone as well.
#[test]
fn zones_are_even_each_where_gateways_are_numbered_in_turn() {
    let ids = ids(36, 0);
    let told = seats(&ids, 3);
    let mut keepers = vec![0usize; told.len()];
    for number in 0..300 {
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        kept(&told, zone, number, 300, 10).into_iter().for_each(|at| keepers[at] += 1);
    }
    let (least, most) = (keepers.iter().min().unwrap(), keepers.iter().max().unwrap());
    assert!(most - least <= 2, "{keepers:?}");
}

/// The pairs that an engine brings or takes have to move; beside those, each gateway changes one of its engines at most.
#[test]
fn an_engine_that_comes_or_goes_moves_one_engine_of_a_gateway_at_most() {
    for engines in [8, 30, 60] {
        let (before, more) = (ids(engines, 0), ids(engines + 1, 0));
        let (before, after) = (seats(&before, 1), seats(&more, 1));
        let mut moved = 0;
        for number in 0..300 {
            let old = kept(&before, "hall-a", number, 300, 6);
            let new = kept(&after, "hall-a", number, 300, 6);
            let fresh = new.iter().filter(|at| !old.contains(at)).count();
            assert!(fresh <= 2, "gateway {number} changes {fresh}");
            moved += fresh;
        }
        // Its own pairs and half a pair a gateway.
        assert!(moved <= 300 * 6 / (engines + 1) + 1 + 300 * 6 / 10, "{moved} of {} pairs", 300 * 6);
    }
}

/// Half of them gone at once: even again with the next list, and nobody is left with none.
#[test]
fn half_of_the_engines_gone_leaves_nobody_with_none() {
    let all = ids(60, 0);
    let left: Vec<String> = all.iter().step_by(2).cloned().collect();
    let left = seats(&left, 1);
    let keepers = keepers(&left, 300, 10);
    assert!(keepers.iter().all(|count| *count == 100), "{keepers:?}");
    assert!((0..300).all(|number| kept(&left, "hall-a", number, 300, 10).len() == 10));
}

/// What settings tell may be wrong: a number past the count, one that two have, a count of none.
#[test]
fn odd_numbers_get_an_order_all_the_same() {
    let ids = ids(8, 0);
    let told = seats(&ids, 2);
    for (number, gateways) in [(7.0, 3.0), (-1.0, 3.0), (0.0, 0.0), (1e9, 1.0)] {
        let places = subset_positions(&told, "hall-a", number, gateways);
        assert!(places.iter().all(|place| *place > 0.0 && *place <= 2.0), "{places:?}");
    }
    assert!(subset_positions(&[], "hall-a", 0.0, 3.0).is_empty());
}
