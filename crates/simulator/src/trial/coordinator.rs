//! Coordinators of a trial: processes of the real program.

use super::{TrialError, CORES};
use crate::file_error::FileError;
use crate::scenario::{Class, Scenario};
use crate::standin::DirectoryEntry;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// What the daemon prints once it listens, with its address as the last word.
const READY_MARK: &str = "listens on";

/// The daemon's executable: next to this one, where a build of the workspace puts both. It is built if it
/// does not exist.
///
/// # Errors
/// Returns an error if it cannot be built, with the command that builds it.
pub fn program() -> Result<PathBuf, TrialError> {
    let own = std::env::current_exe()?;
    let path = own.with_file_name("dahliaspoke");
    if path.exists() {
        return Ok(path);
    }
    // A run of this package alone does not build the daemon.
    let mut build = Command::new("cargo");
    build.args(["build", "--locked", "--package", "dahliaspoke"]).current_dir(env!("CARGO_MANIFEST_DIR"));
    if own.parent().is_some_and(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    let built = build.status().is_ok_and(|status| status.success());
    if built && path.exists() {
        Ok(path)
    } else {
        Err(TrialError::NoProgram(path))
    }
}

/// The parameters that all coordinators of a trial share.
pub(super) struct CoordinatorSetup {
    /// The daemon's executable.
    pub program: PathBuf,
    /// The folder for configuration files.
    pub folder: PathBuf,
    /// The address of the directory.
    pub directory: SocketAddr,
    /// The engines that the configuration lists.
    pub engines: Vec<DirectoryEntry>,
}

/// A running coordinator, which is killed on drop.
pub(super) struct Coordinator {
    child: Child,
    /// The address of its HTTP listener.
    pub address: SocketAddr,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have exited already
        let _ = self.child.wait();
    }
}

impl CoordinatorSetup {
    /// Starts a coordinator and waits until it listens.
    pub(super) fn start(&self, name: &str, listen: &str) -> Result<Coordinator, TrialError> {
        let path = self.folder.join(format!("{name}.json"));
        let config = self.config(name, listen).to_string();
        std::fs::write(&path, config).map_err(FileError::at(&path))?;
        let mut command = Command::new(&self.program);
        command.current_dir(&self.folder).env("NODE_CONFIG", &path).env("TMPDIR", &self.folder);
        command.stdout(Stdio::piped());
        let mut child = command.spawn().map_err(FileError::at(&self.program))?;
        let address = wait_until_ready(&mut child, name)?;
        Ok(Coordinator { child, address })
    }

    fn config(&self, name: &str, listen: &str) -> Value {
        let servers: Vec<Value> = self.engines.iter().map(server).collect();
        json!({
            "name": name, "listen": listen, "seed": "1", "names": self.directory,
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": {"n": 1, "events": [{"n": 1, "members": {"full": true, "servers": servers}}]},
            "settings": settings(),
        })
    }
}

/// Waits for the line with the coordinator's address. Later lines are read and discarded, or the coordinator
/// would block.
fn wait_until_ready(child: &mut Child, name: &str) -> Result<SocketAddr, TrialError> {
    let stdout = child.stdout.take().ok_or(TrialError::NoOutput)?;
    let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let line = lines.find(|line| line.contains(READY_MARK));
    let line = line.ok_or_else(|| TrialError::NotStarted(name.to_string()))?;
    std::thread::spawn(move || lines.for_each(drop));
    line.rsplit(' ').next().and_then(|address| address.parse().ok()).ok_or(TrialError::NoAddress)
}

fn server(entry: &DirectoryEntry) -> Value {
    json!({
        "id": entry.id, "addr": entry.address, "zone": entry.zone, "kind": "std", "cell": 0, "state": "active",
    })
}

fn settings() -> Value {
    let classes: Vec<Value> = Scenario::default().classes.iter().map(class_settings).collect();
    json!({
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
    })
}

fn class_settings(class: &Class) -> Value {
    json!({
        "name": class.name, "group": "all", "objective": class.latency_objective_s,
        "aimStretch": class.objective_stretch, "giveUp": class.client_timeout_s,
        "importance": class.priority_weight, "lateValue": class.late_weight,
        "memorySpan": class.dedup_window_s, "effect": if class.is_load { "by_key" } else { "repeatable" },
    })
}
