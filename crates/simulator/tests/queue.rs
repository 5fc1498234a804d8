//! The wheel is compared with the heap, a simple reference implementation.

use dahliaspoke_simulator::queue::{Heap, Wheel};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn wheel_and_heap_pop_the_same_events_in_the_same_order(steps in prop::collection::vec(
        prop_oneof![
            4 => (0..50_000u64).prop_map(Some),
            2 => (0..20_000_000u64).prop_map(Some),
            1 => (0..3_000_000_000u64).prop_map(Some),
            5 => Just(None),
        ], 1..400))
    {
        let (mut heap, mut wheel, mut now) = (Heap::default(), Wheel::default(), 0);
        for (number, step) in steps.into_iter().enumerate() {
            if let Some(delay) = step {
                heap.push(now + delay, number);
                wheel.push(now + delay, number);
            } else {
                let next = heap.pop();
                prop_assert_eq!(wheel.pop(), next);
                now = next.map_or(now, |(at, _)| at);
            }
            prop_assert_eq!(wheel.len(), heap.len());
        }
        while let Some(next) = heap.pop() {
            prop_assert_eq!(wheel.pop(), Some(next));
        }
        prop_assert!(wheel.is_empty() && wheel.pop().is_none());
    }
}
