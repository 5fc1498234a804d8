//! The load generator on sockets: sends a driver's requests to the HTTP listeners of coordinators. Loopback
//! only, by construction: any other address is rejected before a byte is sent.

mod http;
mod target;

pub use target::{Target, TargetError, TrafficClass};

use crate::load::{Driver, OutgoingTry, Response};
use crate::Micros;
use http::HttpConnection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

/// The answer of a try.
struct Answer {
    at: Instant,
    outgoing: OutgoingTry,
    response: Response,
}

/// Sends a driver's requests until it is done, or until `answer_timeout` after the last send. Each connection
/// has its own thread, which waits for the answer, so that a slow connection does not delay the others.
#[must_use]
pub fn run(mut driver: Driver, target: &Target, answer_timeout: Duration) -> Driver {
    let (answer_sender, answers) = channel::<Answer>();
    let mut workers: HashMap<usize, Sender<OutgoingTry>> = HashMap::new();
    let started = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(started).as_micros() as Micros;
    let mut last_send = started;
    while !driver.is_done() {
        for outgoing in driver.poll(since(Instant::now())) {
            last_send = Instant::now();
            let start = || start_worker(outgoing.connection, target, &answer_sender);
            let worker = workers.entry(outgoing.connection).or_insert_with(start);
            if worker.send(outgoing).is_err() {
                driver.answered(since(Instant::now()), outgoing, Response::Failed);
            }
        }
        let until_next = |at: Micros| Duration::from_micros(at.saturating_sub(since(Instant::now())));
        let next = driver.next().map_or(answer_timeout, until_next);
        match answers.recv_timeout(next.min(answer_timeout)) {
            Ok(answer) => driver.answered(since(answer.at), answer.outgoing, answer.response),
            Err(RecvTimeoutError::Timeout)
                if driver.next().is_none() && last_send.elapsed() > answer_timeout =>
            {
                break;
            }
            Err(_) => {}
        }
        while let Ok(answer) = answers.try_recv() {
            driver.answered(since(answer.at), answer.outgoing, answer.response);
        }
    }
    driver
}

fn start_worker(number: usize, target: &Target, answers: &Sender<Answer>) -> Sender<OutgoingTry> {
    let (sender, sends) = channel::<OutgoingTry>();
    let address = target.address_of(number);
    let (target, answers) = (target.clone(), answers.clone());
    std::thread::spawn(move || {
        let mut connection: Option<HttpConnection> = None;
        for outgoing in sends {
            let response = exchange(&mut connection, address, &target.request_bytes(outgoing));
            if answers.send(Answer { at: Instant::now(), outgoing, response }).is_err() {
                return;
            }
        }
    });
    sender
}

/// Sends a request on a connection, which is opened if there is none, and reads the answer. Keeps the
/// connection if it can be reused.
fn exchange(connection: &mut Option<HttpConnection>, address: SocketAddr, request: &[u8]) -> Response {
    let mut current = connection.take().or_else(|| HttpConnection::open(address));
    let Some(answer) = current.as_mut().and_then(|current| current.exchange(request)) else {
        return Response::Failed;
    };
    *connection = current.filter(|_| answer.keep_alive);
    answer.response
}
