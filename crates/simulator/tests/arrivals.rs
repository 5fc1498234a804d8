//! Schedules of arrival times.

use dahliaspoke_simulator::arrivals::{schedule, Intervals, Shape};

#[test]
fn every_shape_has_the_mean_rate_and_sorted_points() {
    for shape in [Shape::Steady, Shape::Ramp, Shape::Spike, Shape::Steps, Shape::OnOff] {
        for intervals in [Intervals::Even, Intervals::Poisson, Intervals::Heavy] {
            let points = schedule(500.0, 40.0, shape, intervals, 1);
            let count = points.len() as f64;
            let tolerance = if intervals == Intervals::Heavy { 0.1 } else { 0.02 };
            assert!((count / 20_000.0 - 1.0).abs() < tolerance, "{shape:?} {intervals:?}: {count}");
            assert!(points.is_sorted() && points.last().is_some_and(|at| *at <= 40_001_000));
        }
    }
    assert_eq!(
        schedule(100.0, 5.0, Shape::Steady, Intervals::Poisson, 7),
        schedule(100.0, 5.0, Shape::Steady, Intervals::Poisson, 7)
    );
}

#[test]
fn a_spike_is_in_the_middle_of_the_run() {
    let points = schedule(1000.0, 10.0, Shape::Spike, Intervals::Even, 1);
    let within = points.iter().filter(|at| (5_000_000..6_000_000).contains(*at)).count();
    assert!((2990..=3010).contains(&within), "{within}");
}
