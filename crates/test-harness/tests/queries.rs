//! The query auditor detects violations.

use dahliaspoke_test_harness::queries::{EngineBehaviour, QueryAudit, Repeats, StubEngines};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a fake coordinator. It sends each query it receives once to every entry of `engines`, then answers
/// the client with `response`.
fn fake_coordinator(response: &'static str, engines: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut client in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 2048];
            let count = client.read(&mut request).unwrap_or_default();
            let text = String::from_utf8_lossy(&request[..count]).into_owned();
            let id =
                text.split("X-Job-Id: ").nth(1).and_then(|rest| rest.get(..16)).unwrap_or("none").to_string();
            for engine in &engines {
                let mut engine = TcpStream::connect(engine).expect("connected");
                let values = ["GET", &id, "-", "x"].map(|value| format!("${}\r\n{value}\r\n", value.len()));
                engine.write_all(format!("*4\r\n{}", values.concat()).as_bytes()).expect("sent");
                let _ = engine.read(&mut [0; 64]); // the engine records the attempt before it answers or resets
            }
            let _ = client.write_all(response.as_bytes());
        }
    });
    address
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}";
const SERVED_TWICE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"page\":[[]]}";
const REFUSED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

fn verdict(
    response: &'static str,
    repeats: Repeats,
    behaviour: EngineBehaviour,
    sends: usize,
) -> Vec<String> {
    let engines = StubEngines::start(1);
    engines.set_behaviour(0, behaviour);
    let audit = QueryAudit::default();
    audit.send(fake_coordinator(response, vec![engines.list[0].1; sends]), "lookup", repeats, 7);
    audit.verdict(&engines).violations
}

#[test]
fn audit_reports_second_answers_and_repeats_or_rejections_after_a_possible_run() {
    assert!(verdict(SERVED, Repeats::Never, EngineBehaviour::Serve, 1).is_empty());
    assert!(verdict(SERVED, Repeats::Any, EngineBehaviour::Fail, 2).is_empty());
    assert!(verdict(SERVED, Repeats::Never, EngineBehaviour::Full, 2).is_empty());
    assert!(verdict(REFUSED, Repeats::Never, EngineBehaviour::Full, 1).is_empty());
    let assert_violation =
        |wrong: Vec<String>, part: &str| assert!(wrong.iter().any(|w| w.contains(part)), "{part}: {wrong:?}");
    assert_violation(verdict(SERVED_TWICE, Repeats::Any, EngineBehaviour::Serve, 1), "2 answers");
    assert_violation(verdict(SERVED, Repeats::Never, EngineBehaviour::Reset, 2), "may have run 2 times");
    assert_violation(verdict(REFUSED, Repeats::Never, EngineBehaviour::Fail, 1), "was refused");
    assert_violation(verdict("", Repeats::Any, EngineBehaviour::Serve, 1), "0 answers");
}
