//! The auditor of queries sees what is wrong.

use dahliaspoke_test_harness::queries::{EngineBehaviour, QueryAudit, Repeats, StubEngines};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A door that says this to each client, once it has heard something, and sends what it heard to engines so often.
fn door(says: &'static str, engines: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut client in listener.incoming().map_while(Result::ok) {
            let mut call = [0; 2048];
            let count = client.read(&mut call).unwrap_or_default();
            let text = String::from_utf8_lossy(&call[..count]).into_owned();
            let id =
                text.split("X-Job-Id: ").nth(1).and_then(|rest| rest.get(..16)).unwrap_or("none").to_string();
            for engine in &engines {
                let mut engine = TcpStream::connect(engine).expect("it listens");
                let words = ["GET", &id, "-", "x"].map(|word| format!("${}\r\n{word}\r\n", word.len()));
                engine.write_all(format!("*4\r\n{}", words.concat()).as_bytes()).expect("sent");
                let _ = engine.read(&mut [0; 64]); // it has it once it answers or resets
            }
            let _ = client.write_all(says.as_bytes());
        }
    });
    address
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}";
const TWICE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}";
const REFUSED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

fn verdict(says: &'static str, repeats: Repeats, behaviour: EngineBehaviour, sends: usize) -> Vec<String> {
    let engines = StubEngines::start(1);
    engines.set_behaviour(0, behaviour);
    let audit = QueryAudit::default();
    audit.send(door(says, vec![engines.list[0].1; sends]), "lookup", repeats, 7);
    audit.verdict(&engines).violations
}

#[test]
fn a_second_answer_a_repeat_and_a_refusal_of_what_may_have_run_are_seen() {
    assert!(verdict(SERVED, Repeats::Never, EngineBehaviour::Serve, 1).is_empty());
    assert!(verdict(SERVED, Repeats::Any, EngineBehaviour::Fail, 2).is_empty());
    assert!(verdict(SERVED, Repeats::Never, EngineBehaviour::Full, 2).is_empty());
    assert!(verdict(REFUSED, Repeats::Never, EngineBehaviour::Full, 1).is_empty());
    let seen =
        |wrong: Vec<String>, what: &str| assert!(wrong.iter().any(|w| w.contains(what)), "{what}: {wrong:?}");
    seen(verdict(TWICE, Repeats::Any, EngineBehaviour::Serve, 1), "2 answers");
    seen(verdict(SERVED, Repeats::Never, EngineBehaviour::Reset, 2), "may have run 2 times");
    seen(verdict(REFUSED, Repeats::Never, EngineBehaviour::Fail, 1), "was refused");
    seen(verdict("", Repeats::Any, EngineBehaviour::Serve, 1), "0 answers");
}
