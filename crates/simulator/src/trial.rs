//! The trial: a directory, engines, two coordinators that are the real program, load, a kill in the middle; a table
//! at the end. It starts from nothing and leaves nothing.

use crate::arrivals::{schedule, Gaps, Shape};
use crate::load::{Manner, Mode, Summary};
use crate::scenario::Scenario;
use crate::sockets::{run, Part, Target};
use crate::standin::{Directory, Served, Told};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Engines.
const ENGINES: usize = 4;
/// Cores of each: a small machine carries the lot.
const CORES: f64 = 4.0;

/// A coordinator that runs.
struct Coordinator {
    child: Child,
    address: SocketAddr,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// What a trial came to.
pub struct Outcome {
    /// Of all requests.
    pub summary: Summary,
    /// What each engine has answered.
    pub served: Vec<(String, u64)>,
}

/// The daemon's program: beside this one, where a build of the workspace puts both.
///
/// # Errors
/// Where it is not there, with the command that builds it.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = own.with_file_name("dahliaspoke");
    if !path.exists() {
        // A run of this package alone does not build the daemon.
        let mut build = Command::new("cargo");
        build.args(["build", "--locked", "--package", "dahliaspoke"]);
        if own.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let built =
            build.current_dir(env!("CARGO_MANIFEST_DIR")).status().is_ok_and(|status| status.success());
        if !built || !path.exists() {
            return Err(format!("{} is not there: cargo build --release", path.display()));
        }
    }
    Ok(path)
}

fn coordinator(
    program: &Path,
    folder: &Path,
    name: &str,
    names: SocketAddr,
    engines: &[Told],
    listen: &str,
) -> Result<Coordinator, String> {
    let scenario = Scenario::default();
    let classes: Vec<_> = scenario.classes.iter().map(|c| {
        serde_json::json!({
            "name": c.name, "group": "all", "objective": c.latency_objective_s, "aimStretch": c.objective_stretch, "giveUp": c.client_timeout_s,
            "importance": c.priority_weight, "lateValue": c.late_weight, "memorySpan": c.dedup_window_s,
            "effect": if c.is_load { "by_key" } else { "repeatable" },
        })
    }).collect();
    let servers: Vec<_> = engines.iter().map(|e| {
        serde_json::json!({"id": e.id, "addr": e.address, "zone": e.zone, "kind": "std", "cell": 0, "state": "active"})
    }).collect();
    let config = serde_json::json!({
        "name": name, "listen": listen, "seed": "1", "names": names,
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
        "known": {"n": 1, "events": [{"n": 1, "members": {"full": true, "servers": servers}}]},
        "settings": {
            "classes": classes, "flavors": ["std"], "fleetSize": 2, "granularity": 0.005, "locality": "hall-0",
            "zones": ["hall-0"], "report": {"columns": ["busy", "q", "x0", "x1"], "via": "piggyback"},
            "familyInfo": {
                "classThreads": [1, 2, 2], "loads": [false, false, true], "yieldsToLoads": [true, false, false],
                "grantsCount": false, "lanesCount": true, "sizeCores": [CORES], "sizeMb": [16384],
            },
            "limits": {
                "cancel": true, "connIdle": 15, "connectTimeout": 0.25, "maxRetryAfter": 0.5, "parallelTries": true,
                "retryAfter": true, "streamsPerConn": 100, "tryLimit": 4,
            },
            "rules": {"drainGrace": 1, "cold": 15, "coldShare": 0.33, "fallMultiple": 3, "overloadFor": 3},
        },
    });
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut command = Command::new(program);
    command.current_dir(folder).env("NODE_CONFIG", &path).env("TMPDIR", folder).stdout(Stdio::piped());
    let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
    let lines = child.stdout.take().map(|stdout| BufReader::new(stdout).lines()).ok_or("no output")?;
    let mut lines = lines.map_while(Result::ok);
    let line =
        lines.find(|line| line.contains("listens on")).ok_or_else(|| format!("{name} did not start"))?;
    std::thread::spawn(move || lines.for_each(drop)); // read on, or it would wait
    let address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).ok_or("it listens nowhere")?;
    Ok(Coordinator { child, address })
}

/// Plays a trial of so many seconds at that load, which is the share of what all engines do.
///
/// # Errors
/// Where the daemon cannot be started.
pub fn play(seconds: f64, load: f64, seed: u64, tell: impl Fn(&str) + Sync) -> Result<Outcome, String> {
    let program = program()?;
    let folder = std::env::temp_dir().join(format!("dahliaspoke-trial-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let outcome = in_folder(&program, &folder, seconds, load, seed, tell);
    let _ = std::fs::remove_dir_all(&folder); // a trial leaves nothing
    outcome
}

fn in_folder(
    program: &Path,
    folder: &Path,
    seconds: f64,
    load: f64,
    seed: u64,
    tell: impl Fn(&str) + Sync,
) -> Result<Outcome, String> {
    let scenario = Scenario::default();
    let mut spec = scenario.engine.clone();
    (spec.cores, spec.disks) = (CORES, CORES);
    let engines: Vec<Served> = (0..ENGINES)
        .map(|n| Served::start(&format!("e{n}"), spec.clone(), scenario.classes.clone()))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let told = |e: &Served| Told {
        id: e.id.clone(),
        zone: "hall-0".into(),
        address: e.address,
        drains: false,
        started_ms: 0,
    };
    let list: Vec<Told> = engines.iter().map(told).collect();
    let directory = Directory::start(list.clone()).map_err(|e| e.to_string())?;
    let start =
        |name: &str, listen: &str| coordinator(program, folder, name, directory.address, &list, listen);
    let first = start("c0", "127.0.0.1:0")?;
    let second = start("c1", "127.0.0.1:0")?;
    tell(&format!(
        "{ENGINES} engines, a directory, coordinators on {} and {}",
        first.address, second.address
    ));
    let parts = scenario.classes.iter().map(|c| Part {
        class: c.name.clone(),
        share: c.share,
        allow_ms: (c.client_timeout_s * 1000.0) as u64,
        size_ms: c.work_ms,
        keyed: c.is_load,
    });
    let parts: Vec<Part> = parts.collect();
    let mean =
        parts.iter().map(|p| p.share * p.size_ms).sum::<f64>() / parts.iter().map(|p| p.share).sum::<f64>();
    let rate = load * ENGINES as f64 * CORES * 1000.0 / mean;
    let points = schedule(rate, seconds, Shape::Steady, Gaps::Poisson, seed);
    let target = Target::new(vec![first.address, second.address], parts, seed)?;
    let driver = target.driver(&points, Mode::Open, Manner::AsTold, 600);
    let listen = second.address.to_string();
    let driver = std::thread::scope(|scope| {
        let trouble = scope.spawn(|| {
            let pause = |share: f64| std::thread::sleep(Duration::from_secs_f64(seconds * share));
            pause(0.35);
            tell("an engine is killed, and comes back cold");
            engines[0].kill();
            pause(0.1);
            engines[0].restart();
            directory.change(|list| {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                list[0].started_ms = now.map_or(0, |d| d.as_millis() as u64);
            });
            pause(0.1);
            tell("a coordinator is killed, and starts again");
            drop(second);
            pause(0.05);
            start("c1", &listen)
        });
        let driver = run(driver, &target, Duration::from_secs(30));
        let again = trouble.join().map_err(|_| "the trial's own thread ended".to_string())?;
        again.map(|_| driver)
    })?;
    let served = engines.iter().map(|engine| (engine.id.clone(), engine.served())).collect();
    Ok(Outcome { summary: driver.summary(), served })
}

/// The outcome as a table.
#[must_use]
pub fn table(outcome: &Outcome) -> String {
    let s = &outcome.summary;
    let share = |count: usize| 100.0 * count as f64 / s.due.max(1) as f64;
    let mut text = format!("{:<28}{:>8}\n", "requests that were due", s.due);
    for (name, count) in [("served", s.served), ("turned away", s.refused), ("failed", s.failed)] {
        text += &format!("{name:<28}{count:>8}  {:>5.1}%\n", share(count));
    }
    text += &format!("{:<28}{:>8}\n", "tries", s.tries);
    for (at, name) in
        ["half within", "90% within", "99% within", "99.9% within", "the longest"].iter().enumerate()
    {
        text += &format!("{name:<28}{:>8.0}  ms, from when they were due\n", s.millis[at]);
    }
    for g in &s.groups {
        let [half, _, most, ..] = g.millis;
        text += &format!(
            "{:<28}{:>8}  served {}, turned away {}, failed {}; half within {half:.0} ms, 99% within {most:.0} ms\n",
            format!("of them {}", g.name),
            g.due,
            g.served,
            g.refused,
            g.failed
        );
    }
    for (id, served) in &outcome.served {
        text += &format!("{:<28}{served:>8}\n", format!("answered by {id}"));
    }
    if s.void {
        text +=
            &format!("void: the tool was late for {} requests, by {:.0} ms at the most\n", s.late, s.late_ms);
    }
    text
}
