//! The load generator on sockets: carries out what a driver decides against the HTTP listeners of coordinators. Loopback
//! only, by construction: any other address is refused before a byte is sent.

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

/// Carries out what a driver decides until it is over, or until this long after the last send. Each connection has a
/// thread that does nothing but wait for its answer, so that one that is slow delays no other.
#[must_use]
pub fn run(mut driver: Driver, target: &Target, patience: Duration) -> Driver {
    let (answer_sender, answers) = channel::<Answer>();
    let mut workers: HashMap<usize, Sender<OutgoingTry>> = HashMap::new();
    let began = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(began).as_micros() as Micros;
    let mut last_send = began;
    while !driver.is_over() {
        for outgoing in driver.poll(since(Instant::now())) {
            last_send = Instant::now();
            let start = || start_worker(outgoing.connection, target, &answer_sender);
            let worker = workers.entry(outgoing.connection).or_insert_with(start);
            if worker.send(outgoing).is_err() {
                driver.answered(since(Instant::now()), outgoing, Response::Failed);
            }
        }
        let until_next = |at: Micros| Duration::from_micros(at.saturating_sub(since(Instant::now())));
        let next = driver.next().map_or(patience, until_next);
        match answers.recv_timeout(next.min(patience)) {
            Ok(answer) => driver.answered(since(answer.at), answer.outgoing, answer.response),
            Err(RecvTimeoutError::Timeout) if driver.next().is_none() && last_send.elapsed() > patience => {
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

/// Sends a request on a connection, a new one if there is none, and reads the answer. The connection stays if it may.
fn exchange(connection: &mut Option<HttpConnection>, address: SocketAddr, request: &[u8]) -> Response {
    let mut present = connection.take().or_else(|| HttpConnection::open(address));
    let Some(answer) = present.as_mut().and_then(|present| present.exchange(request)) else {
        return Response::Failed;
    };
    *connection = present.filter(|_| answer.keep_alive);
    answer.response
}
