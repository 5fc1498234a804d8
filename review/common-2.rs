//! What the cases share: the processes under test, stand-ins for engines, the directory and clients, and the record of
//! what was sent, answered and run. Only the standard library is used; every address is on loopback.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(100);
/// How long a part of the set-up may take.
pub const PATIENCE: Duration = Duration::from_secs(15);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn pause(n: u64) {
    std::thread::sleep(millis(n));
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the time of each line since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder given as the first argument.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("no folder"));
        let file = File::create(PathBuf::from(folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| give_up(&format!("record.txt: {error}")));
        let record = Self { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        std::panic::set_hook(Box::new(|info| give_up(&info.to_string())));
        std::thread::spawn(|| {
            std::thread::sleep(LIMIT);
            give_up("it took too long");
        });
        record.line(&format!("TROUBLE={}", u8::from(has_trouble())));
        record
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now());
        println!("{line}");
        let _ = writeln!(lock(&self.file), "{line}");
    }
}

/// Ends the case because it cannot run.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    Processes::end_all();
    std::process::exit(COULD_NOT_RUN);
}

/// Ends all processes, writes the verdict and exits.
pub fn conclude(record: &Record, broken: &[String]) -> ! {
    Processes::end_all();
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
    }
    record.line(if broken.is_empty() { "verdict: the rule held" } else { "verdict: the rule was broken" });
    std::process::exit(if broken.is_empty() { HELD } else { BROKEN });
}

/// Retries until there is a value; ends the case if there is none in time.
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = find() {
            return found;
        }
        if Instant::now() > until {
            give_up(&format!("timed out waiting for {what}"));
        }
        pause(2);
    }
}

/// An address on loopback with a free port.
pub fn free_address() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    socket.unwrap_or_else(|error| give_up(&format!("no port: {error}")))
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

extern "C" {
    fn waitpid(process: i32, status: *mut i32, options: i32) -> i32;
}

/// The processes that this case started.
pub struct Processes;

impl Processes {
    fn end_all() {
        let started: Vec<u32> = lock(&STARTED).drain(..).collect();
        for id in &started {
            send_signal("KILL", *id);
        }
        for id in started {
            // Sound: a process of this case is waited for, and its status is not asked for.
            unsafe { waitpid(id as i32, std::ptr::null_mut(), 0) };
        }
        if let Some(folder) = lock(&FOLDER).take() {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

fn send_signal(name: &str, id: u32) {
    let _ =
        Command::new("/bin/sh").args(["-c", &format!("kill -s {name} {id}")]).stderr(Stdio::null()).status();
}

static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// A temporary folder, removed at the end.
pub fn temporary_folder() -> PathBuf {
    let mut known = lock(&FOLDER);
    let name = format!("dahliaspoke-review-{}", std::process::id());
    let folder = known.get_or_insert_with(|| std::env::temp_dir().join(name));
    let _ = std::fs::create_dir_all(&*folder);
    folder.clone()
}

/// A root folder for one coordinator, like that of the repository: `deploy/` with these files, and `target`.
pub fn root_folder(name: &str, files: &[(&str, String)]) -> PathBuf {
    let folder = temporary_folder().join(name);
    let repository = std::env::current_dir().unwrap_or_else(|_| give_up("no current folder"));
    let made = std::fs::create_dir_all(folder.join("deploy"))
        .and_then(|()| std::fs::create_dir_all(folder.join("tmp")))
        .and_then(|()| std::os::unix::fs::symlink(repository.join("target"), folder.join("target")));
    made.unwrap_or_else(|error| give_up(&format!("{}: {error}", folder.display())));
    for (file, text) in files {
        write_file(&folder.join("deploy").join(file), text);
    }
    folder
}

pub fn write_file(path: &PathBuf, text: &str) {
    std::fs::write(path, text).unwrap_or_else(|error| give_up(&format!("{}: {error}", path.display())));
}

/// The `run` line of the deploy file.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|_| give_up("no deploy file"));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|line| line.split('"').next());
    line.unwrap_or_else(|| give_up("no run line in the deploy file")).to_string()
}

/// A coordinator, started by the `run` line of the deploy file.
pub struct Coordinator {
    pub name: String,
    pub child: Child,
    lines: Receiver<String>,
    record: Record,
}

impl Coordinator {
    /// Starts a coordinator in its root folder. `inherited` is the clients' listening socket, if the platform holds it.
    pub fn start(
        record: &Record,
        name: &str,
        root: &PathBuf,
        config: &str,
        inherited: Option<&TcpListener>,
    ) -> Self {
        let config_file = root.join(format!("{name}.json"));
        write_file(&config_file, config);
        let redirection = if inherited.is_some() { " 5<&0 0</dev/null" } else { "" };
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("{}{redirection}", run_line())]);
        command.current_dir(root).env("TMPDIR", root.join("tmp")).env("NODE_CONFIG", &config_file);
        command.env("NODE_NAME", name).stdout(Stdio::piped()).stderr(Stdio::inherit());
        match inherited {
            Some(socket) => {
                let copy = socket.try_clone().unwrap_or_else(|_| give_up("no copy of the socket"));
                command.stdin(OwnedFd::from(copy)).env("NODE_INHERITED_FD", "5");
            }
            None => drop(command.stdin(Stdio::null())),
        }
        let mut child = command.spawn().unwrap_or_else(|error| give_up(&format!("{name}: {error}")));
        lock(&STARTED).push(child.id());
        record.line(&format!("{name}: started, process {}", child.id()));
        let (send, lines) = channel();
        let output = child.stdout.take().unwrap_or_else(|| give_up("no output"));
        let (log, prefix) = (record.clone(), name.to_string());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.line(&format!("{prefix}| {line}"));
                let _ = send.send(line);
            }
        });
        Self { name: name.into(), child, lines, record: record.clone() }
    }

    /// Waits for a log line that contains a text.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(_) => give_up(&format!("{}: no line with {text:?}", self.name)),
            }
        }
    }

    /// Waits until it serves: `GET /_health` is answered with 200.
    pub fn wait_until_ready(&mut self, address: SocketAddr) {
        let name = self.name.clone();
        wait_for(&format!("{name} to be ready"), || {
            let answer = http_get(address, "/_health")?;
            answer.starts_with("HTTP/1.1 200").then_some(())
        });
        self.record.line(&format!("{}: ready", self.name));
    }

    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("{}: SIG{signal}", self.name));
        send_signal(signal, self.child.id());
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().map_or(true, |status| status.is_some());
        if has_ended {
            self.forget();
        }
        has_ended
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self) {
        let _ = self.child.wait();
        self.forget();
    }

    /// The id may belong to another process from now on.
    fn forget(&self) {
        lock(&STARTED).retain(|id| *id != self.child.id());
    }
}

/// An engine in the list of engines.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub drains: bool,
    pub started_ms: u64,
}

impl Listed {
    pub fn new(id: &str, address: SocketAddr) -> Self {
        Self { id: id.into(), address, zone: "hall-a".into(), drains: false, started_ms: 0 }
    }
}

/// A configuration of a coordinator. `console` is the second address, for operators.
pub struct Configuration<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub console: Option<SocketAddr>,
    pub names: SocketAddr,
    pub engines: &'a [Listed],
    pub settings: &'a str,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Configuration<'_> {
    pub fn json(&self) -> String {
        let servers: Vec<String> = self.engines.iter().map(|engine| {
            let state = if engine.drains { "leaving" } else { "active" };
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":{}}}"#,
                engine.id, engine.address, engine.zone, engine.started_ms
            )
        }).collect();
        let console = self.console.map_or(String::new(), |address| format!(r#""console":"{address}","#));
        format!(
            r#"{{"name":"{}","listen":"{}",{console}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"names":"{}","known":{{"n":1,"events":[{{"n":1,"members":{{"version":1,"full":true,"servers":[{}]}}}}]}},"settings":{}}}"#,
            self.name,
            self.listen,
            self.memory_mb,
            self.sockets,
            self.names,
            servers.join(","),
            self.settings
        )
    }
}

/// Settings of a small deployment: look-ups and reports may be repeated, loads carry a key.
pub const SETTINGS: &str = r#"{"classes":[
 {"name":"lookup","effect":"repeatable","group":"all","memorySpan":5,"objective":0.6,"aimStretch":1.5,"giveUp":3,"importance":1,"lateValue":0,"stream":false},
 {"name":"report","effect":"repeatable","group":"all","memorySpan":5,"objective":1.5,"aimStretch":2.5,"giveUp":25,"importance":7.5,"lateValue":0.3,"stream":false},
 {"name":"load","effect":"by_key","group":"all","memorySpan":20,"objective":3,"aimStretch":3,"giveUp":20,"importance":20,"lateValue":0.6,"stream":false}],
 "familyInfo":{"bills":false,"classThreads":[1,2,2],"grantsCount":true,"lanesCount":true,"loads":[false,false,true],"maxGrantShare":0.4,
  "notePeriod":0.5,"onShortage":"page","sizeCores":[8],"sizeMb":[16384],"yieldsToLoads":[true,false,false]},
 "flavors":["std"],"fleetSize":2,"granularity":0.005,"locality":"hall-a","me":0,"zones":["hall-a"],"tenants":[],"discovery":"pushed",
 "limits":{"cancel":true,"connIdle":15,"connectTimeout":0.25,"maxRetryAfter":0.5,"parallelTries":true,"peers":false,"probes":true,
  "retryAfter":true,"streamsPerConn":100,"tryLimit":4},"report":{"columns":["q","busy"],"via":"piggyback"},
 "rules":{"answerSlack":0.02,"askWithin":10,"drainGrace":1,"cold":15,"coldShare":0.33,"fallMultiple":3,"overloadFor":3}}"#;

// The directory.

struct Listing {
    serial: u32,
    engines: Vec<Listed>,
}

/// The directory: DNS over UDP, the whole list in every answer.
pub struct Directory {
    pub address: SocketAddr,
    listing: Arc<Mutex<Listing>>,
    /// Answers nothing.
    pub is_silent: Arc<AtomicBool>,
    /// When it received queries that it left unanswered (seconds since the start).
    pub unanswered: Arc<Mutex<Vec<f64>>>,
}

fn labels(name: &str) -> Vec<u8> {
    let mut out: Vec<u8> =
        name.split('.').flat_map(|label| [&[label.len() as u8], label.as_bytes()].concat()).collect();
    out.push(0);
    out
}

fn resource_record(owner: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    let length = data.len() as u16;
    [owner, &kind.to_be_bytes(), &[0, 1, 0, 0, 0, 0], &length.to_be_bytes(), data].concat()
}

fn directory_answer(query: &[u8], listing: &Listing) -> Option<Vec<u8>> {
    let name = labels("_back._tcp.pool.lan");
    let question = query.get(12..12 + name.len() + 4)?;
    if !question.starts_with(&name) {
        return None;
    }
    let (mut services, mut hosts) = (Vec::new(), Vec::new());
    for engine in &listing.engines {
        let host = labels(&format!("{}.{}.hosts", engine.id, engine.zone));
        let priority = u16::from(engine.drains).to_be_bytes();
        let port = engine.address.port().to_be_bytes();
        services.extend(resource_record(
            &name,
            33,
            &[&priority[..], &10u16.to_be_bytes(), &port, &host].concat(),
        ));
        if let SocketAddr::V4(address) = engine.address {
            hosts.extend(resource_record(&host, 1, &address.ip().octets()));
        }
        let started = format!("started={}", engine.started_ms);
        let texts: Vec<u8> = ["kind=std", "cell=0", &started]
            .iter()
            .flat_map(|text| [&[text.len() as u8], text.as_bytes()].concat())
            .collect();
        hosts.extend(resource_record(&host, 16, &texts));
    }
    let authority =
        resource_record(&name, 6, &[&[0, 0], &listing.serial.to_be_bytes()[..], &[0; 16]].concat());
    let count = listing.engines.len() as u16;
    let counts: Vec<u8> = [1, count, 1, 2 * count].iter().flat_map(|n: &u16| n.to_be_bytes()).collect();
    Some([&query[..2], &[0x84, 0], &counts, question, &services, &authority, &hosts].concat())
}

impl Directory {
    pub fn start(record: &Record, engines: &[Listed]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|_| give_up("no port"));
        let address = socket.local_addr().unwrap_or_else(|_| give_up("no port"));
        let listing = Arc::new(Mutex::new(Listing { serial: 1, engines: engines.to_vec() }));
        let is_silent = Arc::new(AtomicBool::new(false));
        let unanswered = Arc::new(Mutex::new(Vec::new()));
        let (shared, silent, record, left) =
            (listing.clone(), is_silent.clone(), record.clone(), unanswered.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                if silent.load(Ordering::SeqCst) {
                    record.line("directory: a query is not answered");
                    lock(&left).push(record.now());
                    continue;
                }
                if let Some(answer) = directory_answer(&buffer[..length], &lock(&shared)) {
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        Self { address, listing, is_silent, unanswered }
    }

    /// Changes the list, with the next number.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut listing = lock(&self.listing);
        listing.serial += 1;
        change(&mut listing.engines);
    }
}

// Engines that speak the platform's protocol.

/// What an engine does with a request that it has received whole.
pub enum Reaction {
    /// Runs it for this long and answers with these pages.
    Serve(Duration, Vec<String>),
    /// Runs it and never answers.
    Silent,
}

/// A request as an engine received it.
#[derive(Clone)]
pub struct Received {
    /// Seconds since the start of the case at which the first byte arrived.
    pub begun: f64,
    /// The same for the last byte.
    pub at: f64,
    pub engine: String,
    pub id: String,
    pub fields: String,
    pub body: Vec<u8>,
}

/// The requests that all engines received, in order.
pub type Runs = Arc<Mutex<Vec<Received>>>;

/// An attempt that a coordinator gave up before its answer: with `DROP`, or by the end of its connection.
#[derive(Clone)]
pub struct GivenUp {
    pub at: f64,
    pub engine: String,
    pub id: String,
}

/// The attempts that were given up, at all engines.
pub static GIVEN_UP: Mutex<Vec<GivenUp>> = Mutex::new(Vec::new());

/// The requests that are open on one connection.
type Open = Arc<Mutex<Vec<String>>>;

fn give_up_attempt(record: &Record, engine: &str, id: &str, open: &Open) {
    let mut open = lock(open);
    if let Some(position) = open.iter().position(|other| other == id) {
        open.remove(position);
        record.line(&format!("{engine}: {id} is given up"));
        lock(&GIVEN_UP).push(GivenUp { at: record.now(), engine: engine.into(), id: id.into() });
    }
}

/// Starts an engine; returns its address. Each request that it receives whole is recorded.
pub fn start_engine(
    record: &Record,
    id: &str,
    runs: &Runs,
    react: impl Fn(&Received) -> Reaction + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| give_up("no port"));
    let address = listener.local_addr().unwrap_or_else(|_| give_up("no port"));
    let react: Arc<dyn Fn(&Received) -> Reaction + Send + Sync> = Arc::new(react);
    let (record, id, runs) = (record.clone(), id.to_string(), runs.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (record, id, runs, react) = (record.clone(), id.clone(), runs.clone(), react.clone());
            std::thread::spawn(move || {
                let open = Open::default();
                serve_engine(&record, &id, &runs, stream, &react, &open);
                for request in lock(&open).clone() {
                    give_up_attempt(&record, &id, &request, &open);
                }
            });
        }
    });
    address
}

fn read_number(reader: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.get(1..)?.trim().parse().ok()
}

fn read_value(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut value = vec![0; read_number(reader)? + 2];
    reader.read_exact(&mut value).ok()?;
    value.truncate(value.len() - 2);
    Some(value)
}

fn encode_array(values: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", values.len()).into_bytes();
    for value in values {
        out.extend(format!("${}\r\n", value.len()).bytes());
        out.extend_from_slice(value);
        out.extend(b"\r\n");
    }
    out
}

fn serve_engine(
    record: &Record,
    id: &str,
    runs: &Runs,
    stream: TcpStream,
    react: &Arc<dyn Fn(&Received) -> Reaction + Send + Sync>,
    open: &Open,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    let results: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    loop {
        reader.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
        let begun = record.now();
        let count = read_number(&mut reader)?;
        let values: Vec<Vec<u8>> = (0..count).map(|_| read_value(&mut reader)).collect::<Option<_>>()?;
        let text = |at: usize| {
            values.get(at).map(|value| String::from_utf8_lossy(value).into_owned()).unwrap_or_default()
        };
        match values[0].as_slice() {
            b"GET" => {
                let received = Received {
                    begun,
                    at: record.now(),
                    engine: id.into(),
                    id: text(1),
                    fields: text(2),
                    body: values.get(3).cloned().unwrap_or_default(),
                };
                record.line(&format!("{id}: received and runs {} {}", received.id, received.fields));
                lock(runs).push(received.clone());
                lock(open).push(received.id.clone());
                let Reaction::Serve(duration, pages) = react(&received) else { continue };
                let (writer, results, record, engine) =
                    (writer.clone(), results.clone(), record.clone(), id.to_string());
                let open = open.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(duration);
                    let mut still_open = lock(&open);
                    let Some(position) = still_open.iter().position(|id| *id == received.id) else { return };
                    still_open.remove(position);
                    drop(still_open);
                    let first = pages.first().cloned().unwrap_or_default();
                    let fields = format!("total={},l=queue:0;util:0.10", pages.len().max(1));
                    lock(&results).insert(received.id.clone(), pages);
                    let answer =
                        encode_array(&[received.id.as_bytes(), b"data", fields.as_bytes(), first.as_bytes()]);
                    let sent = lock(&writer).write_all(&answer).is_ok();
                    record.line(&format!("{engine}: answered {} (sent: {sent})", received.id));
                });
            }
            b"PAGE" => {
                let index: usize = text(2).parse().unwrap_or(0);
                let page = lock(&results).get(&text(1)).and_then(|pages| pages.get(index).cloned());
                let answer = match page {
                    Some(page) => encode_array(&[
                        &values[1],
                        b"page",
                        format!("index={index}").as_bytes(),
                        page.as_bytes(),
                    ]),
                    None => encode_array(&[&values[1], b"failed", b"-", b""]),
                };
                lock(&writer).write_all(&answer).ok()?;
            }
            b"PING" | b"LOAD" => {
                let answer = encode_array(&[&values[1], b"well", b"l=queue:0;util:0.10", b""]);
                lock(&writer).write_all(&answer).ok()?;
            }
            b"DROP" => give_up_attempt(record, id, &text(1), open),
            _ => {}
        }
    }
}

/// Rows of three columns, as pages of at most 6,000 bytes.
pub fn pages_of_rows(rows: usize, mark: &str) -> Vec<String> {
    let (mut pages, mut page) = (Vec::new(), String::new());
    for row in 0..rows {
        let line = format!("{:02}\t{}\t{mark}\n", row % 31 + 1, row);
        if page.len() + line.len() > 6000 {
            pages.push(std::mem::take(&mut page));
        }
        page += &line;
    }
    pages.push(page);
    pages
}

// Clients of the platform's protocol.

/// A request of a client as bytes.
pub fn http_request(class: &str, id: &str, allow_ms: u64, extra: &str, statement: &str) -> Vec<u8> {
    format!(
        "POST /invoke/{class} HTTP/1.1\r\nHost: api.internal\r\nX-Job-Id: {id}\r\nX-Allow-Ms: {allow_ms}\r\n{extra}Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
    .into_bytes()
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// An id of 16 hex digits, new with each call.
pub fn new_id() -> String {
    let start = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", start.wrapping_mul(0x9e37_79b9_7f4a_7c15) & !0xffff_f000_0000_ffff | number)
}

/// An answer of a coordinator.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    pub status: u16,
    pub keep_alive: bool,
    pub body: String,
}

/// A client's connection.
pub struct HttpClient {
    pub reader: BufReader<TcpStream>,
}

impl HttpClient {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> std::io::Result<HttpAnswer> {
        let ended = || {
            std::io::Error::new(
                std::io::ErrorKind::UnexpectedEof,
                "the connection ended with no whole answer",
            )
        };
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let (mut length, mut keep_alive) = (0, true);
        loop {
            let mut field = String::new();
            if self.reader.read_line(&mut field)? == 0 {
                return Err(ended());
            }
            match field.trim().split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse().unwrap_or(0),
                Some(("Connection", "close")) => keep_alive = false,
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(HttpAnswer { status, keep_alive, body: String::from_utf8_lossy(&body).into_owned() })
    }
}

/// An answer in a few words.
pub fn describe(answer: &std::io::Result<HttpAnswer>) -> String {
    match answer {
        Ok(answer) => {
            let start: String = answer.body.chars().take(40).collect();
            format!("{} with {} bytes {start:?}", answer.status, answer.body.len())
        }
        Err(error) => format!("no answer: {error}"),
    }
}

/// A call of one connection, with the whole answer as text.
pub fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    http_call(address, "GET", path)
}

pub fn http_call(address: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

// MySQL: an engine and a client of the text protocol.

fn mysql_packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    out
}

/// Reads one packet: its sequence number and payload.
pub fn read_mysql_packet(stream: &mut impl Read) -> std::io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let mut payload = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
    stream.read_exact(&mut payload)?;
    Ok((header[3], payload))
}

const MYSQL_OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];
const MYSQL_EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

fn mysql_column(name: &str) -> Vec<u8> {
    let mut out: Vec<u8> = ["def", "", "", "", name, ""]
        .iter()
        .flat_map(|text| [&[text.len() as u8], text.as_bytes()].concat())
        .collect();
    out.extend_from_slice(&[0x0c, 45, 0, 255, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    out
}

/// Starts an engine's MySQL port. `rows` decides the number of rows of each text query, which have three columns.
pub fn start_mysql_engine(
    record: &Record,
    id: &str,
    runs: &Runs,
    duration: Duration,
    rows: impl Fn(&str) -> usize + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| give_up("no port"));
    let address = listener.local_addr().unwrap_or_else(|_| give_up("no port"));
    let rows: Arc<dyn Fn(&str) -> usize + Send + Sync> = Arc::new(rows);
    let (record, id, runs) = (record.clone(), id.to_string(), runs.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (record, id, runs, rows) = (record.clone(), id.clone(), runs.clone(), rows.clone());
            std::thread::spawn(move || serve_mysql_engine(&record, &id, &runs, stream, duration, &rows));
        }
    });
    address
}

fn serve_mysql_engine(
    record: &Record,
    id: &str,
    runs: &Runs,
    mut stream: TcpStream,
    duration: Duration,
    rows: &Arc<dyn Fn(&str) -> usize + Send + Sync>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut greeting = b"\x0a8.0-stand-in\0\x01\0\0\0aaaaaaaa\0\xff\xff\x2d\x02\0\xff\xff\x15".to_vec();
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(b"bbbbbbbbbbbb\0caching_sha2_password\0");
    stream.write_all(&mysql_packet(0, &greeting)).ok()?;
    read_mysql_packet(&mut stream).ok()?;
    stream.write_all(&mysql_packet(2, MYSQL_OK)).ok()?;
    loop {
        let (_, command) = read_mysql_packet(&mut stream).ok()?;
        match command.first()? {
            3 => {
                let text = String::from_utf8_lossy(&command[1..]).into_owned();
                let at = record.now();
                record.line(&format!("{id}: received and runs {text:?}"));
                let body = command[1..].to_vec();
                lock(runs).push(Received {
                    begun: at,
                    at,
                    engine: id.into(),
                    id: String::new(),
                    fields: String::new(),
                    body,
                });
                std::thread::sleep(duration);
                let mut payloads = vec![
                    vec![3],
                    mysql_column("day"),
                    mysql_column("n"),
                    mysql_column("note"),
                    MYSQL_EOF.to_vec(),
                ];
                for row in 0..rows(&text) {
                    let values = [format!("{:02}", row % 31 + 1), row.to_string(), "x".to_string()];
                    payloads.push(
                        values
                            .iter()
                            .flat_map(|value| [&[value.len() as u8], value.as_bytes()].concat())
                            .collect(),
                    );
                }
                payloads.push(MYSQL_EOF.to_vec());
                let out: Vec<u8> = payloads
                    .iter()
                    .enumerate()
                    .flat_map(|(at, payload)| mysql_packet(at as u8 + 1, payload))
                    .collect();
                let sent = stream.write_all(&out).is_ok();
                record.line(&format!("{id}: answered with {} bytes (sent: {sent})", out.len()));
            }
            14 => stream.write_all(&mysql_packet(1, MYSQL_OK)).ok()?,
            _ => return None,
        }
    }
}

/// A client of the MySQL listener.
pub struct MysqlClient(BufReader<TcpStream>);

impl MysqlClient {
    /// Connects and logs in to an account without a password.
    pub fn connect(address: SocketAddr, account: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        let mut reader = BufReader::new(stream);
        read_mysql_packet(&mut reader)?;
        // Long passwords, long flags, protocol 4.1, transactions, secure connection, named plugins.
        let capabilities: u32 = 1 | 1 << 2 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 19;
        let mut login = capabilities.to_le_bytes().to_vec();
        login.extend_from_slice(&(1u32 << 24).to_le_bytes());
        login.push(45);
        login.extend_from_slice(&[0; 23]);
        login.extend_from_slice(account.as_bytes());
        login.extend_from_slice(&[0, 0]);
        login.extend_from_slice(b"caching_sha2_password\0");
        reader.get_mut().write_all(&mysql_packet(1, &login))?;
        loop {
            match read_mysql_packet(&mut reader)?.1.first() {
                Some(0) => return Ok(Self(reader)),
                Some(1) => {}
                _ => return Err(std::io::Error::other("the login was refused")),
            }
        }
    }

    /// Runs a text query; returns the number of rows, or the text of the error that answers it.
    pub fn query(&mut self, text: &str) -> std::io::Result<Result<usize, String>> {
        self.0.get_mut().write_all(&mysql_packet(0, &[&[3], text.as_bytes()].concat()))?;
        let (mut ends, mut rows) = (0, 0);
        loop {
            let (_, payload) = read_mysql_packet(&mut self.0)?;
            match payload.first() {
                Some(0xff) => return Ok(Err(String::from_utf8_lossy(&payload[3..]).into_owned())),
                Some(0xfe) if payload.len() <= 5 => ends += 1,
                Some(0) if ends == 0 && rows == 0 => return Ok(Ok(0)),
                _ if ends == 1 => rows += 1,
                _ => {}
            }
            if ends == 2 {
                return Ok(Ok(rows));
            }
        }
    }
}

/// A `deploy/mysql.toml` for these engines.
pub fn mysql_file(listen: SocketAddr, engines: &[(&str, SocketAddr)]) -> String {
    let addresses: Vec<String> =
        engines.iter().map(|(id, address)| format!("\"{id}\" = \"{address}\"")).collect();
    format!(
        "listen = \"{listen}\"\n[engine]\nport = 3306\nuser = \"dahliaspoke\"\npassword = \"\"\naddresses = {{ {} }}\n\
         [accounts]\nbilling = \"\"\n[[statement]]\nstarts = \"insert\"\nclass = \"load\"\n[[statement]]\nstarts = \"select\"\n\
         holds = \"group by\"\nclass = \"report\"\n[[statement]]\nstarts = \"select\"\nclass = \"lookup\"\n",
        addresses.join(", ")
    )
}

// The operators' client of the replicated store (docs/store.md), with the steps of `dahliaspoke-ctl`.

/// Sends one command to one member of the store; returns its answer without RESP's framing.
fn call_store(member: SocketAddr, words: &[&str]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&member, millis(2000))?;
    stream.set_read_timeout(Some(millis(2000)))?;
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    stream.write_all(&encode_array(&words))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let Some(length) = line.strip_prefix('$') else { return Ok(line.trim_end().to_string()) };
    let Ok(length) = length.trim_end().parse::<usize>() else { return Ok("(no value)".to_string()) };
    let mut text = vec![0; length + 2];
    reader.read_exact(&mut text)?;
    text.truncate(length);
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Carries out an operators' command, trying the members one after the other until the leader answers. A change that is
/// sent again has the same session, so that it is applied once. The case cannot run if the command fails.
pub fn operate(record: &Record, members: &[SocketAddr], words: &[&str]) {
    static SESSIONS: AtomicU64 = AtomicU64::new(1);
    let session = SESSIONS.fetch_add(1, Ordering::SeqCst).to_string();
    let mut request = words.to_vec();
    if matches!(words[0], "SET" | "DEL") {
        request.extend(["SESSION", &session, "1"]);
    }
    let answer = wait_for(&words.join(" "), || {
        let answer = members.iter().find_map(|member| {
            let answer = call_store(*member, &request).ok()?;
            let is_retried =
                ["-LEADER", "-BUSY", "-LOST", "-UNKNOWN"].iter().any(|no| answer.starts_with(no));
            (!is_retried).then_some(answer)
        });
        if answer.is_none() {
            pause(100);
        }
        answer
    });
    record.line(&format!("operator: {}: {answer}", words.join(" ")));
    if answer.starts_with('-') {
        give_up(&format!("{}: {answer}", words.join(" ")));
    }
}

/// Adds a member to the store, and waits until it votes and no change of the membership is under way.
pub fn add_member(record: &Record, members: &[SocketAddr], name: &str) {
    wait_for(&format!("{name} to vote"), || {
        let statuses = members.iter().filter_map(|member| call_store(*member, &["STATUS"]).ok());
        let status = statuses.filter(|status| status.contains("role=leader")).last()?;
        let is_open =
            |line: &str| line.starts_with(&format!("waits={name} ")) || line.starts_with("changing=");
        let is_voter = |line: &str| line.starts_with(&format!("member={name} ")) && line.contains(" voter ");
        if status.lines().any(is_voter) && !status.lines().any(is_open) {
            return Some(());
        }
        for member in members {
            let _ = call_store(*member, &["MEMBER", "ADD", name]);
        }
        pause(100);
        None
    });
    record.line(&format!("operator: {name} is a member of the store"));
}
