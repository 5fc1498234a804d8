//! Cost and throughput of the body store at the HTTP listener: small look-ups with it off and on, large loads
//! by tier.
//!
//!     cargo bench --bench listeners
//!
//! Off and on alternate, so that other activity on the machine affects both alike.

#[path = "../tests/daemon/mod.rs"]
mod daemon;
#[path = "../tests/standin/mod.rs"]
mod standin;

use daemon::{config_with_directory, Daemon};
use hdrhistogram::Histogram;
use standin::{engines, Client, Engine};
use std::time::Instant;

const ROUNDS: u64 = 20;
const LOOKUPS: u64 = 2000;
const LOADS: u64 = 40;
const MB: usize = 1 << 20;

fn start(engines: &[Engine], file: Option<&str>) -> Daemon {
    let known: Vec<_> = engines.iter().map(|e| (e.id.as_str(), e.address)).collect();
    let config = config_with_directory(&known);
    let files: Vec<_> = file.iter().map(|text| ("bodies.toml", text.to_string())).collect();
    Daemon::start(&config, &files, None)
}

/// CPU time of the event loop, the daemon's main thread, so far (us).
fn cpu(daemon: &Daemon) -> f64 {
    let path = format!("/proc/{}/schedstat", daemon.child.id());
    let text = std::fs::read_to_string(path).expect("it runs");
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a time") / 1000.0
}

struct Variant {
    daemon: Daemon,
    client: Client,
    times: Histogram<u64>,
    cpu: Vec<f64>,
    next: u64,
}

impl Variant {
    fn new(engines: &[Engine], file: Option<&str>) -> Self {
        let daemon = start(engines, file);
        let client = Client::new(&daemon);
        let times = Histogram::new(3).expect("a histogram");
        Self { daemon, client, times, cpu: Vec::new(), next: 0 }
    }

    fn round(&mut self, class: &str, count: u64, body: &[u8]) {
        let before = cpu(&self.daemon);
        for _ in 0..count {
            self.next += 1;
            let began = Instant::now();
            self.client.head(class, self.next, true, body.len()).expect("sent");
            self.client.send(body).expect("sent");
            assert_eq!(self.client.answer().0, 200);
            self.times.record(began.elapsed().as_micros() as u64).expect("in range");
        }
        self.cpu.push((cpu(&self.daemon) - before) / count as f64);
    }
}

/// The median, which a single disturbed round does not shift.
fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let (engines, _) = engines(2);
    let small = b"SELECT n FROM sales_17.orders WHERE n = 1";
    const ON: &str = "memory_mb = 64\nlargest_mb = 16\n";
    let mut variants = [Variant::new(&engines, None), Variant::new(&engines, Some(ON))];
    for round in 0..=ROUNDS {
        for at in [round as usize % 2, (round as usize + 1) % 2] {
            variants[at].round("lookup", LOOKUPS, small);
        }
    }
    let medians = variants.each_ref().map(|variant| median(&variant.cpu[1..]));
    for (name, variant, cpu) in [("off", &variants[0], medians[0]), ("on", &variants[1], medians[1])] {
        let quantile = |q| variant.times.value_at_quantile(q);
        println!(
            "look-up, body store {name:<4} {cpu:>7.2} us of the loop  p50 {} us  p99 {} us",
            quantile(0.5),
            quantile(0.99)
        );
    }
    let pairs: Vec<f64> =
        variants[0].cpu.iter().zip(&variants[1].cpu).skip(1).map(|(off, on)| on / off).collect();
    println!("look-up, on over off: {:.3} (median of {ROUNDS} pairs)", median(&pairs));

    let folder = std::env::temp_dir().join(format!("dahliaspoke-bench-{}", std::process::id()));
    let (memory, passed) = ("memory_mb = 128\nlargest_mb = 32\n", "[class.load]\nmemory_share = 0\n");
    let in_files = format!("{memory}files_mb = 1024\nfolder = {folder:?}\n{passed}");
    for length in [MB, 16 * MB] {
        let body = vec![b'x'; length];
        for (name, file) in
            [("memory", memory), ("file", &in_files), ("passed on", &format!("{memory}{passed}"))]
        {
            let mut variant = Variant::new(&engines, Some(file));
            variant.round("load", LOADS, &body);
            let mean = variant.times.mean() / 1e6;
            println!(
                "load of {:>2} MB, {name:<9} {:>6.0} MB/s  p50 {} us  p99 {} us",
                length / MB,
                length as f64 / MB as f64 / mean,
                variant.times.value_at_quantile(0.5),
                variant.times.value_at_quantile(0.99)
            );
        }
    }
    let _ = std::fs::remove_dir_all(&folder); // only the lock file of the body store is left
}
