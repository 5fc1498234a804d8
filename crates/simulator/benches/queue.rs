//! The wheel against the heap: so many events are set, and each that comes sets one more, at times as in a run.
//!
//!     cargo bench -p dahliaspoke-simulator --bench queue

use dahliaspoke_simulator::queue::{Heap, Wheel};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const STEPS: u64 = 4_000_000;

/// Most events lie within milliseconds, some within seconds, few beyond: network, work, deadlines.
fn after(rng: &mut Pcg64Mcg) -> u64 {
    let draw = rng.next_u64();
    match draw % 10 {
        0..5 => draw >> 40 & 0x7ff,
        5..9 => draw >> 40 & 0x3_ffff,
        _ => draw >> 40 & 0xff_ffff,
    }
}

macro_rules! hold {
    ($queue:expr, $size:expr) => {{
        let (mut queue, mut rng) = ($queue, Pcg64Mcg::seed_from_u64(1));
        (0..$size).for_each(|n| queue.push(after(&mut rng), n));
        let began = Instant::now();
        for n in 0..STEPS {
            let (at, _) = queue.pop().expect("held");
            queue.push(at + after(&mut rng), n);
        }
        began.elapsed().as_nanos() as f64 / STEPS as f64
    }};
}

fn main() {
    for size in [100u64, 1_000, 10_000, 100_000, 1_000_000] {
        let (heap, wheel) = (hold!(Heap::default(), size), hold!(Wheel::default(), size));
        println!("{size:>8} events held: heap {heap:>6.0} ns, wheel {wheel:>6.0} ns a step");
    }
}
