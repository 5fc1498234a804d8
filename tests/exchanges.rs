//! Plays the recorded byte exchanges in `tests/exchanges` against the program. A step a line:
//!
//! - `start e1 e2`: the program starts and knows these engines; `mysql`, `consul` and
//!   `store` switch these on, `memory`, `files` or `nothing` has it keep bodies over 10 bytes there, `inherits` has it inherit its listening socket,
//!   `patient` has calls wait for a connection for as long as it takes, `brief` makes its window for repeats 0.5 s, `traced` has it tell of each step of a request,
//!   `narrow` has connections to engines hold some KB of what is not read, `few` leaves it one connection to engines,
//!   `ordered` has it send loads of one key one after another, `teams` has two tenants: north, and south with a share of nothing; `again`: the program starts once more,
//!   with what it has left behind; `beside`: the same beside the first, which is `old` from then on, as in
//!   `old signal TERM`;
//! - `a > bytes`, `a < bytes`: client `a` of the platform's front sends, or receives exactly that;
//!   `m...` is a client of the `MySQL` front, `e...` an engine, `names` the directory, `consul` its agent, `p...` a
//!   member of the store that is watched, `s...` an operator's connection to it, `o...` one to the operators' door;
//! - `e1+` is another connection to that engine, beside the first;
//! - `start e1 stops@client.overdue`: it stops where it first comes to that point, and `stopped` waits for that;
//! - `counts sends=1`: its counters come to that, asked for by SIGUSR1 again and again;
//! - `signal STOP`: it has stopped from here on, until `signal CONT`;
//! - `a ended`, `a close`: its connection was ended, or it ends it; `a shuts`: it writes nothing more, and reads on; `e1 next`: the engine's next connection;
//! - `e1 gone`: nobody listens there any more; `e1 deaf`: connections to it do not come up; `e1 hears`: they do again, those
//!   that have waited within a second; `e1 up`: the engine's next connection comes up, and stays;
//! - `crowd 200`: so many clients ask for the health and stay; `moves`: the directory has another address, and the
//!   configuration names it; `former` is the one before; `spoils`: the configuration is none any more;
//! - `stalls maintenance.json`: whoever opens that file waits;
//! - `signal USR1`, `line text`, `exit 0`: a signal; a line on standard output; the program's end.
//!
//! In bytes, `\r`, `\n`, `\t`, `\\` and `\x00` are escapes, `<n>` stands for digits, `<8>` for any eight
//! bytes, `<9*x>` for that text nine times, and `<e1>` for that engine's port in two bytes,
//! `<e1.>` in five digits, `<q>` for the number of the directory's last query, `<q2>` for that of
//! the second step `names <`. Lines that begin with two blanks go on.

mod daemon;
use daemon::*;
use rstest::rstest;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;

const MYSQL: &str = r#"
listen = "127.0.0.1:0"
accounts = { billing = "" }
statement = [{ starts = "select", class = "lookup" }, { starts = "insert", class = "load" }]
class = { lookup = { deadline_ms = 2500 } }
[engine]
port = 3306
user = "gateway"
"#;

/// Bodies over 10 bytes go through the spool.
const BODIES: &str = r#"
memory_mb = 8
largest_mb = 1
above_kb = 0.01
stall_ms = 300
"#;

enum Piece {
    Byte(u8),
    Digits,
    Any(usize),
}

struct Player {
    daemon: Option<Daemon>,
    old: Option<Daemon>,
    held: Option<TcpListener>,
    engines: HashMap<String, EngineSocket>,
    ports: HashMap<String, u16>,
    streams: HashMap<String, TcpStream>,
    names: std::net::UdpSocket,
    /// The exchange has steps of the directory: it answers nothing but what they say.
    scripted: bool,
    /// Else one that goes on telling of the engines of the start.
    directory: Option<SocketAddr>,
    /// Where the directory was before it moved.
    former: Option<std::net::UdpSocket>,
    crowd: Vec<TcpStream>,
    /// Changes to the settings.
    settings: Vec<(&'static str, &'static str)>,
    /// What fills the lines of engines that are deaf.
    fillers: HashMap<String, TcpStream>,
    asker: Option<SocketAddr>,
    /// Steps that have met a question to the directory.
    queries: usize,
}

impl Player {
    /// The engines of the start: `e9` is not among them, only a list tells of it.
    fn known(&self) -> Vec<(&str, SocketAddr)> {
        let known = self.engines.values().filter(|e| e.id.starts_with('e') && e.id != "e9");
        known.map(|e| (e.id.as_str(), e.address())).collect()
    }

    fn config(&self) -> String {
        let scripted = || self.names.local_addr().expect("bound");
        let config = config(&self.known(), self.directory.unwrap_or_else(scripted));
        self.settings.iter().fold(config, |config, (from, to)| config.replace(from, to))
    }

    fn pieces(&self, text: &str) -> Vec<Piece> {
        let (mut pieces, mut rest) = (Vec::new(), text);
        while let Some(first) = rest.chars().next() {
            let mut length = first.len_utf8();
            if let Some((escape, after)) = rest.strip_prefix('\\').map(|r| r.split_at(1)) {
                length = 2;
                pieces.push(Piece::Byte(match escape {
                    "r" => b'\r',
                    "n" => b'\n',
                    "t" => b'\t',
                    "x" => {
                        length = 4;
                        u8::from_str_radix(&after[..2], 16).expect("two hex digits")
                    }
                    other => other.as_bytes()[0],
                }));
            } else if let Some(end) = rest.find('>').filter(|_| first == '<') {
                length = end + 1;
                match &rest[1..end] {
                    "n" => pieces.push(Piece::Digits),
                    name if name.contains('*') => {
                        let (count, text) = name.split_once('*').expect("it holds one");
                        let text = text.repeat(count.parse().expect("a number"));
                        pieces.extend(text.bytes().map(Piece::Byte));
                    }
                    name => match name.parse() {
                        Ok(count) => pieces.push(Piece::Any(count)),
                        Err(_) if name.ends_with('.') => {
                            let port = format!("{:05}", self.ports[name.trim_end_matches('.')]);
                            pieces.extend(port.bytes().map(Piece::Byte));
                        }
                        Err(_) => pieces.extend(self.ports[name].to_be_bytes().map(Piece::Byte)),
                    },
                }
            } else {
                pieces.extend(rest[..length].bytes().map(Piece::Byte));
            }
            rest = &rest[length..];
        }
        pieces
    }

    fn bytes(&self, text: &str) -> Vec<u8> {
        let byte = |piece: Piece| match piece {
            Piece::Byte(byte) => byte,
            _ => panic!("only what is received may be open: {text}"),
        };
        self.pieces(text).into_iter().map(byte).collect()
    }

    fn stream(&mut self, who: &str) -> &mut TcpStream {
        if !self.streams.contains_key(who) {
            let stream = if let Some(engine) = self.engines.get(who.trim_end_matches('+')) {
                engine.next()
            } else {
                let daemon = self.daemon.as_ref().expect("started");
                let door = match who.as_bytes()[0] {
                    b'm' => daemon.mysql,
                    b's' => daemon.store,
                    b'o' => daemon.console,
                    _ => daemon.http,
                };
                TcpStream::connect(door.expect("that door is open")).expect("connected")
            };
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            self.streams.insert(who.into(), stream);
        }
        self.streams.get_mut(who).expect("there now")
    }

    fn receive(&mut self, who: &str, text: &str) {
        let pieces = self.pieces(text);
        let stream = self.stream(who);
        let (mut got, mut held) = (Vec::new(), None);
        let mut byte = |got: &mut Vec<u8>| {
            let mut byte = [0];
            let read = stream.read_exact(&mut byte);
            assert!(read.is_ok(), "{who} waits for {text}, got {}", got.escape_ascii());
            got.push(byte[0]);
            byte[0]
        };
        for piece in pieces {
            match piece {
                Piece::Byte(wanted) => {
                    let met = held.take().unwrap_or_else(|| byte(&mut got));
                    assert_eq!(met, wanted, "{who} wants {text}, got {}", got.escape_ascii());
                }
                Piece::Any(count) => (0..count).for_each(|_| {
                    byte(&mut got);
                }),
                Piece::Digits => {
                    let mut met = byte(&mut got);
                    assert!(met.is_ascii_digit(), "{who} wants {text}, got {}", got.escape_ascii());
                    while met.is_ascii_digit() || met == b'.' {
                        met = byte(&mut got);
                    }
                    held = Some(met);
                }
            }
        }
    }

    fn step(&mut self, step: &str) {
        let (first, rest) = step.split_once(' ').unwrap_or((step, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        match (first, verb) {
            ("start", _) => {
                let parts: Vec<&str> = rest.split(' ').collect();
                let listens = parts.iter().filter(|part| part.starts_with(['e', 'p']) || **part == "consul");
                let named = if parts.contains(&"narrow") { EngineSocket::narrow } else { EngineSocket::new };
                self.engines = listens.map(|id| (id.to_string(), named(id))).collect();
                self.ports = self.engines.iter().map(|(id, e)| (id.clone(), e.address().port())).collect();
                if parts.contains(&"patient") {
                    self.settings.push((r#""connectTimeout":0.25"#, r#""connectTimeout":60"#));
                }
                if parts.contains(&"brief") {
                    self.settings.push((r#""memorySpan":20"#, r#""memorySpan":0.5"#));
                }
                if parts.contains(&"ordered") {
                    self.settings.push((r#""effect":"by_key""#, r#""effect":"by_key","inTurn":true"#));
                }
                if parts.contains(&"teams") {
                    let teams = r#""tenants":[{"name":"north","quotaPerS":50},{"name":"south","quotaPerS":0}],"zones""#;
                    self.settings.push((r#""zones""#, teams));
                }
                if parts.contains(&"few") {
                    self.settings.push((r#""sockets":256"#, r#""sockets":60"#));
                }
                if !self.scripted {
                    self.directory = Some(directory(&self.known()));
                }
                let known = self.known();
                let mut files = Vec::new();
                if parts.contains(&"traced") {
                    files.push(("trace.toml", "requests = true\n".into()));
                }
                if parts.contains(&"mysql") {
                    let address = |(id, a): &(&str, SocketAddr)| format!("{id} = \"{a}\"");
                    let list = known.iter().map(address).collect::<Vec<_>>().join(", ");
                    files.push(("mysql.toml", format!("{MYSQL}addresses = {{ {list} }}\n")));
                }
                if let Some(agent) = self.engines.get("consul") {
                    let agent = agent.address();
                    let text = format!("agent = \"{agent}\"\nservice = \"query\"\nregister = \"gateway\"\n");
                    files.push(("consul.toml", text));
                }
                if parts.contains(&"store") {
                    let peers = self.engines.values().filter(|e| e.id.starts_with('p'));
                    let address = |p: &EngineSocket| format!("{} = \"{}\"", p.id, p.address());
                    let list = peers.map(address).collect::<Vec<_>>().join(", ");
                    // One that has members to watch is none itself.
                    let own =
                        if list.is_empty() { "listen = \"127.0.0.1:0\"\nfolder = \"store\"\n" } else { "" };
                    let text = format!("{own}peers = {{ {list} }}\n");
                    files.push(("store.toml", text));
                }
                let kept = ["memory", "files", "nothing"].into_iter().find(|kept| parts.contains(kept));
                if let Some(kept) = kept {
                    let in_files = if kept == "files" { "files_mb = 8\nfolder = \"bodies\"\n" } else { "" };
                    let share = if kept == "memory" { "" } else { "memory_share = 0" };
                    let classes = format!("[class.load]\n{share}\n[class.lookup]\n{share}\npass = false\n");
                    files.push(("bodies.toml", format!("{BODIES}{in_files}{classes}")));
                }
                let config = self.config();
                let held = parts.contains(&"inherits").then(|| TcpListener::bind("127.0.0.1:0"));
                self.held = held.map(|socket| socket.expect("a port"));
                let stop = parts.iter().find_map(|part| part.strip_prefix("stops@"));
                self.daemon = Some(match stop {
                    None => Daemon::start(&config, &files, self.held.as_ref()),
                    Some(point) => {
                        let first = format!("export DAHLIASPOKE_STOP_AT={point};");
                        Daemon::start_with(&config, &files, &first)
                    }
                });
            }
            ("beside", _) => {
                let held = self.held.as_ref().expect("inherits");
                let beside = self.daemon.as_mut().expect("started").beside(held);
                self.old = self.daemon.replace(beside);
            }
            ("old", _) => {
                std::mem::swap(&mut self.daemon, &mut self.old);
                self.step(rest);
                std::mem::swap(&mut self.daemon, &mut self.old);
            }
            ("stopped", _) => self.daemon.as_ref().expect("started").stopped(),
            ("signal", name) => self.daemon.as_ref().expect("started").signal(name),
            ("crowd", _) => {
                let http = self.daemon.as_ref().and_then(|d| d.http).expect("started");
                for _ in 0..rest.parse().expect("a number") {
                    let mut stream = TcpStream::connect(http).expect("connected");
                    stream.set_read_timeout(Some(PATIENCE)).expect("set");
                    stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("sent");
                    assert!(matches!(stream.read(&mut [0; 256]), Ok(1..)), "not answered");
                    self.crowd.push(stream);
                }
            }
            ("moves", _) => {
                self.former = Some(std::mem::replace(&mut self.names, names()));
                self.daemon.as_ref().expect("started").configure(&self.config());
            }
            ("stalls", _) => self.daemon.as_ref().expect("started").stalls(rest),
            ("spoils", _) => self.daemon.as_ref().expect("started").configure("{"),
            ("again", _) => self.daemon = self.daemon.take().map(Daemon::restart),
            ("counts", _) => self.daemon.as_ref().expect("started").counts(rest),
            ("line", _) => drop(self.daemon.as_ref().expect("started").line(rest)),
            ("exit", code) => {
                let status = self.daemon.as_mut().expect("started").ended();
                assert_eq!(status.code().map(|c| c.to_string()).as_deref(), Some(code));
            }
            ("names", "<") => {
                let (query, from) = query(&self.names);
                // The number of the query is its own affair.
                assert_eq!(query[2..], self.bytes(text), "the query");
                let id = u16::from_be_bytes([query[0], query[1]]);
                self.queries += 1;
                self.ports.insert("q".into(), id);
                self.ports.insert(format!("q{}", self.queries), id);
                self.asker = Some(from);
            }
            ("names" | "former", ">") => {
                let answer = self.bytes(text);
                let from = if first == "names" { Some(&self.names) } else { self.former.as_ref() };
                from.expect("moved").send_to(&answer, self.asker.expect("asked")).expect("sent");
            }
            (who, ">") => {
                let bytes = self.bytes(text);
                self.stream(who).write_all(&bytes).expect("sent");
            }
            (who, "<") => self.receive(who, text),
            (who, "ended") => {
                let read = self.stream(who).read(&mut [0]);
                // A reset is an end as well.
                let ended =
                    read.as_ref().map_or_else(|e| e.kind() != std::io::ErrorKind::WouldBlock, |n| *n == 0);
                assert!(ended, "{who} is still open: {read:?}");
            }
            (who, "shuts") => self.stream(who).shutdown(std::net::Shutdown::Write).expect("it was up"),
            (who, "close" | "next") => drop(self.streams.remove(who)),
            (who, "deaf") => {
                let engine = &self.engines[who];
                // One more connection than the line has places for, and the kernel drops what comes.
                rustix::net::listen(&engine.listener, 0).expect("a shorter line");
                let filler = TcpStream::connect(engine.address()).expect("connected");
                self.fillers.insert(who.into(), filler);
            }
            (who, "hears") => {
                let listener = &self.engines[who].listener;
                rustix::net::listen(listener, 128).expect("a longer line");
                drop((listener.accept().expect("the filler"), self.fillers.remove(who)));
            }
            (who, "up") => drop(self.stream(who).set_nodelay(true)),
            (who, "gone") => {
                self.streams.remove(who);
                self.engines.remove(who);
            }
            _ => panic!("no such step: {step}"),
        }
    }
}

#[rstest]
fn an_exchange_goes_as_recorded(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("readable");
    let joined = text.replace("\n  ", "");
    let mut player = Player {
        daemon: None,
        old: None,
        held: None,
        engines: HashMap::new(),
        ports: HashMap::new(),
        streams: HashMap::new(),
        names: names(),
        scripted: joined.lines().any(|step| step.starts_with("names ") || step == "moves"),
        directory: None,
        former: None,
        crowd: Vec::new(),
        settings: Vec::new(),
        fillers: HashMap::new(),
        asker: None,
        queries: 0,
    };
    for step in joined.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        player.step(step);
    }
}
