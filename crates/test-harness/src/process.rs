//! A process of the program in a folder of its own.

use crate::until;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The environment variable that names the kill point of a test build: `point`, or `point@3` for the third time that it
/// gets there.
pub const KILL_POINT_VARIABLE: &str = "DAHLIASPOKE_KILL_AT";

/// What the program prints before the address of a listener.
struct ListenerLine {
    /// The words before the address.
    words: &'static str,
    /// The listener's name.
    listener: &'static str,
}

const LISTENER_LINES: [ListenerLine; 4] = [
    ListenerLine { words: "listens on", listener: "http" },
    ListenerLine { words: "stores on", listener: "store" },
    ListenerLine { words: "hears operators on", listener: "console" },
    ListenerLine { words: "speaks MySQL on", listener: "mysql" },
];

/// Addresses by the names of the listeners: `http`, `store`, `console`, `mysql`.
pub type Addresses = BTreeMap<&'static str, SocketAddr>;

/// Lines that a process has printed.
type Output = Arc<Mutex<Vec<String>>>;

/// One process, running or not. Its folder lasts until this is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    output: Output,
    suspended: bool,
    /// Commands that a shell runs before it becomes the program.
    pub shell_prefix: Option<String>,
}

impl Process {
    /// A process that is not started yet, with a folder in `parent`.
    ///
    /// # Errors
    /// Where its folder cannot be created.
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
    /// Where that cannot be done.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).unwrap_or_else(|e| panic!("{}: {name}: {e}", self.name));
    }

    /// A path in its folder.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts it, and waits until it serves or ends. With a kill point, it kills itself there. Returns the addresses of
    /// its listeners.
    ///
    /// # Panics
    /// Where it neither serves nor ends.
    pub fn start(&mut self, kill_point: Option<&str>) -> Addresses {
        assert!(!self.is_running(), "{} runs already", self.name);
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
        until(&format!("{} serves or ends", self.name), || {
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
            for ListenerLine { words, listener } in LISTENER_LINES {
                let address = line.split_once(words).and_then(|(_, rest)| rest.trim().parse().ok());
                addresses.extend(address.map(|address| (listener, address)));
            }
        }
        addresses
    }

    /// All lines that it has printed since its start.
    pub fn output(&self) -> Vec<String> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Its process id, while it has one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        // It may end in this moment.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Suspends it with SIGSTOP, wherever it is.
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

    /// Sends SIGTERM: it ends when it has finished its work.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Kills it with SIGKILL, and waits until it has ended.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait(); // it was started, so it ends
        }
        self.suspended = false;
    }

    /// Waits until it has ended by itself. Whether it succeeded.
    pub fn wait_for_exit(&mut self) -> bool {
        until(&format!("{} ends", self.name), || {
            let child = self.child.as_mut()?;
            child.try_wait().ok()?.map(|status| status.success())
        })
    }

    /// Removes a file or folder of its folder: a disk that is lost.
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

/// Collects the lines of a pipe on a thread of its own.
fn collect_lines(pipe: impl Read + Send + 'static, output: Output) {
    std::thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            output.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
}
