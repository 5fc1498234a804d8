//! Calls to a store's door, and calls to whoever leads it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bytes of one text in an answer, and texts of one answer.
const MOST: (i64, i64) = (4 << 20, 16);
/// Pause before another member is asked.
const AGAIN: Duration = Duration::from_millis(100);

/// What a member answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A line without its mark: `OK 17`.
    Line(String),
    /// A line that says why not: its first word, and the rest.
    No(String, String),
    /// A text; `None` where there is none.
    Text(Option<String>),
    /// Several texts.
    Texts(Vec<String>),
}

/// A connection to a member's door.
pub struct Door(BufReader<TcpStream>);

impl Door {
    /// Connects; each answer comes by then or not at all.
    ///
    /// # Errors
    /// Where it cannot be reached.
    pub fn open(address: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Says a call.
    ///
    /// # Errors
    /// Where the connection ends.
    pub fn say(&mut self, words: &[&str]) -> std::io::Result<()> {
        let mut call = format!("*{}\r\n", words.len());
        words.iter().for_each(|word| call += &format!("${}\r\n{word}\r\n", word.len()));
        self.0.get_mut().write_all(call.as_bytes())
    }

    /// Reads an answer, or a line of a watch.
    ///
    /// # Errors
    /// Where the connection ends, nothing comes in time, or what comes is no answer.
    pub fn hear(&mut self) -> std::io::Result<Answer> {
        let (mark, rest) = self.line()?;
        Ok(match mark {
            b'+' => Answer::Line(rest),
            b'-' => {
                let (kind, why) = rest.split_once(' ').unwrap_or((&rest, ""));
                Answer::No(kind.into(), why.into())
            }
            b'$' => Answer::Text(self.text(&rest)?),
            b'*' => {
                let count =
                    rest.parse().ok().filter(|count| (0..=MOST.1).contains(count)).ok_or_else(none)?;
                let text = |_| match self.line()? {
                    (b'$', rest) => self.text(&rest)?.ok_or_else(none),
                    _ => Err(none()),
                };
                Answer::Texts((0..count).map(text).collect::<Result<_, _>>()?)
            }
            _ => return Err(none()),
        })
    }

    fn line(&mut self) -> std::io::Result<(u8, String)> {
        let mut line = Vec::new();
        // A status line may be long, and is bounded all the same.
        self.0.by_ref().take(64 << 10).read_until(b'\n', &mut line)?;
        let text = line.strip_suffix(b"\r\n").ok_or_else(none)?;
        let (mark, rest) = text.split_first().ok_or_else(none)?;
        Ok((*mark, String::from_utf8(rest.to_vec()).map_err(|_| none())?))
    }

    fn text(&mut self, length: &str) -> std::io::Result<Option<String>> {
        let length: i64 = length.parse().map_err(|_| none())?;
        if length == -1 {
            return Ok(None);
        }
        if !(0..=MOST.0).contains(&length) {
            return Err(none());
        }
        let mut value = vec![0; length as usize + 2];
        self.0.read_exact(&mut value)?;
        value.truncate(length as usize);
        String::from_utf8(value).map(Some).map_err(|_| none())
    }
}

fn none() -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, "what came is no answer")
}

/// Why a call was not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// A member said no, and why.
    Refused(String),
    /// Nobody could be reached, or nobody leads. Nothing was done.
    Nobody(String),
    /// It may have been done.
    Unknown(String),
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failed::Refused(why) => write!(f, "{why}"),
            Failed::Nobody(why) => write!(f, "nothing was done: {why}"),
            Failed::Unknown(why) => write!(f, "it may have been done: {why}"),
        }
    }
}

/// Members of one store, asked in turn until the one that leads answers.
pub struct Store {
    members: Vec<SocketAddr>,
    until: Instant,
    turn: usize,
}

impl Store {
    /// These members; calls are given up at that point in time.
    #[must_use]
    pub fn new(members: Vec<SocketAddr>, until: Instant) -> Self {
        Self { members, until, turn: 0 }
    }

    /// Says a call to whoever leads. A change is said again as the same one: it counts once.
    ///
    /// # Errors
    /// Where it was refused, nobody leads, or nobody knows what became of it.
    pub fn call(&mut self, words: &[&str]) -> Result<Answer, Failed> {
        let changes = matches!(words.first(), Some(&("SET" | "CAS" | "DEL")));
        let mut words = words.to_vec();
        let session = draw().to_string();
        if changes {
            words.extend(["SESSION", &session, "1"]);
        }
        let (mut why, mut sent) = ("no member is named".to_string(), false);
        while Instant::now() < self.until && !self.members.is_empty() {
            let member = self.members[self.turn % self.members.len()];
            let left = self.until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            match Door::open(member, left.min(Duration::from_secs(2))) {
                Err(e) => why = format!("{member}: {e}"),
                Ok(mut door) => {
                    let answer = door.say(&words).and_then(|()| door.hear());
                    match answer {
                        Ok(Answer::No(kind, said)) => match kind.as_str() {
                            "LEADER" | "BUSY" | "LOST" => why = format!("{member}: {said}"),
                            "UNKNOWN" => (why, sent) = (format!("{member}: {said}"), true),
                            _ => return Err(Failed::Refused(said)),
                        },
                        Ok(answer) => return Ok(answer),
                        Err(e) => (why, sent) = (format!("{member}: {e}"), true),
                    }
                    // What is no change of the machine's is not the same when it is said again.
                    if sent && !changes && words[0] != "GET" && words[0] != "READ" {
                        return Err(Failed::Unknown(why));
                    }
                }
            }
            self.turn += 1;
            std::thread::sleep(AGAIN.min(self.until.saturating_duration_since(Instant::now())));
        }
        Err(if sent { Failed::Unknown(why) } else { Failed::Nobody(why) })
    }

    /// Asks each member for itself.
    #[must_use]
    pub fn each(&self, words: &[&str]) -> Vec<(SocketAddr, Result<Answer, String>)> {
        let ask = |member: &SocketAddr| {
            let left = self.until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let mut door = Door::open(*member, left.min(Duration::from_secs(2)))?;
            door.say(words)?;
            door.hear()
        };
        self.members.iter().map(|member| (*member, ask(member).map_err(|e| e.to_string()))).collect()
    }
}

/// A number that nobody else has drawn.
fn draw() -> u64 {
    let mut bytes = [0; 8];
    // Without random numbers the clock tells sessions apart.
    if getrandom::fill(&mut bytes).is_err() {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        return since.map_or(1, |since| since.as_nanos() as u64).max(1);
    }
    u64::from_le_bytes(bytes).max(1)
}
