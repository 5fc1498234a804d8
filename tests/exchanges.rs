//! Replays the recorded byte exchanges in `tests/exchanges` against the program. Each line is a step:
//!
//! - `start e1 e2`: starts the program with these engines in its list. Further words are options: `mysql`,
//!   `consul` and `store` enable these features; `memory`, `files` or `nothing` selects the tier that stores
//!   bodies over 10 bytes; `inherits` passes it its listening socket; `patient` raises the connect timeout to
//!   60 s, longer than any step waits; `brief` shortens the dedup window to 0.5 s; `traced` logs each step of
//!   a request; `narrow` limits the data that a connection to an engine buffers unread to some KB; `few`
//!   leaves it one connection to engines; `ordered` sends loads with the same key one after another; `settles`
//!   pauses their key for 3 s after a load that may still be running; `teams`
//!   configures two tenants, north, and south with a quota of 0;
//! - `again`: starts the program again in the same folder, and kills it before if it still runs; `beside`:
//!   starts a second process in the same folder, on the same socket; the first is `old` from then on, as in
//!   `old signal TERM`;
//! - `a > bytes`, `a < bytes`: client `a` of the HTTP listener sends these bytes, or receives exactly these.
//!   `m...` is a client of the `MySQL` listener, `e...` an engine, `names` the directory, `consul` the Consul
//!   agent, `p...` a store member that the program watches, `s...` a connection to its store listener, `o...`
//!   one to its console listener;
//! - `e1+`: another connection to this engine, beside the first;
//! - `start e1 stops@client.overdue`: the program suspends itself when it first reaches this failpoint;
//!   `stopped` waits until it has;
//! - `counts sends=1`: requests the counters with SIGUSR1 until they contain this;
//! - `signal STOP`: suspends the program until `signal CONT`;
//! - `a ended`: waits until the connection of `a` was closed or reset by the program; `a close`: closes it;
//!   `a shuts`: shuts down its sending side and can still receive; `e1 next`: continues with the next
//!   connection to the engine;
//! - `e1 gone`: closes the listening socket of the engine; `e1 deaf`: connections to it are not established;
//!   `e1 hears`: they are again, and pending ones within a second; `e1 up`: accepts the next connection to
//!   the engine, which stays open;
//! - `crowd 200`: this many clients request the health and stay connected; `moves`: the directory gets
//!   another address and the configuration names it; `former` is the directory at the previous address;
//!   `spoils`: makes the configuration invalid;
//! - `stalls maintenance.json`: opening this file blocks;
//! - `signal USR1`: sends a signal; `line text`: waits for a line with this text on standard output;
//!   `exit 0`: waits until the program exits with this status.
//!
//! In bytes, `\r`, `\n`, `\t`, `\\` and `\x00` are escapes. `<n>` stands for a decimal number, `<8>` for any
//! eight bytes, `<9*x>` for nine repetitions of the text `x`, `<e1>` for the port of this engine as two
//! bytes, `<e1.>` for the port as five digits, `<q>` for the id of the last query to the directory, and
//! `<q2>` for the id of the query received by the second step `names <`. A line that starts with two spaces
//! continues the previous one.

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

/// Bodies over 10 bytes go through the body store.
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
    /// The listening socket that the program inherits.
    retained: Option<TcpListener>,
    engines: HashMap<String, EngineSocket>,
    ports: HashMap<String, u16>,
    streams: HashMap<String, TcpStream>,
    names: std::net::UdpSocket,
    /// Whether the exchange has steps for the directory, which then sends only what they specify.
    scripted_directory: bool,
    /// Otherwise, the address of a directory that keeps listing the engines of the `start` step.
    directory: Option<SocketAddr>,
    /// The socket of the directory before it moved.
    former: Option<std::net::UdpSocket>,
    crowd: Vec<TcpStream>,
    /// Text replacements in the configuration.
    settings: Vec<(&'static str, &'static str)>,
    /// Connections that fill the accept queues of engines that are `deaf`.
    fillers: HashMap<String, TcpStream>,
    querier: Option<SocketAddr>,
    /// Number of `names <` steps replayed.
    queries: usize,
}

impl Player {
    /// The engines configured at the start, all but `e9`, which only a list can add.
    fn known(&self) -> Vec<(&str, SocketAddr)> {
        let known = self.engines.values().filter(|e| e.id.starts_with('e') && e.id != "e9");
        known.map(|e| (e.id.as_str(), e.address())).collect()
    }

    fn config(&self) -> String {
        let scripted_directory = || self.names.local_addr().expect("bound");
        let config = config(&self.known(), self.directory.unwrap_or_else(scripted_directory));
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
                        let (count, text) = name.split_once('*').expect("contains `*`");
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
            _ => panic!("wildcards are only possible in bytes to receive: {text}"),
        };
        self.pieces(text).into_iter().map(byte).collect()
    }

    fn stream(&mut self, party: &str) -> &mut TcpStream {
        if !self.streams.contains_key(party) {
            let stream = if let Some(engine) = self.engines.get(party.trim_end_matches('+')) {
                engine.next()
            } else {
                let daemon = self.daemon.as_ref().expect("started");
                let target = match party.as_bytes()[0] {
                    b'm' => daemon.mysql,
                    b's' => daemon.store,
                    b'o' => daemon.console,
                    _ => daemon.http,
                };
                TcpStream::connect(target.expect("this listener is open")).expect("connected")
            };
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            self.streams.insert(party.into(), stream);
        }
        self.streams.get_mut(party).expect("inserted above")
    }

    fn receive(&mut self, party: &str, text: &str) {
        let pieces = self.pieces(text);
        let stream = self.stream(party);
        let (mut got, mut retained) = (Vec::new(), None);
        let mut byte = |got: &mut Vec<u8>| {
            let mut byte = [0];
            let read = stream.read_exact(&mut byte);
            assert!(read.is_ok(), "{party} failed to read {text}, got {}", got.escape_ascii());
            got.push(byte[0]);
            byte[0]
        };
        for piece in pieces {
            match piece {
                Piece::Byte(expected) => {
                    let actual = retained.take().unwrap_or_else(|| byte(&mut got));
                    assert_eq!(actual, expected, "{party} expected {text}, got {}", got.escape_ascii());
                }
                Piece::Any(count) => (0..count).for_each(|_| {
                    byte(&mut got);
                }),
                Piece::Digits => {
                    let mut actual = byte(&mut got);
                    assert!(actual.is_ascii_digit(), "{party} expected {text}, got {}", got.escape_ascii());
                    while actual.is_ascii_digit() || actual == b'.' {
                        actual = byte(&mut got);
                    }
                    retained = Some(actual);
                }
            }
        }
    }

    fn step(&mut self, step: &str) {
        let (first, rest) = step.split_once(' ').unwrap_or((step, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        match (first, verb) {
            ("start", _) => {
                let options: Vec<&str> = rest.split(' ').collect();
                let socket_ids =
                    options.iter().filter(|option| option.starts_with(['e', 'p']) || **option == "consul");
                let new_socket =
                    if options.contains(&"narrow") { EngineSocket::narrow } else { EngineSocket::new };
                self.engines = socket_ids.map(|id| (id.to_string(), new_socket(id))).collect();
                self.ports = self.engines.iter().map(|(id, e)| (id.clone(), e.address().port())).collect();
                if options.contains(&"patient") {
                    self.settings.push((r#""connectTimeout":0.25"#, r#""connectTimeout":60"#));
                }
                if options.contains(&"brief") {
                    self.settings.push((r#""memorySpan":20"#, r#""memorySpan":0.5"#));
                }
                if options.contains(&"ordered") {
                    self.settings.push((r#""effect":"by_key""#, r#""effect":"by_key","inTurn":true"#));
                }
                if options.contains(&"settles") {
                    self.settings.push((r#""drainGrace":1"#, r#""drainGrace":1,"orderSettle":3"#));
                }
                if options.contains(&"teams") {
                    let teams = r#""tenants":[{"name":"north","quotaPerS":50},{"name":"south","quotaPerS":0}],"zones""#;
                    self.settings.push((r#""zones""#, teams));
                }
                if options.contains(&"few") {
                    self.settings.push((r#""sockets":256"#, r#""sockets":60"#));
                }
                if !self.scripted_directory {
                    self.directory = Some(directory(&self.known()));
                }
                let known = self.known();
                let mut files = Vec::new();
                if options.contains(&"traced") {
                    files.push(("trace.toml", "requests = true\n".into()));
                }
                if options.contains(&"mysql") {
                    let address = |(id, a): &(&str, SocketAddr)| format!("{id} = \"{a}\"");
                    let list = known.iter().map(address).collect::<Vec<_>>().join(", ");
                    files.push(("mysql.toml", format!("{MYSQL}addresses = {{ {list} }}\n")));
                }
                if let Some(agent) = self.engines.get("consul") {
                    let agent = agent.address();
                    let text = format!("agent = \"{agent}\"\nservice = \"query\"\nregister = \"gateway\"\n");
                    files.push(("consul.toml", text));
                }
                if options.contains(&"store") {
                    let peers = self.engines.values().filter(|e| e.id.starts_with('p'));
                    let address = |p: &EngineSocket| format!("{} = \"{}\"", p.id, p.address());
                    let list = peers.map(address).collect::<Vec<_>>().join(", ");
                    // A process that watches the members of a store is not itself a member.
                    let own =
                        if list.is_empty() { "listen = \"127.0.0.1:0\"\nfolder = \"store\"\n" } else { "" };
                    let text = format!("{own}peers = {{ {list} }}\n");
                    files.push(("store.toml", text));
                }
                let tier = ["memory", "files", "nothing"].into_iter().find(|tier| options.contains(tier));
                if let Some(tier) = tier {
                    let in_files = if tier == "files" { "files_mb = 8\nfolder = \"bodies\"\n" } else { "" };
                    let share = if tier == "memory" { "" } else { "memory_share = 0" };
                    let classes = format!("[class.load]\n{share}\n[class.lookup]\n{share}\npass = false\n");
                    files.push(("bodies.toml", format!("{BODIES}{in_files}{classes}")));
                }
                let config = self.config();
                let retained = options.contains(&"inherits").then(|| TcpListener::bind("127.0.0.1:0"));
                self.retained = retained.map(|socket| socket.expect("a port"));
                let stop = options.iter().find_map(|option| option.strip_prefix("stops@"));
                self.daemon = Some(match stop {
                    None => Daemon::start(&config, &files, self.retained.as_ref()),
                    Some(point) => {
                        let first = format!("export DAHLIASPOKE_STOP_AT={point};");
                        Daemon::start_with(&config, &files, &first)
                    }
                });
            }
            ("beside", _) => {
                let retained = self.retained.as_ref().expect("inherits");
                let beside = self.daemon.as_mut().expect("started").beside(retained);
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
                // The program chooses the id of the query.
                assert_eq!(query[2..], self.bytes(text), "the query");
                let id = u16::from_be_bytes([query[0], query[1]]);
                self.queries += 1;
                self.ports.insert("q".into(), id);
                self.ports.insert(format!("q{}", self.queries), id);
                self.querier = Some(from);
            }
            ("names" | "former", ">") => {
                let answer = self.bytes(text);
                let from = if first == "names" { Some(&self.names) } else { self.former.as_ref() };
                from.expect("moved").send_to(&answer, self.querier.expect("queried")).expect("sent");
            }
            (party, ">") => {
                let bytes = self.bytes(text);
                self.stream(party).write_all(&bytes).expect("sent");
            }
            (party, "<") => self.receive(party, text),
            (party, "ended") => {
                let read = self.stream(party).read(&mut [0]);
                // A reset ends the connection, too.
                let ended =
                    read.as_ref().map_or_else(|e| e.kind() != std::io::ErrorKind::WouldBlock, |n| *n == 0);
                assert!(ended, "{party} is still open: {read:?}");
            }
            (party, "shuts") => self.stream(party).shutdown(std::net::Shutdown::Write).expect("connected"),
            (party, "close" | "next") => drop(self.streams.remove(party)),
            (party, "deaf") => {
                let engine = &self.engines[party];
                // An accept queue with a backlog of 0 has room for one connection. Once the filler is in it,
                // the kernel drops further connection attempts.
                rustix::net::listen(&engine.listener, 0).expect("the backlog is reduced");
                let filler = TcpStream::connect(engine.address()).expect("connected");
                self.fillers.insert(party.into(), filler);
            }
            (party, "hears") => {
                let listener = &self.engines[party].listener;
                rustix::net::listen(listener, 128).expect("the backlog is restored");
                drop((listener.accept().expect("the filler"), self.fillers.remove(party)));
            }
            (party, "up") => drop(self.stream(party).set_nodelay(true)),
            (party, "gone") => {
                self.streams.remove(party);
                self.engines.remove(party);
            }
            _ => panic!("no such step: {step}"),
        }
    }
}

#[rstest]
fn exchange_matches_its_recording(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("readable");
    let unfolded = text.replace("\n  ", "");
    let mut player = Player {
        daemon: None,
        old: None,
        retained: None,
        engines: HashMap::new(),
        ports: HashMap::new(),
        streams: HashMap::new(),
        names: names(),
        scripted_directory: unfolded.lines().any(|step| step.starts_with("names ") || step == "moves"),
        directory: None,
        former: None,
        crowd: Vec::new(),
        settings: Vec::new(),
        fillers: HashMap::new(),
        querier: None,
        queries: 0,
    };
    for step in unfolded.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        player.step(step);
    }
}
