//! Subsets that every coordinator computes on its own cover all engines evenly.

use dahliaspoke::policy::subsetting::{subset_positions, RingEngine};

/// Ids of `count` engines, numbered from `from`.
fn ids(count: usize, from: usize) -> Vec<String> {
    (from..from + count).map(|n| format!("node-{n}")).collect()
}

/// Engines with these ids, assigned to `zones` zones in turn.
fn ring_engines(ids: &[String], zones: usize) -> Vec<RingEngine<'_>> {
    const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
    let zone = |n: usize| ZONES[n % zones];
    ids.iter().enumerate().map(|(n, id)| RingEngine { id, zone: zone(n), cores: 8.0 }).collect()
}

/// The subset of coordinator `number`, which is in `zone`: positions in the list of engines.
fn subset(
    ring_engines: &[RingEngine],
    zone: &str,
    number: usize,
    coordinators: usize,
    subset_size: usize,
) -> Vec<usize> {
    let positions = subset_positions(ring_engines, zone, number as f64, coordinators as f64);
    let mut order: Vec<usize> = (0..ring_engines.len()).collect();
    order.sort_by(|a, b| positions[*a].total_cmp(&positions[*b]));
    order.truncate(subset_size);
    order
}

/// How many coordinators have each engine in their subset.
fn subset_counts(ring_engines: &[RingEngine], coordinators: usize, subset_size: usize) -> Vec<usize> {
    let mut subset_counts = vec![0; ring_engines.len()];
    for number in 0..coordinators {
        subset(ring_engines, "hall-a", number, coordinators, subset_size)
            .into_iter()
            .for_each(|at| subset_counts[at] += 1);
    }
    subset_counts
}

#[test]
fn every_engine_is_in_equally_many_subsets_within_one() {
    for coordinators in [1, 3, 10, 30, 100, 300, 309, 1000] {
        for engines in [1, 2, 7, 8, 30, 36, 60] {
            for subset_size in [1, 3, 10] {
                let ids = ids(engines, 0);
                let subset_counts = subset_counts(&ring_engines(&ids, 1), coordinators, subset_size);
                let (least, most) = (subset_counts.iter().min(), subset_counts.iter().max());
                assert!(
                    most.unwrap() - least.unwrap() <= 1,
                    "{coordinators} coordinators, {engines} engines, {subset_size} per subset: {subset_counts:?}"
                );
            }
        }
    }
}

#[test]
fn own_zone_comes_first_whatever_the_order_of_the_list() {
    let ids = ids(24, 0);
    let listed = ring_engines(&ids, 3);
    let mut reversed = listed.clone();
    reversed.reverse();
    for number in 0..30 {
        let order = subset(&listed, "hall-b", number, 30, 24);
        let zones: Vec<&str> = order.iter().map(|at| listed[*at].zone).collect();
        assert!(zones[..8].iter().all(|zone| *zone == "hall-b"), "{zones:?}");
        let again: Vec<&str> =
            subset(&reversed, "hall-b", number, 30, 24).iter().map(|at| reversed[*at].id).collect();
        let first: Vec<&str> = order.iter().map(|at| listed[*at].id).collect();
        assert_eq!(first, again);
    }
}

/// Fleets number their coordinators with zones in turn; subsets are then even within each zone as well.
#[test]
fn subsets_are_even_in_each_zone_where_coordinators_alternate_zones() {
    let ids = ids(36, 0);
    let listed = ring_engines(&ids, 3);
    let mut subset_counts = vec![0usize; listed.len()];
    for number in 0..300 {
        let zone = ["hall-a", "hall-b", "hall-c"][number % 3];
        subset(&listed, zone, number, 300, 10).into_iter().for_each(|at| subset_counts[at] += 1);
    }
    let (least, most) = (subset_counts.iter().min().unwrap(), subset_counts.iter().max().unwrap());
    assert!(most - least <= 2, "{subset_counts:?}");
}

/// Pairs of a coordinator and the engine that joins or leaves have to change; apart from those, each
/// coordinator changes at most one engine of its subset.
#[test]
fn added_engine_changes_at_most_two_engines_of_a_subset() {
    for engines in [8, 30, 60] {
        let (before, more) = (ids(engines, 0), ids(engines + 1, 0));
        let (before, after) = (ring_engines(&before, 1), ring_engines(&more, 1));
        let mut moved = 0;
        for number in 0..300 {
            let old = subset(&before, "hall-a", number, 300, 6);
            let new = subset(&after, "hall-a", number, 300, 6);
            let fresh = new.iter().filter(|at| !old.contains(at)).count();
            assert!(fresh <= 2, "coordinator {number} changes {fresh} engines");
            moved += fresh;
        }
        // The pairs of the new engine and about half a pair per coordinator.
        assert!(moved <= 300 * 6 / (engines + 1) + 1 + 300 * 6 / 10, "{moved} of {} pairs", 300 * 6);
    }
}

/// If half of the engines are removed at once, the next list gives full, even subsets again.
#[test]
fn subsets_stay_full_and_even_when_half_of_the_engines_are_removed() {
    let all = ids(60, 0);
    let left: Vec<String> = all.iter().step_by(2).cloned().collect();
    let left = ring_engines(&left, 1);
    let subset_counts = subset_counts(&left, 300, 10);
    assert!(subset_counts.iter().all(|count| *count == 100), "{subset_counts:?}");
    assert!((0..300).all(|number| subset(&left, "hall-a", number, 300, 10).len() == 10));
}

/// Settings may be wrong: a number that is negative, not below the count or shared by two coordinators, or a
/// count of zero.
#[test]
fn invalid_coordinator_numbers_still_get_an_order() {
    let ids = ids(8, 0);
    let listed = ring_engines(&ids, 2);
    for (number, coordinators) in [(7.0, 3.0), (-1.0, 3.0), (0.0, 0.0), (1e9, 1.0)] {
        let positions = subset_positions(&listed, "hall-a", number, coordinators);
        assert!(positions.iter().all(|position| *position > 0.0 && *position <= 2.0), "{positions:?}");
    }
    assert!(subset_positions(&[], "hall-a", 0.0, 3.0).is_empty());
}
