//! Links between processes. A [`Relay`] stands between one that connects and one that listens; a [`Datagrams`] does so
//! for UDP. Each direction has faults of its own.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often a thread looks whether the faults have changed.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes that a held direction takes before it takes no more: as a kernel's buffers would.
const HELD: usize = 4 << 20;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// From the one that connects to the one that listens.
    Out,
    /// Back.
    Back,
}

/// How a direction passes bytes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// At once.
    Free,
    /// Bytes are taken and none passed on: a stalled link, or one-way loss. They arrive when it is let go.
    Hold,
    /// Each so much later (ms).
    Delay(u64),
    /// So many bytes a millisecond.
    Trickle(usize),
}

#[derive(Clone, Copy)]
struct Direction {
    pace: Pace,
    /// Reset the connection after so many more bytes.
    reset: Option<u64>,
    /// Shut this direction down.
    shut: bool,
    passed: u64,
    /// Connections that pass something on at this moment.
    passing: usize,
}

struct State {
    to: Option<SocketAddr>,
    cut: bool,
    doubled: bool,
    /// Counts cuts: connections of an earlier life end.
    life: u64,
    ways: [Direction; 2],
}

/// A TCP link. Connections come to [`Relay::address`] and go on to wherever it leads at the time.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts one that leads nowhere yet.
    ///
    /// # Errors
    /// Where there is no port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let way = Direction { pace: Pace::Free, reset: None, shut: false, passed: 0, passing: 0 };
        let state = State { to: None, cut: false, doubled: false, life: 0, ways: [way; 2] };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // One that leads nowhere, or is cut, ends what comes: the nearest to a refusal that a port gives.
                let (to, twice, life) = {
                    let state = lock(&shared);
                    (state.to.filter(|_| !state.cut), state.doubled, state.life)
                };
                let Some(to) = to else { continue };
                let Ok(server) = TcpStream::connect(to) else { continue };
                let second = if twice { TcpStream::connect(to).ok() } else { None };
                let _ = join(client, server, second, life, &shared); // a socket that breaks here ends the two
            }
        });
        Ok(Self { address, state })
    }

    /// Where connections go on to from now on.
    pub fn lead(&self, to: SocketAddr) {
        lock(&self.state).to = Some(to);
    }

    /// Changes a direction's pace. What is said from here on goes by it.
    pub fn pace(&self, way: Way, pace: Pace) {
        lock(&self.state).ways[way as usize].pace = pace;
        self.passed_on();
    }

    /// Waits until nothing is being passed on by the faults before. One that hangs there passes nothing.
    fn passed_on(&self) {
        let began = Instant::now();
        let passing = || lock(&self.state).ways.iter().any(|way| way.passing > 0);
        while passing() && began.elapsed() < Duration::from_millis(200) {
            std::thread::sleep(LOOK / 4);
        }
    }

    /// Ends all connections and lets none come up.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        state.life += 1;
        drop(state);
        self.passed_on();
    }

    /// Resets the connections after so many more bytes in that direction: in the middle of a message.
    pub fn reset_after(&self, way: Way, bytes: u64) {
        lock(&self.state).ways[way as usize].reset = Some(bytes);
    }

    /// Ends the direction of the connections that are open; the other goes on.
    pub fn half_close(&self, way: Way) {
        lock(&self.state).ways[way as usize].shut = true;
    }

    /// Whether connections that come up from now on reach the other side twice: all is said there two times.
    pub fn double(&self, doubled: bool) {
        lock(&self.state).doubled = doubled;
    }

    /// Takes all faults away. What was held is passed on.
    pub fn mend(&self) {
        let mut state = lock(&self.state);
        (state.cut, state.doubled) = (false, false);
        for way in &mut state.ways {
            (way.pace, way.reset, way.shut) = (Pace::Free, None, false);
        }
    }

    /// Bytes passed on in a direction so far.
    #[must_use]
    pub fn passed(&self, way: Way) -> u64 {
        lock(&self.state).ways[way as usize].passed
    }
}

/// Joins two sockets, each direction on a thread.
fn join(
    client: TcpStream,
    server: TcpStream,
    second: Option<TcpStream>,
    life: u64,
    state: &Arc<Mutex<State>>,
) -> io::Result<()> {
    for socket in [&client, &server] {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(LOOK))?;
    }
    if let Some(second) = &second {
        // What the second says is passed over.
        let mut unheard = second.try_clone()?;
        std::thread::spawn(move || io::copy(&mut unheard, &mut io::sink()));
    }
    let (from, to) = (client.try_clone()?, server.try_clone()?);
    let shared = state.clone();
    std::thread::spawn(move || pump(Way::Out, from, to, second, life, &shared));
    let shared = state.clone();
    std::thread::spawn(move || pump(Way::Back, server, client, None, life, &shared));
    Ok(())
}

fn end(socket: &TcpStream, reset: bool) {
    // To connect it to nowhere aborts a connection, whoever else holds the socket. It may have gone.
    if !reset || rustix::net::connect_unspec(socket).is_err() {
        let _ = socket.shutdown(Shutdown::Both);
    }
}

/// Bytes, and when they may go.
type Waiting = std::collections::VecDeque<(Instant, Vec<u8>)>;

/// Passes bytes on until the connection ends.
fn pump(
    way: Way,
    mut from: TcpStream,
    mut to: TcpStream,
    mut second: Option<TcpStream>,
    life: u64,
    state: &Mutex<State>,
) {
    let mut waiting = Waiting::new();
    let (mut held, mut over) = (0, false);
    let mut buffer = vec![0; 16 << 10];
    let reset = loop {
        let (own, alive) = {
            let state = lock(state);
            (state.ways[way as usize], state.life == life)
        };
        if !alive {
            break false;
        }
        if own.shut {
            let _ = to.shutdown(Shutdown::Write);
            lock(state).ways[way as usize].shut = false;
            return;
        }
        let now = Instant::now();
        if over || held >= HELD {
            std::thread::sleep(LOOK);
        } else {
            match from.read(&mut buffer) {
                Ok(0) => over = true,
                Ok(count) => {
                    waiting.push_back((now, buffer[..count].to_vec()));
                    held += count;
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break true,
            }
        }
        let mut most = match own.pace {
            Pace::Free | Pace::Delay(_) => usize::MAX,
            Pace::Hold => 0,
            Pace::Trickle(bytes) => bytes * LOOK.as_millis() as usize,
        };
        let wait = if let Pace::Delay(ms) = own.pace { Duration::from_millis(ms) } else { Duration::ZERO };
        let mut reset = false;
        while let Some((_, bytes)) =
            waiting.front_mut().filter(|(at, _)| most > 0 && !reset && at.elapsed() >= wait)
        {
            let left = {
                // The faults may have changed since they were looked at.
                let mut state = lock(state);
                let alive = state.life == life;
                let present = &mut state.ways[way as usize];
                if !alive || present.shut || present.pace == Pace::Hold {
                    break;
                }
                present.passing += 1;
                present.reset
            };
            let count = bytes.len().min(most).min(left.map_or(usize::MAX, |left| left as usize));
            let piece: Vec<u8> = bytes.drain(..count).collect();
            let done = bytes.is_empty();
            let wrote = to.write_all(&piece);
            {
                let mut state = lock(state);
                let present = &mut state.ways[way as usize];
                present.passing -= 1;
                if wrote.is_ok() {
                    present.passed += count as u64;
                    if left.is_some() {
                        present.reset = present.reset.map(|left| left.saturating_sub(count as u64));
                        reset = present.reset.take_if(|left| *left == 0).is_some();
                    }
                }
            }
            if wrote.is_err() {
                return end(&from, true);
            }
            if second.as_mut().is_some_and(|second| second.write_all(&piece).is_err()) {
                second = None;
            }
            (held, most) = (held - count, most - count);
            if done {
                waiting.pop_front();
            }
        }
        if reset {
            break true;
        }
        if over && waiting.is_empty() {
            let _ = to.shutdown(Shutdown::Write); // the other direction may go on
            return;
        }
    };
    end(&from, reset);
    end(&to, reset);
    if let Some(second) = second {
        end(&second, reset);
    }
}

/// What becomes of datagrams, in parts of 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// Lost.
    pub lost: f64,
    /// Said twice.
    pub doubled: f64,
    /// Held back until the next one has gone.
    pub reordered: f64,
    /// All come so much later (ms).
    pub late_ms: u64,
}

/// A UDP link.
pub struct Datagrams {
    /// Where it listens.
    pub address: SocketAddr,
    weather: Arc<Mutex<[Weather; 2]>>,
}

impl Datagrams {
    /// Starts one that leads there; draws come from the seed.
    ///
    /// # Errors
    /// Where there is no port.
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = socket.local_addr()?;
        let weather = Arc::new(Mutex::new([Weather::default(); 2]));
        let shared = weather.clone();
        std::thread::spawn(move || {
            let mut doors: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut out = Sky::new(seed);
            let mut buffer = vec![0; 64 << 10];
            while let Ok((length, client)) = socket.recv_from(&mut buffer) {
                let door = doors.get(&client).cloned().or_else(|| {
                    // Answers come back to the one that asked.
                    let door = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).ok()?);
                    let (back, heard, shared) = (socket.try_clone().ok()?, door.clone(), shared.clone());
                    let mut sky = Sky::new(seed ^ u64::from(client.port()));
                    std::thread::spawn(move || {
                        let mut buffer = vec![0; 64 << 10];
                        while let Ok((length, _)) = heard.recv_from(&mut buffer) {
                            let weather = lock(&shared)[Way::Back as usize];
                            sky.pass(weather, &buffer[..length], |bytes| {
                                let _ = back.send_to(bytes, client); // it may have gone
                            });
                        }
                    });
                    doors.insert(client, door.clone());
                    Some(door)
                });
                let weather = lock(&shared)[Way::Out as usize];
                out.pass(weather, &buffer[..length], |bytes| {
                    if let Some(door) = &door {
                        let _ = door.send_to(bytes, to); // the directory may have gone
                    }
                });
            }
        });
        Ok(Self { address, weather })
    }

    /// Changes a direction's weather.
    pub fn weather(&self, way: Way, weather: Weather) {
        lock(&self.weather)[way as usize] = weather;
    }
}

/// Draws what becomes of each datagram.
struct Sky {
    rng: Pcg64Mcg,
    back: Option<Vec<u8>>,
}

impl Sky {
    fn new(seed: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed), back: None }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn pass(&mut self, weather: Weather, bytes: &[u8], mut send: impl FnMut(&[u8])) {
        if self.draw() < weather.lost {
            return;
        }
        if weather.late_ms > 0 {
            std::thread::sleep(Duration::from_millis(weather.late_ms));
        }
        if self.draw() < weather.reordered && self.back.is_none() {
            self.back = Some(bytes.to_vec());
            return;
        }
        send(bytes);
        if self.draw() < weather.doubled {
            send(bytes);
        }
        if let Some(late) = self.back.take() {
            send(&late);
        }
    }
}
