//! A record load that may not be repeated runs on a MySQL server that is replaced: the server drains, then shuts down as
//! MySQL does, which ends the statement that still runs with error 1053. The load may not run on a second server.

#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Work of one load (ms): 3,400 to 7,000 ms on 2 threads in the brief.
const LOAD_MS: u64 = 4000;
const OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];

fn write_packet(stream: &mut TcpStream, sequence: u8, payload: &[u8]) -> Option<()> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    stream.write_all(&out).ok()
}

fn read_packet(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut payload = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
    stream.read_exact(&mut payload).ok()?;
    Some(payload)
}

fn error(code: u16, state: &str, text: &str) -> Vec<u8> {
    [&[0xff][..], &code.to_le_bytes(), b"#", state.as_bytes(), text.as_bytes()].concat()
}

/// One execution of a load on a server: when it began, and how it ended.
#[derive(Clone, Debug)]
struct Execution {
    server: String,
    key: String,
    end: String,
}

struct Server {
    id: String,
    address: SocketAddr,
    shutting_down: Arc<Mutex<bool>>,
}

/// A MySQL server: accepts every account, prepares statements, and runs each execution for `LOAD_MS`. When it shuts down,
/// it refuses new connections, ends the statements that run with error 1053, and closes the connections.
impl Server {
    fn start(record: &Record, id: &str, executions: &Arc<Mutex<Vec<Execution>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no port"));
        let address = listener.local_addr().unwrap_or_else(|_| could_not_run("no port"));
        let shutting_down = Arc::new(Mutex::new(false));
        let (down, record, id, executions) = (shutting_down.clone(), record.clone(), id.to_string(), executions.clone());
        record.line(&format!("MySQL server {id} listens on {address}"));
        let name = id.clone();
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !*down.lock().unwrap() {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (down, record, name, executions) = (down.clone(), record.clone(), name.clone(), executions.clone());
                thread::spawn(move || serve(stream, &name, &down, &executions, &record));
            }
        });
        Self { id, address, shutting_down }
    }

    fn shut_down(&self, record: &Record) {
        record.line(&format!("{} shuts down", self.id));
        *self.shutting_down.lock().unwrap() = true;
    }
}

fn serve(mut stream: TcpStream, name: &str, down: &Mutex<bool>, executions: &Mutex<Vec<Execution>>, record: &Record) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut greeting = vec![10];
    greeting.extend_from_slice(b"8.0.36\0");
    greeting.extend_from_slice(&[1, 0, 0, 0]);
    greeting.extend_from_slice(b"abcdefgh\0");
    let capabilities: u32 = 1 | 4 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 19;
    greeting.extend_from_slice(&capabilities.to_le_bytes()[..2]);
    greeting.push(45);
    greeting.extend_from_slice(&[2, 0]);
    greeting.extend_from_slice(&capabilities.to_le_bytes()[2..]);
    greeting.push(21);
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(b"ijklmnopqrst\0");
    greeting.extend_from_slice(b"caching_sha2_password\0");
    write_packet(&mut stream, 0, &greeting)?;
    read_packet(&mut stream)?;
    write_packet(&mut stream, 2, OK)?;
    let mut statements: BTreeMap<u32, String> = BTreeMap::new();
    loop {
        let payload = read_packet(&mut stream)?;
        match payload.first()? {
            0x16 => {
                let text = String::from_utf8_lossy(&payload[1..]).into_owned();
                let number = statements.len() as u32 + 1;
                let parameters = text.matches('?').count() as u16;
                statements.insert(number, text);
                let head = [&[0][..], &number.to_le_bytes(), &0u16.to_le_bytes(), &parameters.to_le_bytes(), &[0, 0, 0]].concat();
                write_packet(&mut stream, 1, &head)?;
                for at in 0..parameters {
                    write_packet(&mut stream, 2 + at as u8, &parameter())?;
                }
                if parameters > 0 {
                    write_packet(&mut stream, 2 + parameters as u8, &[0xfe, 0, 0, 2, 0])?;
                }
            }
            0x17 => {
                // The one parameter is a text: its last bytes are the row that the load writes.
                let text = String::from_utf8_lossy(&payload[10..]).into_owned();
                let key: String = text.chars().rev().take_while(char::is_ascii_alphanumeric).collect::<String>().chars().rev().collect();
                let at = {
                    let mut all = executions.lock().unwrap();
                    all.push(Execution { server: name.into(), key: key.clone(), end: "runs".into() });
                    all.len() - 1
                };
                record.line(&format!("{name} begins to run the load {key}"));
                let began = std::time::Instant::now();
                let mut killed = false;
                while began.elapsed() < Duration::from_millis(LOAD_MS) && !killed {
                    sleep_ms(5);
                    killed = *down.lock().unwrap();
                }
                let end = if killed { "ended by the shutdown with 1053, after it had written rows" } else { "ran to its end" };
                executions.lock().unwrap()[at].end = end.into();
                record.line(&format!("{name}: the load {key} {end}"));
                if killed {
                    write_packet(&mut stream, 1, &error(1053, "08S01", "Server shutdown in progress"))?;
                    return None;
                }
                write_packet(&mut stream, 1, &[0, 1, 0, 2, 0, 0, 0])?;
            }
            0x0e => write_packet(&mut stream, 1, OK)?,
            0x19 => {}
            _ => return None,
        }
    }
}

/// The definition of a parameter or column.
fn parameter() -> Vec<u8> {
    let mut out = Vec::new();
    for text in ["def", "", "", "", "?", ""] {
        out.push(text.len() as u8);
        out.extend_from_slice(text.as_bytes());
    }
    out.extend_from_slice(&[0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    out
}

/// A session of a client that prepares the load and executes it once. Returns the answer.
fn run_load(to: SocketAddr, key: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(25))).ok()?;
    read_packet(&mut stream)?;
    let capabilities: u32 = 1 | 4 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 19;
    let mut login = capabilities.to_le_bytes().to_vec();
    login.extend_from_slice(&0x00ff_ffffu32.to_le_bytes());
    login.push(45);
    login.extend_from_slice(&[0; 23]);
    login.extend_from_slice(b"billing\0\0caching_sha2_password\0");
    write_packet(&mut stream, 1, &login)?;
    if read_packet(&mut stream)?.first() != Some(&0) {
        return Some("login denied".into());
    }
    let statement = b"INSERT INTO delivery_7.records SELECT day, state, note FROM staging.batch WHERE batch = ?";
    write_packet(&mut stream, 0, &[&[0x16][..], statement].concat())?;
    let prepared = read_packet(&mut stream)?;
    if prepared.first() != Some(&0) {
        return Some(format!("not prepared: {}", String::from_utf8_lossy(&prepared)));
    }
    for _ in 0..2 {
        read_packet(&mut stream)?;
    }
    let number = &prepared[1..5];
    let execution = [&[0x17][..], number, &[0, 1, 0, 0, 0], &[0, 1, 0xfd, 0], &[key.len() as u8], key.as_bytes()].concat();
    write_packet(&mut stream, 0, &execution)?;
    let answer = read_packet(&mut stream)?;
    Some(match answer.first()? {
        0 => "OK".into(),
        0xff => format!("ERR {} {}", u16::from_le_bytes([answer[1], answer[2]]), String::from_utf8_lossy(&answer[9..])),
        _ => "rows".into(),
    })
}

fn main() {
    let run = Run::open();
    let executions: Arc<Mutex<Vec<Execution>>> = Arc::default();
    let servers: Vec<Server> = (0..3).map(|at| Server::start(&run.record, &format!("e{at}"), &executions)).collect();
    let listed: Vec<Listed> = servers
        .iter()
        .map(|server| Listed { id: server.id.clone(), address: server.address, drains: false, started_ms: 0 })
        .collect();
    let directory = Directory::start(&run.record, "d", 1, &listed);
    let (front, mysql) = (free_address(), free_address());
    let addresses: Vec<String> = servers.iter().map(|server| format!("{} = \"{}\"", server.id, server.address)).collect();
    let file = format!(
        "listen = \"{mysql}\"\n[engine]\nport = 3306\nuser = \"dahliaspoke\"\npassword = \"\"\naddresses = {{ {} }}\n\
         [accounts]\nbilling = \"\"\n[[statement]]\nstarts = \"insert\"\nclass = \"load\"\n\
         [[statement]]\nstarts = \"select\"\nclass = \"lookup\"\n[class.load]\nestimate_ms = 5000\nmemory_mb = 600\n",
        addresses.join(", ")
    );
    let folder = coordinator_folder(&run, "c0", &[("deploy/mysql.toml", file)]);
    // As on the days on which the settings mark a class as unsafe to repeat.
    let text = config("c0", front, None, directory.address, &listed, &settings(2, 0, "once"));
    let _coordinator = Coordinator::start(&run, &folder, "c0", &text, None);
    sleep_ms(500);

    let keys: [&'static str; 3] = ["batch1", "batch2", "batch3"];
    let clients: Vec<_> = keys
        .into_iter()
        .map(|key| {
            let record = run.record.clone();
            sleep_ms(100);
            thread::spawn(move || {
                record.line(&format!("client sends the load {key}"));
                let answer = run_load(mysql, key).unwrap_or_else(|| "no answer".into());
                record.line(&format!("client has the load {key}: {answer}"));
                answer
            })
        })
        .collect();
    let first = wait_for(5.0, || executions.lock().unwrap().first().map(|one| one.server.clone()));
    let Some(first) = first else { could_not_run("no load reaches a server") };
    if run.trouble {
        // The server that runs the first load is replaced: it drains, and leaves 2 s later.
        sleep_ms(300);
        directory.change(|list| list.iter_mut().filter(|one| one.id == first).for_each(|one| one.drains = true));
        run.record.line(&format!("the directory lists {first} as draining"));
        sleep_ms(2000);
        servers.iter().filter(|server| server.id == first).for_each(|server| server.shut_down(&run.record));
        sleep_ms(100);
        directory.change(|list| list.retain(|one| one.id != first));
        run.record.line(&format!("the directory no longer lists {first}"));
    }
    let answers: Vec<String> = clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    sleep_ms(500);
    let mut broken = false;
    for (key, answer) in keys.iter().zip(&answers) {
        let runs: Vec<Execution> = executions.lock().unwrap().iter().filter(|one| one.key == *key).cloned().collect();
        let text: Vec<String> = runs.iter().map(|one| format!("on {}: {}", one.server, one.end)).collect();
        run.record.say(&format!("load {key}, answered {answer}; it began {} times ({})", runs.len(), text.join("; ")));
        broken |= runs.len() > 1;
    }
    if answers.iter().all(|answer| !answer.starts_with("OK")) && !broken {
        could_not_run("no load was served");
    }
    run.finish(broken);
}
