//! A process of the program in a folder of its own.

use crate::until;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The environment variable by which a test build is told where to kill itself: `point` or `point@3` for the third
/// time that it comes there.
pub const POINT: &str = "DAHLIASPOKE_KILL_AT";

/// The words before an address in what the program says at its start, and the door that this names.
const DOORS: [(&str, &str); 4] = [
    ("listens on", "http"),
    ("stores on", "store"),
    ("hears operators on", "console"),
    ("speaks MySQL on", "mysql"),
];

/// What a process has said so far.
type Said = Arc<Mutex<Vec<String>>>;

/// One process, running or not. Its folder lasts until this is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    said: Said,
    stopped: bool,
    /// What a shell does before it becomes the program.
    pub first: Option<String>,
}

impl Process {
    /// A process that is not started yet.
    ///
    /// # Errors
    /// Where its folder cannot be made.
    pub fn new(program: &Path, name: &str, within: &Path) -> std::io::Result<Self> {
        let folder = within.join(name);
        std::fs::create_dir_all(folder.join("deploy"))?;
        let (program, said) = (program.to_path_buf(), Said::default());
        Ok(Self { name: name.into(), folder, program, child: None, said, stopped: false, first: None })
    }

    /// Writes a file into its folder.
    ///
    /// # Panics
    /// Where that cannot be done.
    pub fn file(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).unwrap_or_else(|e| panic!("{}: {name}: {e}", self.name));
    }

    /// A path in its folder.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts it, and waits until it serves or ends. With a point, it kills itself there.
    ///
    /// # Panics
    /// Where it neither serves nor ends.
    pub fn start(&mut self, point: Option<&str>) -> BTreeMap<&'static str, SocketAddr> {
        assert!(!self.is_running(), "{} runs already", self.name);
        let mut command = Command::new(if self.first.is_some() { Path::new("sh") } else { &self.program });
        if let Some(first) = &self.first {
            command.args(["-c", &format!("{first} exec \"$0\"")]).arg(&self.program);
        }
        command
            .current_dir(&self.folder)
            .env("TMPDIR", &self.folder)
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env_remove(POINT)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        if let Some(point) = point {
            command.env(POINT, point);
        }
        let mut child = command.spawn().unwrap_or_else(|e| panic!("{}: {e}", self.program.display()));
        self.said = Said::default();
        let outs: [Option<Box<dyn std::io::Read + Send>>; 2] =
            [child.stdout.take().map(|o| Box::new(o) as _), child.stderr.take().map(|o| Box::new(o) as _)];
        for out in outs.into_iter().flatten() {
            let said = self.said.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    said.lock().unwrap_or_else(PoisonError::into_inner).push(line);
                }
            });
        }
        self.child = Some(child);
        self.stopped = false;
        until(&format!("{} serves or ends", self.name), || {
            let doors = self.doors();
            (doors.contains_key("http") || !self.is_running()).then_some(doors)
        })
    }

    fn doors(&self) -> BTreeMap<&'static str, SocketAddr> {
        let mut doors = BTreeMap::new();
        for line in self.said() {
            for (words, door) in DOORS {
                let address = line.split_once(words).and_then(|(_, rest)| rest.trim().parse().ok());
                doors.extend(address.map(|address| (door, address)));
            }
        }
        doors
    }

    /// All lines that it has said since its start.
    pub fn said(&self) -> Vec<String> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Its number, while it has one.
    pub fn number(&self) -> Option<u32> {
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

    /// SIGSTOP: it sleeps between any two lines.
    pub fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    /// SIGCONT.
    pub fn go_on(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    /// Whether it was stopped and not let go on.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// SIGTERM.
    pub fn ask_to_end(&mut self) {
        self.signal(Signal::TERM);
    }

    /// SIGKILL, and waits until it is over.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait(); // it was started, so it ends
        }
        self.stopped = false;
    }

    /// Waits until it has ended by itself, and says whether it ended well.
    pub fn ended(&mut self) -> bool {
        until(&format!("{} ends", self.name), || {
            let child = self.child.as_mut()?;
            child.try_wait().ok()?.map(|status| status.success())
        })
    }

    /// Removes what it has kept under that name: a disk that is lost.
    pub fn forget(&self, name: &str) {
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
