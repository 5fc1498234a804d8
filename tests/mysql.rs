//! Tests of the `MySQL` listener, with a client crate on one side and a stand-in engine on the other. The
//! engine speaks `MySQL` and the platform's protocol. No assertion depends on how long something takes.

mod daemon;
use daemon::*;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// A step that an engine can answer with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailingStep {
    /// The login; the engine then closes the connection.
    Login,
    /// The preparation of a statement.
    Preparation,
    /// An execution, after it has begun.
    Execution,
}

/// How an engine responds to executions, and counters of its work.
#[derive(Default)]
struct Behaviour {
    /// Leaves executions unanswered.
    silent: AtomicBool,
    /// Closes the connection instead of answering.
    dies: AtomicBool,
    /// Closes the connection instead of answering, for the next execution only.
    dies_once: AtomicBool,
    /// Answers this step with the error of this code, each time.
    error: Mutex<Option<(FailingStep, u16)>>,
    prepared: AtomicU32,
    executed: AtomicU32,
}

impl Behaviour {
    /// The error packet for a step, if it fails.
    fn error_at(&self, step: FailingStep) -> Option<Vec<u8>> {
        let error = *self.error.lock().expect("not poisoned");
        let (_, code) = error.filter(|(failing, _)| *failing == step)?;
        Some([&[0xff], &code.to_le_bytes()[..], b"#HY000told to fail"].concat())
    }
}

/// An engine with a `MySQL` port and a port for the platform's protocol.
struct Engine {
    id: &'static str,
    mysql: SocketAddr,
    resp: SocketAddr,
    behaviour: Arc<Behaviour>,
}

fn packet(out: &mut Vec<u8>, sequence: u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes()[..3]);
    out.push(sequence);
    out.extend_from_slice(payload);
}

/// Reads a payload, which may span several packets.
fn read_packet(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (mut assembled, mut length) = (Vec::new(), 0xff_ff_ff);
    while length == 0xff_ff_ff {
        let mut header = [0; 4];
        stream.read_exact(&mut header).ok()?;
        length = u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize;
        let start = assembled.len();
        assembled.resize(start + length, 0);
        stream.read_exact(&mut assembled[start..]).ok()?;
    }
    Some(assembled)
}

/// The text of a length-encoded value of an execution. Panics if the value has another length.
fn text_value(value: &[u8]) -> &[u8] {
    let prefix = match value[0] {
        252 => 3,
        253 => 4,
        254 => 9,
        _ => 1,
    };
    let length = value[1..prefix].iter().rev().fold(0, |n, b| n << 8 | usize::from(*b));
    assert_eq!(value.len(), prefix + if prefix == 1 { usize::from(value[0]) } else { length });
    &value[prefix..]
}

const OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];
const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// A column `n` of 64-bit numbers.
fn column() -> Vec<u8> {
    let texts = ["def", "", "", "", "n", ""];
    let mut out: Vec<u8> = texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect();
    out.extend_from_slice(&[0x0c, 63, 0, 20, 0, 0, 0, 8, 0, 0, 0, 0, 0]);
    out
}

/// Serves one `MySQL` session. An execution returns its numeric argument, or the checksum of a text or long
/// argument; a text query returns its own checksum.
fn session(mut stream: TcpStream, behaviour: &Behaviour) -> Option<()> {
    let mut greeting = b"\x0a8.0-stand-in\0\x01\0\0\0aaaaaaaa\0\xff\xff\x2d\x02\0\xff\xff\x15".to_vec();
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(b"bbbbbbbbbbbb\0caching_sha2_password\0");
    let mut out = Vec::new();
    packet(&mut out, 0, &greeting);
    stream.write_all(&out).ok()?;
    read_packet(&mut stream)?;
    out.clear();
    if let Some(error) = behaviour.error_at(FailingStep::Login) {
        packet(&mut out, 2, &error);
        stream.write_all(&out).ok()?;
        return None;
    }
    packet(&mut out, 2, OK);
    stream.write_all(&out).ok()?;
    let mut long_data: Option<Vec<u8>> = None;
    loop {
        let command = read_packet(&mut stream)?;
        out.clear();
        match command[0] {
            0x18 => {
                long_data.get_or_insert_default().extend_from_slice(&command[7..]);
                continue;
            }
            0x03 | 0x17 if behaviour.error_at(FailingStep::Execution).is_some() => {
                behaviour.executed.fetch_add(1, Ordering::SeqCst);
                let error = behaviour.error_at(FailingStep::Execution);
                packet(&mut out, 1, &error.expect("checked above"));
            }
            0x03 => {
                behaviour.executed.fetch_add(1, Ordering::SeqCst);
                let sum = crc32fast::hash(&command[1..]).to_string();
                let row = [&[sum.len() as u8], sum.as_bytes()].concat();
                for (at, payload) in [&[1][..], &column(), EOF, &row, EOF].iter().enumerate() {
                    packet(&mut out, 1 + at as u8, payload);
                }
            }
            0x16 => {
                behaviour.prepared.fetch_add(1, Ordering::SeqCst);
                if let Some(error) = behaviour.error_at(FailingStep::Preparation) {
                    packet(&mut out, 1, &error);
                    stream.write_all(&out).ok()?;
                    continue;
                }
                packet(&mut out, 1, &[0, 5, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0]);
                for (at, payload) in [column(), EOF.to_vec(), column(), EOF.to_vec()].iter().enumerate() {
                    packet(&mut out, 2 + at as u8, payload);
                }
            }
            0x17 => {
                behaviour.executed.fetch_add(1, Ordering::SeqCst);
                if behaviour.silent.load(Ordering::SeqCst) {
                    continue;
                }
                if behaviour.dies.load(Ordering::SeqCst) || behaviour.dies_once.swap(false, Ordering::SeqCst)
                {
                    return None;
                }
                // With one parameter, 14 bytes precede its value.
                let argument = match long_data.take() {
                    Some(value) => u64::from(crc32fast::hash(&value)).to_le_bytes().to_vec(),
                    None if command.len() == 14 + 8 => command[14..].to_vec(),
                    None => u64::from(crc32fast::hash(text_value(&command[14..]))).to_le_bytes().to_vec(),
                };
                let argument = &argument[..];
                let row = [&[0, 0], argument].concat();
                for (at, payload) in [&[1][..], &column(), EOF, &row, EOF].iter().enumerate() {
                    packet(&mut out, 1 + at as u8, payload);
                }
            }
            _ => return None,
        }
        stream.write_all(&out).ok()?;
    }
}

/// Serves a connection of the platform's protocol: each GET is answered with one row.
fn resp(stream: TcpStream, behaviour: &Behaviour) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let count: usize = number(&mut reader)?;
        let mut values = Vec::new();
        for _ in 0..count {
            let mut value = vec![0; number(&mut reader)? + 2];
            reader.read_exact(&mut value).ok()?;
            value.truncate(value.len() - 2);
            values.push(value);
        }
        if values[0] == b"GET" {
            behaviour.executed.fetch_add(1, Ordering::SeqCst);
            let id = String::from_utf8_lossy(&values[1]).into_owned();
            let answer =
                format!("*4\r\n${}\r\n{id}\r\n$4\r\ndata\r\n$7\r\ntotal=1\r\n$6\r\n1\t2\t3\n\r\n", id.len());
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }
}

fn number(reader: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.get(1..)?.trim().parse().ok()
}

fn serve(run: fn(TcpStream, &Behaviour) -> Option<()>, behaviour: &Arc<Behaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let behaviour = behaviour.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let behaviour = behaviour.clone();
            std::thread::spawn(move || run(stream, &behaviour));
        }
    });
    address
}

fn engine(id: &'static str) -> Engine {
    let behaviour = Arc::new(Behaviour::default());
    Engine { id, mysql: serve(session, &behaviour), resp: serve(resp, &behaviour), behaviour }
}

struct Fixture {
    daemon: Daemon,
    names: UdpSocket,
}

/// Double SHA-256 of `secret`.
const HASH: &str = "3881219d087dd9c634373fd33dfa33a2cb6bfc6c520b64b8bb60ef2ceb534ae7";

/// Starts the program with the engines `first`; `mysql.toml` also has the addresses of the engines `later`.
fn fixture(first: &[&Engine], later: &[&Engine]) -> Fixture {
    fixture_with(first, later, &[])
}

fn fixture_with(first: &[&Engine], later: &[&Engine], more: &[(&str, String)]) -> Fixture {
    let names = names();
    let engines = [first, later].concat();
    let known: Vec<_> = first.iter().map(|e| (e.id, e.resp)).collect();
    let addresses =
        engines.iter().map(|e| format!("{} = \"{}\"", e.id, e.mysql)).collect::<Vec<_>>().join(", ");
    let toml = format!(
        r#"listen = "127.0.0.1:0"
        accounts = {{ billing = "{HASH}" }}
        statement = [{{ starts = "select", class = "lookup" }}, {{ starts = "insert", class = "load" }}]
        engine = {{ port = 3306, user = "gateway", addresses = {{ {addresses} }} }}"#
    );
    // If no engines join later, a directory keeps reporting the first ones, so that the lease on the endpoint
    // set does not expire on a slow machine.
    let directory = if later.is_empty() { directory(&known) } else { names.local_addr().expect("bound") };
    let daemon = Daemon::start(&config(&known, directory), &[&[("mysql.toml", toml)], more].concat(), None);
    Fixture { daemon, names }
}

impl Fixture {
    fn session(&self) -> Conn {
        let address = self.daemon.mysql.expect("the MySQL listener is open");
        let opts = OptsBuilder::new()
            .ip_or_hostname(Some(address.ip().to_string()))
            .tcp_port(address.port())
            .prefer_socket(false)
            .user(Some("billing"))
            .pass(Some("secret"));
        Conn::new(opts).expect("a session")
    }

    /// Waits for a directory query and responds with a list of draining and ready engines.
    fn announce(&self, serial: u32, draining: &[&Engine], ready: &[&Engine]) {
        let name = |text: &str| {
            let labels = text.split('.').flat_map(|l| [&[l.len() as u8], l.as_bytes()].concat());
            labels.chain([0]).collect::<Vec<u8>>()
        };
        let record = |owner: &[u8], kind: u16, data: &[u8]| {
            let length = data.len() as u16;
            [owner, &kind.to_be_bytes(), &[0, 1, 0, 0, 0, 0], &length.to_be_bytes(), data].concat()
        };
        let service = name("_back._tcp.pool.lan");
        let engines = draining.iter().map(|e| (1u16, e)).chain(ready.iter().map(|e| (0, e)));
        let (mut first, mut last, mut count) = (Vec::new(), Vec::new(), 0u16);
        for (priority, engine) in engines {
            let target = name(&format!("{}.hall-a.hosts", engine.id));
            let port = engine.resp.port().to_be_bytes();
            first.extend(record(
                &service,
                33,
                &[&priority.to_be_bytes(), &[0, 10][..], &port, &target].concat(),
            ));
            last.extend(record(&target, 1, &[127, 0, 0, 1]));
            last.extend(record(&target, 16, b"\x08kind=std"));
            count += 1;
        }
        let soa = record(&service, 6, &[&[0, 0], &serial.to_be_bytes()[..], &[0; 16]].concat());
        let counts = [1, count, 1, 2 * count].map(u16::to_be_bytes).concat();
        let (query, asker) = query(&self.names);
        let (id, question) = (&query[..2], &query[12..]);
        let answer = [id, &[0x84, 0], counts.as_slice(), question, &first, &soa, &last].concat();
        self.names.send_to(&answer, asker).expect("sent");
    }

    /// The counters of the program, requested with SIGUSR1.
    fn counters(&self) -> std::collections::BTreeMap<String, u64> {
        self.daemon.signal("USR1");
        let line = self.daemon.line("counters");
        let pairs = line.split(' ').filter_map(|field| field.split_once('='));
        pairs.map(|(name, value)| (name.into(), value.parse().expect("a count"))).collect()
    }
}

fn code(result: mysql::Result<Option<u64>>) -> (u16, String, String) {
    match result.expect_err("an error") {
        mysql::Error::MySqlError(e) => (e.code, e.state, e.message),
        other => panic!("expected an error from the server: {other}"),
    }
}

#[test]
fn each_execution_has_one_answer_when_an_engine_drains_mid_session() {
    let (one, two) = (engine("e1"), engine("e2"));
    let fixture = fixture(&[&one], &[&two]);
    let mut session = fixture.session();
    let statement = session.prep("SELECT n FROM sales_17.orders WHERE n = ?").expect("prepared");
    for n in 0..20u64 {
        assert_eq!(session.exec_first(&statement, (n,)).expect("served"), Some(n));
    }
    assert_eq!(
        (one.behaviour.prepared.load(Ordering::SeqCst), one.behaviour.executed.load(Ordering::SeqCst)),
        (1, 20)
    );
    fixture.announce(2, &[&one], &[&two]);
    fixture.daemon.line("engine e1 is Draining");
    for n in 20..40u64 {
        assert_eq!(session.exec_first(&statement, (n,)).expect("served elsewhere"), Some(n));
    }
    assert_eq!(
        (two.behaviour.prepared.load(Ordering::SeqCst), two.behaviour.executed.load(Ordering::SeqCst)),
        (1, 20)
    );
    assert_eq!(one.behaviour.executed.load(Ordering::SeqCst), 20);
    // Both drain: nothing can run, and the rejection says when to retry.
    fixture.announce(3, &[&one, &two], &[]);
    fixture.daemon.line("engine e2 is Draining");
    let (number, state, message) = code(session.exec_first(&statement, (99u64,)));
    assert_eq!((number, state.as_str()), (3168, "HY000"));
    assert!(message.contains("retry after "), "{message}");
    let counters = fixture.counters();
    let answers = counters["served"] + counters["refused"] + counters["failed"];
    assert_eq!((counters["taken"], answers), (41, 41), "one answer each");
    assert_eq!(counters["served"], 40);
}

#[test]
fn a_session_moves_to_the_other_engine_when_its_own_dies() {
    let (one, two) = (engine("e1"), engine("e2"));
    let fixture = fixture(&[&one, &two], &[]);
    let mut session = fixture.session();
    let statement = session.prep("SELECT n FROM sales_17.orders WHERE n = ?").expect("prepared");
    one.behaviour.dies.store(true, Ordering::SeqCst);
    for n in 0..30u64 {
        assert_eq!(session.exec_first(&statement, (n,)).expect("served by the other"), Some(n));
    }
    let counters = fixture.counters();
    assert_eq!((counters["taken"], counters["served"]), (30, 30));
    assert_eq!(counters["reset"], u64::from(one.behaviour.executed.load(Ordering::SeqCst)));
    assert!(two.behaviour.executed.load(Ordering::SeqCst) >= 30);
    // A load without a key may have run on the engine that died: it fails and is not retried.
    two.behaviour.dies.store(true, Ordering::SeqCst);
    let before =
        one.behaviour.executed.load(Ordering::SeqCst) + two.behaviour.executed.load(Ordering::SeqCst);
    let load = session.prep("INSERT INTO sales_17.orders SELECT ?").expect("prepared");
    let (number, state, _) = code(session.exec_first(&load, (1u64,)));
    assert_eq!((number, state.as_str()), (1317, "70100"));
    let after = one.behaviour.executed.load(Ordering::SeqCst) + two.behaviour.executed.load(Ordering::SeqCst);
    assert_eq!(after, before + 1);
}

/// Errors that servers also answer logins with: too many connections, a shutdown, limits of an account.
const CAPACITY_ERRORS: [u16; 4] = [1040, 1053, 1203, 1226];

fn executions(engines: &[&Engine]) -> u32 {
    engines.iter().map(|engine| engine.behaviour.executed.load(Ordering::SeqCst)).sum()
}

fn fail_at(engine: &Engine, error: Option<(FailingStep, u16)>) {
    *engine.behaviour.error.lock().expect("not poisoned") = error;
}

/// Guards against a load that runs on two engines because the error that ended it on the first one was taken as proof
/// that it never ran: a server that shuts down ends running statements with 1053.
#[test]
fn a_load_that_ends_with_an_error_is_not_executed_again() {
    let (one, two) = (engine("e1"), engine("e2"));
    let fixture = fixture(&[&one, &two], &[]);
    let mut session = fixture.session();
    let load = session.prep("INSERT INTO sales_17.orders SELECT ?").expect("prepared");
    let lookup = session.prep("SELECT n FROM sales_17.orders WHERE n = ?").expect("prepared");
    // 3168 is also how the listener tells clients that nothing ran.
    for error in CAPACITY_ERRORS.into_iter().chain([3168]) {
        fail_at(&one, Some((FailingStep::Execution, error)));
        fail_at(&two, Some((FailingStep::Execution, error)));
        let before = executions(&[&one, &two]);
        let (number, state, _) = code(session.exec_first(&load, (1u64,)));
        assert_eq!((number, state.as_str()), (1317, "70100"), "{error}");
        let (number, ..) = code(session.query_first("INSERT INTO sales_17.orders SELECT 1"));
        assert_eq!(number, 1317, "{error}");
        assert_eq!(executions(&[&one, &two]), before + 2, "{error}");
        // A query that may be repeated is.
        fail_at(&two, None);
        assert_eq!(session.exec_first(&lookup, (7u64,)).expect("served by the other"), Some(7), "{error}");
    }
}

/// An error before the execution proves that nothing ran: the load is served by the other engine, and runs once.
#[test]
fn a_load_moves_on_after_an_error_before_its_execution() {
    for (step, error) in [FailingStep::Login, FailingStep::Preparation]
        .into_iter()
        .flat_map(|step| CAPACITY_ERRORS.map(|error| (step, error)))
    {
        let (one, two) = (engine("e1"), engine("e2"));
        fail_at(&one, Some((step, error)));
        let fixture = fixture(&[&one, &two], &[]);
        let mut session = fixture.session();
        let load = session.prep("INSERT INTO sales_17.orders SELECT ?").expect("prepared");
        for n in 0..6u64 {
            assert_eq!(
                session.exec_first(&load, (n,)).expect("served by the other"),
                Some(n),
                "{step:?}, {error}"
            );
        }
        assert_eq!(executions(&[&one, &two]), 6, "{step:?}, {error}");
    }
}

#[test]
fn an_unanswered_execution_fails_at_the_deadline_of_its_hint() {
    let one = engine("e1");
    let fixture = fixture(&[&one], &[]);
    one.behaviour.silent.store(true, Ordering::SeqCst);
    let mut session = fixture.session();
    let load = "INSERT /*+ MAX_EXECUTION_TIME(300) */ /* dahliaspoke key=?1 */ INTO sales_17.orders SELECT ?";
    let statement = session.prep(load).expect("prepared");
    let (number, state, _) = code(session.exec_first(&statement, (1u64,)));
    assert_eq!((number, state.as_str()), (3024, "HY000"));
    one.behaviour.silent.store(false, Ordering::SeqCst);
    assert_eq!(session.exec_first(&statement, (5u64,)).expect("served"), Some(5));
}

#[test]
fn mysql_and_http_count_the_same_work_equally() {
    const CALLS: u64 = 60;
    let figures = |by_mysql: bool| {
        let (one, two) = (engine("e1"), engine("e2"));
        let fixture = fixture(&[&one, &two], &[]);
        if by_mysql {
            let mut session = fixture.session();
            let text =
                "SELECT /* dahliaspoke estimate_ms=120 memory_mb=96 */ n FROM sales_17.orders WHERE n = ?";
            let statement = session.prep(text).expect("prepared");
            (0..CALLS)
                .for_each(|n| assert_eq!(session.exec_first(&statement, (n,)).expect("served"), Some(n)));
        } else {
            let mut stream = TcpStream::connect(fixture.daemon.http.expect("open")).expect("connected");
            let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
            for n in 0..CALLS {
                let head =
                    format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {n:016x}\r\nX-Allow-Ms: 3000\r\n");
                let more = "X-Size-Ms: 120\r\nX-Est-Mb: 96\r\nContent-Length: 37\r\n\r\nSELECT n FROM sales_17.orders WHERE 1";
                stream.write_all((head + more).as_bytes()).expect("sent");
                let mut status = String::new();
                reader.read_line(&mut status).expect("an answer");
                assert!(status.contains("200"), "{status}");
                let mut line = String::new();
                while line.trim() != "" || line.is_empty() {
                    line.clear();
                    reader.read_line(&mut line).expect("a field");
                }
                reader.read_exact(&mut [0; 24]).expect("the rows"); // {"page":[["1","2","3"]]}
            }
        }
        let counters = fixture.counters();
        ["taken", "served", "refused", "failed", "withdrawn", "bad", "ok"].map(|name| counters[name])
    };
    assert_eq!(figures(true), figures(false));
}

const MB: usize = 1 << 20;

fn letters(length: usize, seed: usize) -> String {
    (0..length).map(|n| (b'a' + ((n * 7 + n / 251 + seed) % 26) as u8) as char).collect()
}

fn sum(text: &str) -> u64 {
    u64::from(crc32fast::hash(text.as_bytes()))
}

/// Configures a body store in memory, optionally with a file tier.
fn body_store_config(files: bool) -> (&'static str, String) {
    let files = if files { "files_mb = 256\nfolder = \"bodies\"\n" } else { "" };
    ("bodies.toml", format!("memory_mb = 64\nlargest_mb = 40\n{files}"))
}

#[test]
fn parameters_and_texts_of_any_size_reach_the_engine_unchanged() {
    for files in [false, true] {
        let one = engine("e1");
        let fixture = fixture_with(&[&one], &[], &[body_store_config(files)]);
        let mut session = fixture.session();
        let statement =
            session.prep("INSERT /* dahliaspoke key=k1 */ INTO sales_17.orders SELECT ?").expect("prepared");
        for (seed, length) in [100, 200_000, MB, 0xff_ff_ff - 18, 17 * MB, 33 * MB].into_iter().enumerate() {
            let text = letters(length, seed);
            let got: Option<u64> = session.exec_first(&statement, (&text,)).expect("served");
            assert_eq!(got, Some(sum(&text)), "a parameter of {length} bytes, files: {files}");
        }
        for length in [150_000, 0xff_ff_ff - 40, 20 * MB] {
            let text = format!("SELECT '{}' FROM sales_17.orders", letters(length, 3));
            let got: Option<u64> = session.query_first(&text).expect("served");
            assert_eq!(got, Some(sum(&text)), "a text of {length} bytes, files: {files}");
        }
        // The session remains usable.
        assert_eq!(session.query_first("SELECT @@max_allowed_packet").expect("answered"), Some(40 * MB));
        assert_eq!(session.exec_first(&statement, (5u64,)).expect("served"), Some(5u64));
        let counters = fixture.counters();
        assert_eq!((counters["taken"], counters["served"]), (10, 10));
    }
}

#[test]
fn a_long_parameter_is_resent_in_full_after_its_engine_dies() {
    for (files, length) in [(false, MB), (true, 20 * MB)] {
        let (one, two) = (engine("e1"), engine("e2"));
        let fixture = fixture_with(&[&one, &two], &[], &[body_store_config(files)]);
        let mut session = fixture.session();
        let keyed =
            session.prep("INSERT /* dahliaspoke key=k1 */ INTO sales_17.orders SELECT ?").expect("prepared");
        let text = letters(length, 1);
        one.behaviour.dies_once.store(true, Ordering::SeqCst);
        two.behaviour.dies_once.store(true, Ordering::SeqCst);
        let got: Option<u64> = session.exec_first(&keyed, (&text,)).expect("served in the end");
        assert_eq!(got, Some(sum(&text)));
        let executions =
            || one.behaviour.executed.load(Ordering::SeqCst) + two.behaviour.executed.load(Ordering::SeqCst);
        let before = executions();
        assert!(before > 1, "the first engine died");
        // Without a key it fails immediately and is not resent.
        one.behaviour.dies.store(true, Ordering::SeqCst);
        two.behaviour.dies.store(true, Ordering::SeqCst);
        let load = session.prep("INSERT INTO sales_17.orders SELECT ?").expect("prepared");
        let (number, state, _) = code(session.exec_first(&load, (&text,)));
        assert_eq!((number, state.as_str()), (1317, "70100"));
        assert_eq!(executions(), before + 1);
    }
}

#[test]
fn oversized_or_unstorable_parameters_fail_without_affecting_other_requests() {
    let one = engine("e1");
    let small = "memory_mb = 5\nlargest_mb = 2\n[class.load]\nmemory_share = 0.1\n";
    let fixture = fixture_with(&[&one], &[], &[("bodies.toml", small.into())]);
    let mut session = fixture.session();
    let load = session.prep("INSERT INTO sales_17.orders SELECT ?").expect("prepared");
    let (number, _, message) = code(session.exec_first(&load, (letters(MB, 1),)));
    assert_eq!(number, 3168, "{message}");
    assert!(message.contains("retry after"), "{message}");
    assert_eq!(session.exec_first(&load, (7u64,)).expect("the session remains usable"), Some(7u64));
    let select = session.prep("SELECT n FROM sales_17.orders WHERE n = ?").expect("prepared");
    assert!(session.exec_first::<u64, _, _>(&select, (letters(3 * MB, 1),)).is_err());
    let mut session = fixture.session();
    let got: Option<u64> = session.query_first(format!("SELECT '{}'", letters(MB, 2))).expect("served");
    assert!(got.is_some());
    let counters = fixture.counters();
    assert_eq!((counters["served"], counters["failed"]), (2, 0));
}
