//! What the cases share: a recorder, the coordinator's process, and small stand-ins for the directory, the worker
//! groups and the clients. Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn waitpid(process: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The processes that this run has started and not ended yet.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started, then itself.
fn exit(status: i32) -> ! {
    for process in CHILDREN.lock().unwrap().iter() {
        unsafe {
            kill(*process, SIGKILL);
            waitpid(*process, std::ptr::null_mut(), 0);
        }
    }
    std::process::exit(status);
}

/// Unix time in seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits for a condition; `None` after `seconds`.
pub fn wait_for<T>(seconds: f64, mut find: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        if let Some(found) = find() {
            return Some(found);
        }
        if Instant::now() > until {
            return None;
        }
        sleep_ms(5);
    }
}

/// The file record.txt, with times since the start of the run.
#[derive(Clone)]
pub struct Record(Arc<(f64, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, text: &str) {
        self.at(now(), text);
    }

    pub fn at(&self, at: f64, text: &str) {
        let (start, file) = &*self.0;
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", at - start);
        let _ = file.flush();
    }

    /// As [`Self::line`], and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// The time of the record's clock.
    pub fn since_start(&self, at: f64) -> f64 {
        at - self.0 .0
    }
}

/// What the script passes: the root of the project, the folder of the case, a temporary folder, and whether the
/// disruption is played.
pub struct Run {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

impl Run {
    pub fn open() -> Self {
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(110));
            could_not_run("it takes too long");
        });
        let folder = |name: &str| PathBuf::from(std::env::var(name).unwrap_or_else(|_| could_not_run(name)));
        let record = Record::create(&folder("CASE").join("record.txt")).unwrap_or_else(|_| could_not_run("record.txt"));
        Self {
            root: folder("ROOT"),
            temporary: folder("WORK"),
            trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            record,
        }
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held.
    pub fn finish(&self, broken: bool) -> ! {
        self.record.say(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
        exit(i32::from(broken));
    }
}

/// The case could not run.
pub fn could_not_run(why: &str) -> ! {
    println!("RESULT: the case could not run: {why}");
    exit(2);
}

/// The value of a key in deploy/balancer.toml.
pub fn deploy_line(root: &Path, key: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_else(|_| could_not_run("deploy file"));
    let value = text.lines().find_map(|line| {
        let (name, rest) = line.split_once('=')?;
        (name.trim() == key).then(|| rest.split('"').nth(1).map(String::from))?
    });
    value.unwrap_or_else(|| could_not_run("the deploy file's run line"))
}

/// The folder that a coordinator is started from: the project's build, and files of its own under deploy/.
pub fn coordinator_folder(run: &Run, name: &str, files: &[(&str, String)]) -> PathBuf {
    let folder = run.temporary.join(name);
    fs::create_dir_all(folder.join("deploy")).unwrap_or_else(|_| could_not_run("folder"));
    fs::create_dir_all(folder.join("tmp")).unwrap_or_else(|_| could_not_run("folder"));
    let _ = std::os::unix::fs::symlink(run.root.join("target"), folder.join("target"));
    for (file, text) in files {
        fs::write(folder.join(file), text).unwrap_or_else(|_| could_not_run("file"));
    }
    folder
}

/// A coordinator: the process that the deploy file's `run` line starts.
pub struct Coordinator {
    child: Child,
    pub name: String,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// Starts a coordinator in its folder with a configuration, and waits until it listens. `inherited` is a
    /// listening socket that it gets as descriptor 5.
    pub fn start(run: &Run, folder: &Path, name: &str, config: &str, inherited: Option<i32>) -> Self {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, config).unwrap_or_else(|_| could_not_run("configuration"));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_line(&run.root, "run")).current_dir(folder);
        command.env("NODE_CONFIG", &path).env("NODE_NAME", name).env("TMPDIR", folder.join("tmp"));
        command.env_remove("NODE_CONSOLE").env_remove("NODE_INHERITED_FD");
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        if let Some(descriptor) = inherited {
            command.env("NODE_INHERITED_FD", "5");
            // The standard library closes all other descriptors in the child.
            unsafe {
                command.pre_exec(move || if dup2(descriptor, 5) < 0 { Err(io::Error::last_os_error()) } else { Ok(()) });
            }
        }
        let mut child = command.spawn().unwrap_or_else(|_| could_not_run("the coordinator does not start"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (out, error) = (child.stdout.take(), child.stderr.take());
        for (stream, tag) in [(out.map(|s| Box::new(s) as Box<dyn Read + Send>), "out"), (error.map(|s| Box::new(s) as Box<dyn Read + Send>), "err")] {
            let Some(stream) = stream else { continue };
            let (lines, record, name) = (lines.clone(), run.record.clone(), name.to_string());
            thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    record.line(&format!("log   {name} {tag}: {line}"));
                    lines.lock().unwrap().push(line);
                }
            });
        }
        let coordinator = Self { child, name: name.into(), lines };
        CHILDREN.lock().unwrap().push(coordinator.child.id() as i32);
        run.record.line(&format!("start {name}, process {}", coordinator.child.id()));
        if wait_for(20.0, || coordinator.has_printed(" listens on ").then_some(())).is_none() {
            could_not_run("a coordinator does not listen");
        }
        coordinator
    }

    pub fn has_printed(&self, text: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Sends a signal. The shell has replaced itself by the coordinator (`exec`).
    pub fn signal(&self, run: &Run, signal: i32) {
        run.record.line(&format!("signal {signal} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        self.forget();
        Some(status.to_string())
    }

    pub fn kill(&mut self, run: &Run) {
        self.signal(run, SIGKILL);
        let _ = self.child.wait();
        self.forget();
    }

    fn forget(&self) {
        let own = self.child.id() as i32;
        CHILDREN.lock().unwrap().retain(|process| *process != own);
    }
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }
}

/// A free port on loopback for a later listener.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|_| could_not_run("no port"))
}

/// A worker group as the directory lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub drains: bool,
    pub started_ms: u64,
}

/// The settings of a small deployment like shah-alam-dc; `load` gives the effect of the class `load`.
pub fn settings(fleet: usize, me: usize, load: &str) -> String {
    format!(
        r#"{{"classes":[
 {{"aimStretch":1.5,"effect":"repeatable","giveUp":3.0,"group":"all","importance":1.0,"lateValue":0.0,"memorySpan":5.0,"name":"lookup","objective":0.6,"stream":false}},
 {{"aimStretch":2.5,"effect":"repeatable","giveUp":25.0,"group":"all","importance":7.5,"lateValue":0.3,"memorySpan":5.0,"name":"report","objective":1.5,"stream":false}},
 {{"aimStretch":3.0,"effect":"{load}","giveUp":20.0,"group":"all","importance":20.0,"lateValue":0.6,"memorySpan":20.0,"name":"load","objective":3.0,"stream":false}}],
 "clients":{{"marksRetry":true}},"countedBy":"request","discovery":"pushed","family":"queries",
 "familyInfo":{{"bills":false,"classThreads":[1,2,2],"grantsCount":true,"lanesCount":true,"loads":[false,false,true],"maxGrantShare":0.4,"notePeriod":0.5,"onShortage":"page","sizeCores":[8,8],"sizeMb":[16384.0,16384.0],"yieldsToLoads":[true,false,false]}},
 "flavors":["std-8a","std-8b"],"fleetSize":{fleet},"goal":{{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3}},"granularity":0.005,"layer":0,
 "limits":{{"cancel":true,"connIdle":15.0,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":622102,"maxRetryAfter":0.5,"mostHeld":24884,"parallelTries":true,"peers":false,"probes":true,"retryAfter":true,"streamsPerConn":100,"tryLimit":4}},
 "locality":"hall-a","me":{me},"overShareWorth":0.1,
 "prices":{{"connection":0.0,"crossZone":0.038,"discovery":0.0,"handshake":0.0,"lateFail":0.036,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.012,"waste":0.16}},
 "report":{{"columns":["q","busy"],"via":"piggyback"}},
 "rules":{{"answerSlack":0.02,"askWithin":10.0,"cold":15.0,"coldShare":0.33,"drainGrace":1.0,"fallMultiple":3.0,"overloadFor":3.0}},
 "tenants":[],"tiers":["delivery-query"],"weights":"silent","zones":["hall-a","hall-b"]}}"#
    )
}

/// The settings of a small deployment like kwn-semarang-hub.
pub fn settings_kwn(fleet: usize, me: usize) -> String {
    format!(
        r#"{{"classes":[
 {{"aimStretch":2.0,"effect":"repeatable","giveUp":2.5,"group":"all","importance":1.0,"lateValue":0.1,"memorySpan":5.0,"name":"lookup","objective":0.5,"stream":false}},
 {{"aimStretch":2.5,"effect":"repeatable","giveUp":20.0,"group":"all","importance":12.0,"lateValue":0.3,"memorySpan":5.0,"name":"report","objective":1.5,"stream":false}},
 {{"aimStretch":2.5,"effect":"once","giveUp":25.0,"group":"all","importance":20.0,"inTurn":true,"lateValue":0.6,"memorySpan":5.0,"name":"handover-load","objective":3.0,"stream":false}}],
 "clients":{{"marksRetry":true}},"countedBy":"request","discovery":"pushed","family":"queries",
 "familyInfo":{{"bills":true,"classThreads":[1,3,2],"grantsCount":true,"lanesCount":true,"loads":[false,false,true],"maxGrantShare":0.4,"notePeriod":2.0,"onShortage":"wait","sizeCores":[16],"sizeMb":[32768.0],"yieldsToLoads":[false,false,false]}},
 "flavors":["std-8a"],"fleetSize":{fleet},"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3}},"granularity":0.005,"layer":0,
 "limits":{{"cancel":true,"connIdle":15.0,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"maxRetryAfter":1.0,"mostHeld":24884,"parallelTries":false,"peers":false,"probes":true,"retryAfter":true,"streamsPerConn":100,"tryLimit":4}},
 "locality":"hall-a","me":{me},"overShareWorth":0.2,
 "prices":{{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.057,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.056}},
 "report":{{"columns":["rif","busy","x1"],"via":"pull"}},
 "rules":{{"answerSlack":0.02,"askWithin":10.0,"cold":14.0,"coldShare":0.36,"drainGrace":0.25,"fallMultiple":2.5,"orderSettle":0.0,"overloadFor":2.0}},
 "tenants":[{{"name":"pasar-rakyat","quotaPerS":60.0,"share":0.44}},{{"name":"koperasi-tani","quotaPerS":45.0,"share":0.33}},{{"name":"umkm-batik","quotaPerS":18.0,"share":0.13}},{{"name":"apotek-desa","quotaPerS":14.0,"share":0.1}}],
 "tiers":["query-engines"],"weights":"silent","zones":["hall-a","hall-b","hall-c"]}}"#
    )
}

/// A coordinator's configuration.
pub fn config(name: &str, listen: SocketAddr, console: Option<SocketAddr>, names: SocketAddr, listed: &[Listed], settings: &str) -> String {
    let servers: Vec<String> = listed
        .iter()
        .map(|one| {
            let state = if one.drains { "leaving" } else { "active" };
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"hall-a","kind":"std-8a","cell":0,"state":"{state}","weight":1,"started_ms":{}}}"#,
                one.id, one.address, one.started_ms
            )
        })
        .collect();
    let console = console.map_or(String::new(), |address| format!(r#""console":"{address}","#));
    format!(
        r#"{{"name":"{name}","listen":"{listen}",{console}"seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"names":"{names}","known":{{"n":1,"events":[{{"n":1,"members":{{"version":1,"full":true,"servers":[{}]}}}}]}},
"settings":{settings}}}"#,
        (now() * 1e6) as u64,
        servers.join(",")
    )
}

/// The directory: DNS over UDP as the protocol page describes it.
pub struct Directory {
    pub address: SocketAddr,
    state: Arc<Mutex<DirectoryState>>,
}

struct DirectoryState {
    serial: u32,
    listed: Vec<Listed>,
    silent: bool,
    answers: u64,
}

impl Directory {
    pub fn start(record: &Record, name: &str, serial: u32, listed: &[Listed]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no port"));
        let address = socket.local_addr().unwrap_or_else(|_| could_not_run("no port"));
        let state = Arc::new(Mutex::new(DirectoryState { serial, listed: listed.to_vec(), silent: false, answers: 0 }));
        let shared = state.clone();
        thread::spawn(move || {
            let mut buffer = [0; 1024];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let mut state = shared.lock().unwrap();
                if state.silent {
                    continue;
                }
                if let Some(answer) = directory_answer(&buffer[..length], state.serial, &state.listed) {
                    state.answers += 1;
                    let _ = socket.send_to(&answer, from);
                }
            }
        });
        record.line(&format!("directory {name} answers at {address}"));
        Self { address, state }
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    /// Changes the list; returns its new number.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) -> u32 {
        let mut state = self.state.lock().unwrap();
        change(&mut state.listed);
        state.serial += 1;
        state.serial
    }

    pub fn list(&self) -> (u32, Vec<Listed>) {
        let state = self.state.lock().unwrap();
        (state.serial, state.listed.clone())
    }

    pub fn answers(&self) -> u64 {
        self.state.lock().unwrap().answers
    }
}

fn label_text(text: &str) -> Vec<u8> {
    [&[text.len() as u8], text.as_bytes()].concat()
}

fn dns_name(name: &str) -> Vec<u8> {
    let mut out: Vec<u8> = name.split('.').flat_map(label_text).collect();
    out.push(0);
    out
}

fn dns_record(owner: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    [owner, &kind.to_be_bytes(), &[0, 1, 0, 0, 0, 0], &(data.len() as u16).to_be_bytes(), data].concat()
}

fn directory_answer(query: &[u8], serial: u32, listed: &[Listed]) -> Option<Vec<u8>> {
    let service = dns_name("_back._tcp.pool.lan");
    let question = query.get(12..12 + service.len() + 4)?;
    if !question.starts_with(&service) {
        return None;
    }
    let (mut services, mut hosts) = (Vec::new(), Vec::new());
    for one in listed {
        let SocketAddr::V4(address) = one.address else { continue };
        let host = dns_name(&format!("{}.hall-a.hosts", one.id));
        let data = [&u16::from(one.drains).to_be_bytes()[..], &10u16.to_be_bytes(), &address.port().to_be_bytes(), &host].concat();
        services.extend(dns_record(&service, 33, &data));
        hosts.extend(dns_record(&host, 1, &address.ip().octets()));
        let texts = ["kind=std-8a".to_string(), "cell=0".into(), format!("started={}", one.started_ms)];
        hosts.extend(dns_record(&host, 16, &texts.iter().flat_map(|t| label_text(t)).collect::<Vec<u8>>()));
    }
    let soa = dns_record(&service, 6, &[&[0, 0], &serial.to_be_bytes()[..], &[0; 16]].concat());
    let counts = [1, listed.len() as u16, 1, 2 * listed.len() as u16].map(u16::to_be_bytes).concat();
    Some([&query[..2], &[0x84, 0], &counts, question, &services, &soa, &hosts].concat())
}

/// A request that a worker group received.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: f64,
    pub id: String,
    /// When its end was written, it was dropped, or its connection ended.
    pub ended: Option<f64>,
}

/// The requests that a worker group has received, and the times that its work takes.
struct Work {
    name: String,
    received: Mutex<Vec<Received>>,
    work_ms: u64,
    load_ms: u64,
    record: Record,
}

impl Work {
    fn end(&self, id: &str, how: &str) {
        let at = now();
        let mut all = self.received.lock().unwrap();
        if let Some(one) = all.iter_mut().rev().find(|one| one.id == id && one.ended.is_none()) {
            one.ended = Some(at);
            self.record.at(at, &format!("{} ends {id}: {how}", self.name));
        }
    }
}

/// A worker group that speaks the platform's protocol. It serves a load after `load_ms`, anything else after `work_ms`.
pub struct WorkerGroup {
    pub id: String,
    pub address: SocketAddr,
    work: Arc<Work>,
}

impl WorkerGroup {
    pub fn start(record: &Record, id: &str, work_ms: u64, load_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no port"));
        let address = listener.local_addr().unwrap_or_else(|_| could_not_run("no port"));
        record.line(&format!("worker group {id} listens on {address}"));
        let (name, received, record) = (id.to_string(), Mutex::default(), record.clone());
        let work = Arc::new(Work { name, received, work_ms, load_ms, record });
        let shared = work.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let work = shared.clone();
                thread::spawn(move || serve_resp(stream, &work));
            }
        });
        Self { id: id.into(), address, work }
    }

    pub fn listed(&self) -> Listed {
        Listed { id: self.id.clone(), address: self.address, drains: false, started_ms: 0 }
    }

    /// The requests received from a time on.
    pub fn received_from(&self, from: f64) -> Vec<Received> {
        self.work.received.lock().unwrap().iter().filter(|one| one.at >= from).cloned().collect()
    }
}

fn read_array(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let header = |reader: &mut dyn BufRead, prefix: char| -> Option<usize> {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(prefix)?.parse().ok()
    };
    let count = header(reader, '*')?;
    let mut values = Vec::new();
    for _ in 0..count {
        let mut value = vec![0; header(reader, '$')? + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(value.len() - 2);
        values.push(String::from_utf8(value).ok()?);
    }
    Some(values)
}

fn array(values: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", values.len());
    for value in values {
        out += &format!("${}\r\n{value}\r\n", value.len());
    }
    out.into_bytes()
}

fn serve_resp(stream: TcpStream, work: &Arc<Work>) -> Option<()> {
    let open: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let served = serve_requests(stream, work, &open);
    for id in std::mem::take(&mut *open.lock().unwrap()).keys() {
        work.end(id, "its connection has ended");
    }
    served
}

fn serve_requests(stream: TcpStream, work: &Arc<Work>, open: &Arc<Mutex<BTreeMap<String, u64>>>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while let Some(words) = read_array(&mut reader) {
        match (words.first().map(String::as_str), words.len()) {
            (Some("GET"), 4) => {
                let (at, id) = (now(), words[1].clone());
                work.received.lock().unwrap().push(Received { at, id: id.clone(), ended: None });
                work.record.at(at, &format!("{} runs {id} {}", work.name, words[2]));
                number += 1;
                open.lock().unwrap().insert(id.clone(), number);
                let (writer, open, work) = (writer.clone(), open.clone(), work.clone());
                let ms = if words[2].contains("load,") { work.load_ms } else { work.work_ms };
                thread::spawn(move || {
                    sleep_ms(ms);
                    let mut open = open.lock().unwrap();
                    if open.get(&id) == Some(&number) {
                        open.remove(&id);
                        let answer = array(&[&id, "data", "total=1,l=q:0;busy:0.200", "1\t2\t3\n"]);
                        work.end(&id, "served");
                        let _ = writer.lock().unwrap().write_all(&answer);
                    }
                });
            }
            (Some("DROP" | "CLOSE"), _) if words.len() >= 2 => {
                if open.lock().unwrap().remove(&words[1]).is_some() {
                    work.end(&words[1], "dropped");
                }
            }
            (Some("PING" | "LOAD"), _) if words.len() >= 2 => {
                let _ = writer.lock().unwrap().write_all(&array(&[&words[1], "well", "-", ""]));
            }
            (Some("RANK" | "PAGE"), _) => {}
            _ => return None,
        }
    }
    Some(())
}

/// Reads an HTTP answer; returns its status.
fn read_http(reader: &mut impl BufRead) -> Option<u16> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok()?;
        match field.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => length = value.trim().parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}

/// One call on a connection of its own; returns the status.
pub fn http_call(to: SocketAddr, head: &str, body: &str, patience_ms: u64) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(patience_ms))).ok()?;
    stream.write_all(format!("{head}\r\nHost: api.internal\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes()).ok()?;
    read_http(&mut BufReader::new(stream))
}

/// A client's connection that stays open between its requests.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(26))).ok()?;
        Some(Self(BufReader::new(stream)))
    }

    pub fn call(&mut self, head: &str, body: &str) -> Option<u16> {
        let text = format!("{head}\r\nHost: api.internal\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        read_http(&mut self.0)
    }
}

/// Clients that send look-ups at a steady rate, each on a connection of its own.
pub struct Clients {
    stop: Arc<Mutex<bool>>,
    pub answers: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Clients {
    pub fn start(record: &Record, to: SocketAddr, per_second: u64) -> Self {
        let stop = Arc::new(Mutex::new(false));
        let answers: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
        let (stopped, counts, record) = (stop.clone(), answers.clone(), record.clone());
        thread::spawn(move || {
            let mut number = (now() * 1000.0) as u64 * 100_000;
            while !*stopped.lock().unwrap() {
                number += 1;
                let (id, counts, record) = (format!("{number:016x}"), counts.clone(), record.clone());
                thread::spawn(move || {
                    let head = format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 100.0\r\nX-Est-Mb: 64");
                    record.line(&format!("client sends {id} to {to}"));
                    let status = http_call(to, &head, "SELECT state, at, note FROM delivery_7.status WHERE tag = '3f9c'", 4000);
                    let answer = status.map_or("no answer".into(), |status| status.to_string());
                    record.line(&format!("client has {id}: {answer}"));
                    *counts.lock().unwrap().entry(answer).or_default() += 1;
                });
                thread::sleep(Duration::from_micros(1_000_000 / per_second));
            }
        });
        Self { stop, answers }
    }

    pub fn stop(&self) {
        *self.stop.lock().unwrap() = true;
    }

    pub fn summary(&self) -> String {
        self.answers.lock().unwrap().iter().map(|(answer, count)| format!("{answer}: {count}")).collect::<Vec<_>>().join(", ")
    }
}

/// A call to a member of the store; returns the reply in one line.
pub fn store_call(member: SocketAddr, words: &[&str]) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&member, Duration::from_millis(1000)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(3000))).ok()?;
    stream.write_all(&array(words)).ok()?;
    store_reply(&mut BufReader::new(stream))
}

/// Many calls on one connection, one after the other.
pub fn store_calls(member: SocketAddr, calls: &[Vec<String>]) -> Option<Vec<String>> {
    let mut stream = TcpStream::connect_timeout(&member, Duration::from_millis(1000)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(5000))).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut replies = Vec::new();
    for part in calls.chunks(50) {
        for call in part {
            let words: Vec<&str> = call.iter().map(String::as_str).collect();
            stream.write_all(&array(&words)).ok()?;
        }
        for _ in part {
            replies.push(store_reply(&mut reader)?);
        }
    }
    Some(replies)
}

fn store_reply(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let line = line.trim_end().to_string();
    let text = |reader: &mut dyn BufRead, length: &str| -> Option<String> {
        let length: i64 = length.parse().ok()?;
        if length < 0 {
            return Some(String::new());
        }
        let mut bytes = vec![0; length as usize + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length as usize);
        String::from_utf8(bytes).ok()
    };
    if let Some(length) = line.strip_prefix('$') {
        return text(reader, length);
    }
    let Some(count) = line.strip_prefix('*') else { return Some(line) };
    let mut texts = Vec::new();
    for _ in 0..count.parse::<usize>().ok()? {
        let mut head = String::new();
        reader.read_line(&mut head).ok()?;
        texts.push(text(reader, head.trim_end().strip_prefix('$')?)?);
    }
    Some(texts.join(" "))
}
