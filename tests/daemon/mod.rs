//! The daemon as a child process, with a configuration that names stand-ins on loopback.
#![allow(dead_code)]

use dahliaspoke_simulator::standin::{Directory, DirectoryEntry};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time limit of every wait, far longer than a passing test needs.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub const SETTINGS: &str = r#"{"classes":[
 {"name":"lookup","effect":"repeatable","group":"all","objective":0.6,"aimStretch":1.5,"giveUp":3,"importance":1},
 {"name":"load","effect":"by_key","group":"all","memorySpan":20,"objective":3,"aimStretch":3,"giveUp":20,"importance":20}],
 "familyInfo":{"classThreads":[1,2],"loads":[false,true],"yieldsToLoads":[true,false],"grantsCount":true,
  "lanesCount":true,"sizeCores":[8],"sizeMb":[16384]},
 "flavors":["std"],"fleetSize":1,"granularity":0.005,"locality":"hall-a","zones":["hall-a"],
 "limits":{"cancel":true,"connIdle":15,"connectTimeout":0.25,"maxRetryAfter":0.5,"parallelTries":true,
  "retryAfter":true,"streamsPerConn":100,"tryLimit":4},"report":{"columns":["q","busy"],"via":"piggyback"},
 "rules":{"drainGrace":1,"cold":15,"coldShare":0.33,"fallMultiple":3,"overloadFor":3}}"#;

/// The id and the listening socket of a stand-in for an engine.
pub struct EngineSocket {
    pub id: String,
    pub listener: TcpListener,
}

impl EngineSocket {
    pub fn new(id: &str) -> Self {
        Self { id: id.into(), listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    /// Creates a socket whose connections have small segments and receive buffers, so that long requests stay
    /// partly unwritten.
    pub fn narrow(id: &str) -> Self {
        let named = Self::new(id);
        let socket = socket2::SockRef::from(&named.listener);
        socket.set_tcp_mss(536).and_then(|()| socket.set_recv_buffer_size(1)).expect("set");
        named
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Waits for the next connection.
    pub fn next(&self) -> TcpStream {
        self.listener.set_nonblocking(true).expect("set");
        let stream = wait_for(&format!("a connection to {}", self.id), || self.listener.accept().ok()).0;
        self.listener.set_nonblocking(false).expect("set");
        stream.set_nonblocking(false).expect("set");
        stream
    }
}

pub struct Daemon {
    pub child: Child,
    pub lines: Receiver<String>,
    pub http: Option<SocketAddr>,
    pub mysql: Option<SocketAddr>,
    pub store: Option<SocketAddr>,
    pub console: Option<SocketAddr>,
    folder: PathBuf,
}

/// A configuration that lists these engines, with the directory at `names`.
pub fn config(engines: &[(&str, SocketAddr)], names: SocketAddr) -> String {
    let server = |(id, address): &(&str, SocketAddr)| {
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"hall-a","kind":"std","cell":0,"state":"active"}}"#
        )
    };
    let servers = engines.iter().map(server).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","console":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},"names":"{names}",
        "known":{{"n":1,"events":[{{"n":1,"members":{{"full":true,"servers":[{servers}]}}}}]}},"settings":{SETTINGS}}}"#
    )
}

/// Starts a directory that lists these engines, all ready, as a configuration does; returns its address.
pub fn directory(engines: &[(&str, SocketAddr)]) -> SocketAddr {
    let listing = |(id, address): &(&str, SocketAddr)| DirectoryEntry {
        id: (*id).into(),
        zone: "hall-a".into(),
        address: *address,
        drains: false,
        started_ms: 0,
    };
    Directory::start(engines.iter().map(listing).collect()).expect("a port").address
}

/// A configuration that lists these engines, with a running directory that lists them as well.
pub fn config_with_directory(engines: &[(&str, SocketAddr)]) -> String {
    config(engines, directory(engines))
}

/// Retries `find` until it returns a value.
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(Instant::now() < until, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

impl Daemon {
    /// Starts the daemon with these files in its `deploy/`, and with `shared_socket` as its inherited
    /// listening socket.
    pub fn start(config: &str, files: &[(&str, String)], shared_socket: Option<&TcpListener>) -> Self {
        Self::run(Self::folder(config, files), shared_socket, "")
    }

    /// Starts the daemon from a shell that runs the commands in `prelude` before it.
    pub fn start_with(config: &str, files: &[(&str, String)], prelude: &str) -> Self {
        Self::run(Self::folder(config, files), None, prelude)
    }

    fn folder(config: &str, files: &[(&str, String)]) -> PathBuf {
        // The folder is named by the process and thread ids, so that each test has its own.
        let name = format!("dahliaspoke-{}-{:?}", std::process::id(), std::thread::current().id());
        let folder = std::env::temp_dir().join(name.replace(['(', ')'], ""));
        std::fs::create_dir_all(folder.join("deploy")).expect("a folder");
        std::fs::write(folder.join("config.json"), config).expect("written");
        for (name, text) in files {
            std::fs::write(folder.join("deploy").join(name), text).expect("written");
        }
        folder
    }

    /// Kills the daemon and starts it again in the same folder.
    pub fn restart(mut self) -> Self {
        let folder = std::mem::take(&mut self.folder);
        drop(self);
        Self::run(folder, None, "")
    }

    /// Starts a second daemon beside this one, in the same folder and with the listening socket that both
    /// share.
    pub fn beside(&mut self, shared_socket: &TcpListener) -> Self {
        Self::run(std::mem::take(&mut self.folder), Some(shared_socket), "")
    }

    /// `shared_socket` is a listening socket that the daemon inherits as descriptor 5.
    fn run(folder: PathBuf, shared_socket: Option<&TcpListener>, prelude: &str) -> Self {
        let program = env!("CARGO_BIN_EXE_dahliaspoke");
        let direct = shared_socket.is_none() && prelude.is_empty();
        let mut command = Command::new(if direct { program } else { "sh" });
        if !direct {
            let redirection = if shared_socket.is_some() { "5<&0 0</dev/null" } else { "" };
            command.args(["-c", &format!("{prelude} exec \"$0\" {redirection}"), program]);
        }
        if let Some(shared_socket) = shared_socket {
            let shared_socket = OwnedFd::from(shared_socket.try_clone().expect("a copy"));
            command.stdin(shared_socket).env("NODE_INHERITED_FD", "5");
        }
        let mut child = command
            .current_dir(&folder)
            .env("TMPDIR", &folder)
            .env("NODE_CONFIG", folder.join("config.json"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (send, lines) = channel();
        let stdout = BufReader::new(child.stdout.take().expect("piped"));
        std::thread::spawn(move || stdout.lines().map_while(Result::ok).try_for_each(|line| send.send(line)));
        let mut daemon = Self { child, lines, http: None, mysql: None, store: None, console: None, folder };
        // The daemon logs its listeners' addresses, the HTTP listener's last; with a bad configuration it
        // exits instead.
        while let Ok(line) = daemon.lines.recv_timeout(PATIENCE) {
            let address = line.rsplit(' ').next().and_then(|a| a.parse().ok());
            if line.contains("speaks MySQL on") {
                daemon.mysql = address;
            } else if line.contains("stores on") {
                daemon.store = address;
            } else if line.contains("hears operators on") {
                daemon.console = address;
            } else if line.contains("listens on") {
                daemon.http = address;
                break;
            }
        }
        daemon
    }

    /// Replaces the configuration file.
    pub fn configure(&self, config: &str) {
        std::fs::write(self.folder.join("config.json"), config).expect("written");
    }

    /// Replaces the file of this name with a FIFO: whoever opens it blocks, as on a stalled disk.
    pub fn stalls(&self, name: &str) {
        let path = self.folder.join(name);
        let _ = std::fs::remove_file(&path); // it may not exist yet
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    }

    pub fn signal(&self, name: &str) {
        let number = self.child.id().to_string();
        let done = Command::new("kill").args(["-s", name, &number]).status().expect("kill runs");
        assert!(done.success());
        if name == "STOP" {
            self.stopped();
        }
    }

    /// Waits until the line of its counters contains `text`.
    pub fn counts(&self, text: &str) {
        wait_for(text, || {
            self.signal("USR1");
            self.line("counters").contains(text).then_some(())
        });
    }

    /// Waits until the process is in the stopped state.
    pub fn stopped(&self) {
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        wait_for("the process to stop", || state().contains(") T ").then_some(()));
    }

    /// Waits for the process to exit; returns its status.
    pub fn ended(&mut self) -> ExitStatus {
        wait_for("the process to exit", || self.child.try_wait().expect("it was started"))
    }

    /// The number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// The lowest unused descriptor number.
    pub fn first_free(&self) -> u64 {
        let entry = |number: &u64| format!("/proc/{}/fd/{number}", self.child.id());
        (0..).find(|number| std::fs::symlink_metadata(entry(number)).is_err()).expect("they are bounded")
    }

    /// The peak of its resident memory (KB).
    pub fn memory_peak(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM is listed");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The names of the files in one of its folders.
    pub fn files(&self, folder: &str) -> Vec<String> {
        let entries = std::fs::read_dir(self.folder.join(folder)).expect("it is there");
        entries.map(|e| e.expect("readable").file_name().to_string_lossy().into_owned()).collect()
    }

    /// Waits for a log line that contains `text`.
    pub fn line(&self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|e| panic!("no line with {text}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have exited
        let _ = self.child.wait();
        if self.folder.is_absolute() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits for a query to the directory; returns the latest one and its sender.
pub fn query(names: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 512];
    let mut latest = names.recv_from(&mut buffer).expect("a query");
    names.set_nonblocking(true).expect("set");
    while let Ok(next) = names.recv_from(&mut buffer) {
        latest = next;
    }
    names.set_nonblocking(false).expect("set");
    (buffer[..latest.0].to_vec(), latest.1)
}

/// A socket that stands in for the directory; it responds to nothing by itself.
pub fn names() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(PATIENCE)).expect("set");
    socket
}
