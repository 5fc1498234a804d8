//! Compares the wheel with the heap under the hold model: the queue holds a fixed number of events, and each
//! event popped schedules another one, after delays as in a run.
//!
//!     cargo bench -p dahliaspoke-simulator --bench queue

use dahliaspoke_simulator::queue::{Heap, Wheel};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const STEPS: u64 = 4_000_000;

/// Delay of an event (us): half are up to 2 ms (network), four in ten up to 0.26 s (work), one in ten up to
/// 17 s (deadlines).
fn draw_delay(rng: &mut Pcg64Mcg) -> u64 {
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
        (0..$size).for_each(|n| queue.push(draw_delay(&mut rng), n));
        let started = Instant::now();
        for n in 0..STEPS {
            let (at, _) = queue.pop().expect("the queue is not empty");
            queue.push(at + draw_delay(&mut rng), n);
        }
        started.elapsed().as_nanos() as f64 / STEPS as f64
    }};
}

fn main() {
    for size in [100u64, 1_000, 10_000, 100_000, 1_000_000] {
        let (heap, wheel) = (hold!(Heap::default(), size), hold!(Wheel::default(), size));
        println!("{size:>8} events held: heap {heap:>6.0} ns, wheel {wheel:>6.0} ns a step");
    }
}
