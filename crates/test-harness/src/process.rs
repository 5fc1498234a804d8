//! A process of the program, in its own folder.

use crate::until;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The environment variable that names the kill point of a test build: `point`, or `point@3` to kill the
/// process the third time that it reaches the point.
pub const KILL_POINT_VARIABLE: &str = "DAHLIASPOKE_KILL_AT";

/// The log line with which the program reports the address of a listener.
struct ListenerLine {
    /// The text before the address.
    preceding_text: &'static str,
    /// The name of the listener in [`Addresses`].
    listener: &'static str,
}

const LISTENER_LINES: [ListenerLine; 4] = [
    ListenerLine { preceding_text: "listens on", listener: "http" },
    ListenerLine { preceding_text: "stores on", listener: "store" },
    ListenerLine { preceding_text: "hears operators on", listener: "console" },
    ListenerLine { preceding_text: "speaks MySQL on", listener: "mysql" },
];

/// Addresses by listener name: `http`, `store`, `console`, `mysql`.
pub type Addresses = BTreeMap<&'static str, SocketAddr>;

/// Lines printed by a process.
type Output = Arc<Mutex<Vec<String>>>;

/// One process, running or not. Dropping it kills the process and removes its folder.
pub struct Process {
    /// Its name.
    pub name: String,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    output: Output,
    suspended: bool,
    /// Commands that a shell runs before it executes the program in its place.
    pub shell_prefix: Option<String>,
}

impl Process {
    /// Creates the folder of a process in `parent`, without starting the process.
    ///
    /// # Errors
    /// If the folder cannot be created.
    pub fn new(program: &Path, name: &str, parent: &Path) -> std::io::Result<Self> {
        let folder = parent.join(name);
        std::fs::create_dir_all(folder.join("deploy"))?;
        Ok(Self {
            name: name.into(),
            folder,
            program: program.to_path_buf(),
            child: None,
            output: Output::default(),
            suspended: false,
            shell_prefix: None,
        })
    }

    /// Writes a file into its folder.
    ///
    /// # Panics
    /// If the file cannot be written.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).unwrap_or_else(|e| panic!("{}: {name}: {e}", self.name));
    }

    /// The path of a file in its folder.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts it, and waits until its HTTP listener is open or it has exited. With a kill point, it kills
    /// itself there. Returns the addresses of its listeners.
    ///
    /// # Panics
    /// If it is already running or cannot be spawned, or if it neither opens its HTTP listener nor exits in
    /// time.
    pub fn start(&mut self, kill_point: Option<&str>) -> Addresses {
        assert!(!self.is_running(), "{} is already running", self.name);
        let mut command = self.command(kill_point);
        let mut child = command.spawn().unwrap_or_else(|e| panic!("{}: {e}", self.program.display()));
        self.output = Output::default();
        if let Some(stdout) = child.stdout.take() {
            collect_lines(stdout, self.output.clone());
        }
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, self.output.clone());
        }
        self.child = Some(child);
        self.suspended = false;
        until(&format!("{} serves or exits", self.name), || {
            let addresses = self.addresses();
            (addresses.contains_key("http") || !self.is_running()).then_some(addresses)
        })
    }

    fn command(&self, kill_point: Option<&str>) -> Command {
        let mut command = match &self.shell_prefix {
            Some(prefix) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("{prefix} exec \"$0\"")]).arg(&self.program);
                shell
            }
            None => Command::new(&self.program),
        };
        command
            .current_dir(&self.folder)
            .env("TMPDIR", &self.folder)
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env_remove(KILL_POINT_VARIABLE)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        if let Some(point) = kill_point {
            command.env(KILL_POINT_VARIABLE, point);
        }
        command
    }

    fn addresses(&self) -> Addresses {
        let mut addresses = Addresses::new();
        for line in self.output() {
            for ListenerLine { preceding_text, listener } in LISTENER_LINES {
                let address = line.split_once(preceding_text).and_then(|(_, rest)| rest.trim().parse().ok());
                addresses.extend(address.map(|address| (listener, address)));
            }
        }
        addresses
    }

    /// All lines that it has printed since its last start.
    pub fn output(&self) -> Vec<String> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether it is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Its process id; `None` if it was never started or was killed.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // The signal fails if the process has exited since the check.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Suspends it with SIGSTOP, at whatever point of its work.
    pub fn suspend(&mut self) {
        self.signal(Signal::STOP);
        self.suspended = true;
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.suspended = false;
    }

    /// Whether it was suspended and not resumed.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Sends SIGTERM: it exits after finishing its work.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Kills it with SIGKILL, and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait(); // it was started and has been sent SIGKILL, so the wait ends
        }
        self.suspended = false;
    }

    /// Waits until it exits by itself; returns whether its exit status is success.
    pub fn wait_for_exit(&mut self) -> bool {
        until(&format!("{} exits", self.name), || {
            let child = self.child.as_mut()?;
            child.try_wait().ok()?.map(|status| status.success())
        })
    }

    /// Removes a file or folder from its folder, as if a disk were lost.
    pub fn remove_data(&self, name: &str) {
        let path = self.folder.join(name);
        let _ = if path.is_dir() { std::fs::remove_dir_all(path) } else { std::fs::remove_file(path) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Collects the lines of a pipe on a separate thread.
fn collect_lines(pipe: impl Read + Send + 'static, output: Output) {
    std::thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            output.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
}
