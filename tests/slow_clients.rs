//! Hundreds of clients that write slowly, stop half way through a request, prepare as much as they may, or do not read
//! their answers: the process stays within its memory limit, and other clients are served.

mod daemon;
mod raw_mysql;
mod recording_engine;
mod standin;

use daemon::{config_with_directory, Daemon};
use raw_mysql::{command, mysql_toml, read_packet, RawSession, RowsEngine, PREPARE, QUERY};
use recording_engine::{Behaviour, RecordingEngine};
use rstest::rstest;
use standin::Client;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const KB: usize = 1 << 10;
/// The largest head that the listener reads (bytes).
const MAX_HEAD_BYTES: usize = 16 * KB;
/// More clients than the listener accepts at 1,024 descriptors.
const CLIENTS: usize = 480;
/// More sessions than the listener accepts at 1,024 descriptors.
const SESSIONS: usize = 110;
/// Bytes that a slow client writes at a time.
const PIECE_BYTES: usize = 1500;
/// Size of a body that the listener holds in memory at every limit (bytes).
const BODY_BYTES: usize = 16 * KB;

/// How long a session that is not read from tries to send.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);

/// The limits of a coordinator.
#[derive(Clone, Copy)]
struct Machine {
    memory_mb: u64,
    sockets: u64,
}

impl Machine {
    fn config(self, engine: &RecordingEngine) -> String {
        let Self { memory_mb, sockets } = self;
        let limits = format!(r#""limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}}"#);
        config_with_directory(&[("e1", engine.address)]).replacen(r#""limits":{"sockets":256}"#, &limits, 1)
    }

    /// Checks that another client is served, and that these processes together stayed within the limit.
    fn assert_within_limits(self, daemons: &[&Daemon]) {
        let mut client = Client::new(daemons[daemons.len() - 1]);
        client.send(b"GET /_health HTTP/1.1\r\n\r\n").expect("sent");
        assert_eq!(client.answer().0, 200);
        let peak: u64 = daemons.iter().map(|daemon| daemon.memory_peak()).sum();
        println!("{peak} KB of {} MB", self.memory_mb);
        assert!(peak < self.memory_mb * KB as u64, "{peak} KB of {} MB", self.memory_mb);
    }
}

/// The start of a head that consists of very many short fields.
fn head_of_short_fields() -> Vec<u8> {
    let mut head = b"POST /invoke/lookup HTTP/1.1\r\n".to_vec();
    while head.len() < MAX_HEAD_BYTES - 8 {
        head.extend_from_slice(b"a:\r\n");
    }
    head
}

/// A request with a large head, and a body of which the last byte is missing.
fn incomplete_request() -> Vec<u8> {
    let head = "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\nX-Allow-Ms: 3000\r\n";
    let field = format!("A: {}\r\n", "y".repeat(MAX_HEAD_BYTES - 200));
    let length = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
    [head, &field, &length, &"x".repeat(BODY_BYTES - 1)].concat().into_bytes()
}

/// A complete request that its engine leaves unanswered.
fn complete_request(client: usize) -> Vec<u8> {
    let head = format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {client:016x}\r\nX-Allow-Ms: 3000\r\n");
    let length = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
    [head, length, "x".repeat(BODY_BYTES)].concat().into_bytes()
}

/// What each of the clients sends.
#[derive(Clone, Copy)]
enum Load {
    ShortFields,
    IncompleteRequests,
    CompleteRequests,
}

impl Load {
    fn bytes(self, client: usize) -> Vec<u8> {
        match self {
            Load::ShortFields => head_of_short_fields(),
            Load::IncompleteRequests => incomplete_request(),
            Load::CompleteRequests => complete_request(client),
        }
    }
}

/// Writes to all clients at once, piece by piece. The coordinator may close some of them.
fn write_slowly(clients: &mut [TcpStream], load: Load) {
    let all: Vec<Vec<u8>> = (0..clients.len()).map(|client| load.bytes(client)).collect();
    for start in (0..all[0].len()).step_by(PIECE_BYTES) {
        for (client, bytes) in clients.iter_mut().zip(&all) {
            let end = bytes.len().min(start + PIECE_BYTES);
            let _ = client.write_all(&bytes[start.min(end)..end]);
        }
    }
}

fn connect(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| TcpStream::connect(address).expect("connected")).collect()
}

fn silent_engine() -> RecordingEngine {
    let engine = RecordingEngine::start("e1");
    engine.set(Behaviour { is_silent: true, ..Behaviour::default() });
    engine
}

/// Guards against memory that grows with the number of clients and with what each of them may send.
#[rstest]
fn hundreds_of_slow_clients_stay_within_the_memory_limit(
    #[values(Load::ShortFields, Load::IncompleteRequests, Load::CompleteRequests)] load: Load,
    #[values(Machine { memory_mb: 32, sockets: 256 }, Machine { memory_mb: 32, sockets: 1024 },
        Machine { memory_mb: 192, sockets: 1024 })]
    machine: Machine,
) {
    let engine = silent_engine();
    let daemon = Daemon::start(&machine.config(&engine), &[], None);
    let mut clients = connect(daemon.http.expect("it listens"), CLIENTS);
    write_slowly(&mut clients, load);
    machine.assert_within_limits(&[&daemon]);
}

/// The same while two processes of an upgrade share the limit.
#[rstest]
fn hundreds_of_slow_clients_stay_within_the_memory_limit_in_an_upgrade(
    #[values(Load::ShortFields, Load::IncompleteRequests, Load::CompleteRequests)] load: Load,
) {
    let machine = Machine { memory_mb: 32, sockets: 1024 };
    let engine = silent_engine();
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut old = Daemon::start(&machine.config(&engine), &[], Some(&socket));
    let address = old.http.expect("it listens");
    let mut clients = connect(address, CLIENTS / 2);
    write_slowly(&mut clients, load);
    let new = old.beside(&socket);
    old.signal("TERM");
    let mut more_clients = connect(address, CLIENTS / 2);
    write_slowly(&mut more_clients, load);
    machine.assert_within_limits(&[&old, &new]);
}

/// Guards against a connection that is closed for lack of memory although its client has only sent its requests at once:
/// what was read is answered.
#[test]
fn requests_sent_at_once_by_hundreds_of_clients_are_answered() {
    const REQUESTS: usize = 120;
    let machine = Machine { memory_mb: 32, sockets: 1024 };
    let engine = RecordingEngine::start("e1");
    let daemon = Daemon::start(&machine.config(&engine), &[], None);
    let mut clients: Vec<Client> = (0..CLIENTS - 30).map(|_| Client::new(&daemon)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let request = |n: usize| {
            let id = number * REQUESTS + n;
            let head =
                format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 60000\r\n");
            head + "Content-Length: 8\r\n\r\nSELECT 1"
        };
        client.send((0..REQUESTS).map(request).collect::<String>().as_bytes()).expect("sent");
    }
    for client in &mut clients {
        for _ in 0..REQUESTS {
            let (status, keep_alive) = client.answer();
            assert!([200, 503].contains(&status) && keep_alive, "{status}");
        }
    }
    machine.assert_within_limits(&[&daemon]);
}

fn start_with_mysql(machine: Machine, engine: &RecordingEngine, mysql: &RowsEngine) -> Daemon {
    Daemon::start(&machine.config(engine), &[("mysql.toml", mysql_toml("e1", mysql.address))], None)
}

/// Guards against memory that grows with prepared statements: 256 of them, of up to 128 KB, in each of a hundred sessions.
#[rstest]
fn prepared_statements_stay_within_the_memory_limit(
    #[values(Machine { memory_mb: 32, sockets: 256 }, Machine { memory_mb: 32, sockets: 1024 },
        Machine { memory_mb: 192, sockets: 1024 })]
    machine: Machine,
) {
    const STATEMENTS: usize = 256;
    const OUT_OF_RESOURCES: u16 = 1041;
    let (engine, mysql) = (silent_engine(), RowsEngine::start(1));
    let daemon = start_with_mysql(machine, &engine, &mysql);
    let mut refused = 0;
    let mut sessions = Vec::new();
    for _ in 0..SESSIONS / 5 {
        let mut session = RawSession::connect(&daemon);
        for number in 0..STATEMENTS {
            let text = format!("SELECT {number} {}", "x".repeat(BODY_BYTES - 100));
            session.send(&command(PREPARE, text.as_bytes())).expect("sent");
            let answer = read_packet(&mut session.0).expect("an answer");
            if answer[0] == 0xff {
                assert_eq!(u16::from_le_bytes([answer[1], answer[2]]), OUT_OF_RESOURCES);
                refused += 1;
                break;
            }
        }
        sessions.push(session);
    }
    assert!(refused > 0, "all sessions could prepare all statements");
    machine.assert_within_limits(&[&daemon]);
    // What a session held is free for others once it has ended.
    drop(sessions);
    let mut session = RawSession::connect(&daemon);
    daemon::wait_for("memory for a statement", || {
        session.send(&command(PREPARE, b"SELECT day FROM sales_17.orders")).expect("sent");
        (read_packet(&mut session.0).expect("an answer")[0] == 0).then_some(())
    });
}

/// Guards against memory that grows with commands that are not complete, and with answers that are not read.
#[rstest]
fn hundreds_of_slow_sessions_stay_within_the_memory_limit(
    #[values(Machine { memory_mb: 32, sockets: 256 }, Machine { memory_mb: 32, sockets: 1024 },
        Machine { memory_mb: 192, sockets: 1024 })]
    machine: Machine,
) {
    let (engine, mysql) = (silent_engine(), RowsEngine::start(7000));
    let daemon = start_with_mysql(machine, &engine, &mysql);
    let many_parameters = format!("SELECT {}1", "?,".repeat(8000));
    let incomplete = command(QUERY, &vec![b'x'; BODY_BYTES - 1]);
    let mut sessions = Vec::new();
    for _ in 0..(machine.sockets as usize / 10) {
        let mut session = RawSession::connect(&daemon);
        // The coordinator may close some of the sessions, and reads from none that does not read its answers.
        session.0.get_ref().set_write_timeout(Some(WRITE_TIMEOUT)).expect("set");
        let prepares = std::iter::repeat_n(command(PREPARE, many_parameters.as_bytes()), 4);
        let queries = std::iter::repeat_n(command(QUERY, b"SELECT day FROM sales_17.orders"), 20);
        let rest = incomplete[..incomplete.len() - 1].to_vec();
        let _ = prepares.chain(queries).chain([rest]).try_for_each(|bytes| session.send(&bytes));
        sessions.push(session);
    }
    machine.assert_within_limits(&[&daemon]);
}
