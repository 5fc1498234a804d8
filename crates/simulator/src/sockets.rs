//! The load tool on sockets: the driver's orders to a coordinator's HTTP door. Loopback only, by construction: any
//! other address is refused before a byte goes out.

use crate::load::{Driver, Ending, Manner, Mode, Order};
use crate::Micros;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

/// One class of what is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Its name, the last part of the path.
    pub class: String,
    /// Its part of the requests, against the others.
    pub share: f64,
    /// How long a client waits (ms).
    pub allow_ms: u64,
    /// What it is told of the work (ms).
    pub size_ms: f64,
    /// It carries an idempotency key.
    pub keyed: bool,
}

/// Where to, and what.
#[derive(Clone, Debug)]
pub struct Target {
    to: Vec<SocketAddr>,
    parts: Vec<Part>,
    seed: u64,
}

impl Target {
    /// Coordinators by their clients' addresses; requests go to them in turn.
    ///
    /// # Errors
    /// Where an address is not on loopback, or there is none, or no class.
    pub fn new(to: Vec<SocketAddr>, parts: Vec<Part>, seed: u64) -> Result<Self, String> {
        if let Some(other) = to.iter().find(|address| !address.ip().is_loopback()) {
            return Err(format!("{other} is not on loopback, and nothing is sent there"));
        }
        if to.is_empty() || parts.is_empty() {
            return Err("there is nobody to send to, or nothing to send".into());
        }
        Ok(Self { to, parts, seed })
    }

    /// Names of the classes.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.parts.iter().map(|part| part.class.clone()).collect()
    }

    /// The class of a request, by position.
    #[must_use]
    pub fn class_of(&self, request: usize) -> usize {
        let all: f64 = self.parts.iter().map(|p| p.share).sum();
        let mut at = (mix(self.seed ^ request as u64) >> 11) as f64 / (1u64 << 53) as f64 * all;
        let part = self.parts.iter().position(|part| {
            at -= part.share;
            at < 0.0
        });
        part.unwrap_or_default()
    }

    /// A driver for that schedule which counts by class.
    #[must_use]
    pub fn driver(&self, points: &[Micros], mode: Mode, manner: Manner, connections: usize) -> Driver {
        let of = (0..points.len()).map(|request| self.class_of(request)).collect();
        Driver::new(points, mode, manner, connections).by_class(self.names(), of)
    }

    /// The bytes of a try: its id is new, its key that of the request.
    fn call(&self, order: Order) -> Vec<u8> {
        let draw = mix(self.seed ^ order.request as u64);
        let part = &self.parts[self.class_of(order.request)];
        let group = mix(draw) % 16;
        let verb = if part.keyed { "INSERT INTO" } else { "SELECT n FROM" };
        let body = format!("{verb} sales_{group}.orders /* {} */", order.request);
        let id = mix(self.seed.wrapping_add(order.request as u64) ^ u64::from(order.again) << 48);
        let mut head = format!(
            "POST /invoke/{} HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: {}\r\nX-Size-Ms: {}\r\n",
            part.class, part.allow_ms, part.size_ms
        );
        if part.keyed {
            head += &format!("X-Unique: {:016x}{:016x}\r\n", draw, order.request);
        }
        if order.again > 0 {
            head += "X-Again: 1\r\n";
        }
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

/// `SplitMix64`'s step: numbers that look drawn, from one that counts.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// An answer that has come, and when.
type Come = (Instant, Order, Ending);

/// Carries out a driver's orders until it is over, or this long after its last (s). Each connection has a thread
/// that does nothing but wait for its answer, so that one that is slow holds up no other.
#[must_use]
pub fn run(mut driver: Driver, target: &Target, patience: Duration) -> Driver {
    let (tell, come) = channel::<Come>();
    let mut workers: HashMap<usize, Sender<Order>> = HashMap::new();
    let began = Instant::now();
    let since = |at: Instant| at.saturating_duration_since(began).as_micros() as Micros;
    let mut last = began;
    while !driver.is_over() {
        for order in driver.poll(since(Instant::now())) {
            last = Instant::now();
            let worker =
                workers.entry(order.connection).or_insert_with(|| worker(order.connection, target, &tell));
            if worker.send(order).is_err() {
                driver.answered(since(Instant::now()), order, Ending::Failed);
            }
        }
        let next = driver
            .next()
            .map_or(patience, |at| Duration::from_micros(at.saturating_sub(since(Instant::now()))));
        match come.recv_timeout(next.min(patience)) {
            Ok((at, order, ending)) => driver.answered(since(at), order, ending),
            Err(RecvTimeoutError::Timeout) if driver.next().is_none() && last.elapsed() > patience => break,
            Err(_) => {}
        }
        while let Ok((at, order, ending)) = come.try_recv() {
            driver.answered(since(at), order, ending);
        }
    }
    driver
}

fn worker(number: usize, target: &Target, tell: &Sender<Come>) -> Sender<Order> {
    let (orders, given) = channel::<Order>();
    let (to, target, tell) = (target.to[number % target.to.len()], target.clone(), tell.clone());
    std::thread::spawn(move || {
        let mut held: Option<BufReader<TcpStream>> = None;
        for order in given {
            let mut stream = held.take().or_else(|| connect(to));
            let answer = stream.as_mut().and_then(|stream| ask(stream, &target.call(order)));
            let (ending, stays) = answer.unwrap_or((Ending::Failed, false));
            held = stream.filter(|_| stays);
            if tell.send((Instant::now(), order, ending)).is_err() {
                return;
            }
        }
    });
    orders
}

fn connect(to: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a call and reads its answer: how it ended, and whether the connection goes on.
fn ask(stream: &mut BufReader<TcpStream>, call: &[u8]) -> Option<(Ending, bool)> {
    stream.get_mut().write_all(call).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    let status: u16 = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut stays, mut wait) = (0, true, None);
    loop {
        line.clear();
        stream.read_line(&mut line).ok()?;
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", value)) => length = value.parse().ok()?,
            Some(("Connection", "close")) => stays = false,
            Some(("X-Wait-Ms", value)) => wait = value.parse::<f64>().ok().map(|ms| (ms * 1000.0) as Micros),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let ending = match status {
        200 => Ending::Served,
        429 | 503 => Ending::Refused(wait),
        _ => Ending::Failed,
    };
    Some((ending, stays))
}
