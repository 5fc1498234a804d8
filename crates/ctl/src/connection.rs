//! A connection to one member, which sends requests as RESP arrays and decodes the replies.

use crate::Reply;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum length of a bulk string in a reply (bytes).
const MAX_TEXT_BYTES: i64 = 4 << 20;
/// Maximum number of bulk strings in an array.
const MAX_TEXTS: i64 = 16;
/// Maximum length of a line (bytes). Status lines may be long, but must be bounded.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// The length that denotes the null bulk string.
const NULL_LENGTH: i64 = -1;

/// A line of a reply, without its terminator.
struct Line {
    /// RESP's type byte: the kind of reply.
    type_byte: u8,
    rest: String,
}

/// A connection to a member's store port.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Connects. `timeout` applies to the connect and to each read.
    ///
    /// # Errors
    /// If the member cannot be reached.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Sends a request: a command and its arguments.
    ///
    /// # Errors
    /// If the connection is lost.
    pub fn send(&mut self, arguments: &[&str]) -> io::Result<()> {
        let mut request = format!("*{}\r\n", arguments.len());
        for argument in arguments {
            // Writing to a string does not fail.
            let _ = write!(request, "${}\r\n{argument}\r\n", argument.len());
        }
        self.0.get_mut().write_all(request.as_bytes())
    }

    /// Receives a reply or a watch event.
    ///
    /// # Errors
    /// If the connection is lost, a read times out, or the reply is malformed.
    pub fn receive(&mut self) -> io::Result<Reply> {
        let Line { type_byte, rest } = self.receive_line()?;
        match type_byte {
            b'+' => Ok(Reply::Status(rest)),
            b'-' => {
                let (code, message) = rest.split_once(' ').unwrap_or((&rest, ""));
                Ok(Reply::Error { code: code.into(), message: message.into() })
            }
            b'$' => Ok(Reply::Text(self.receive_text(&rest)?)),
            b'*' => Ok(Reply::Texts(self.receive_array(&rest)?)),
            _ => Err(malformed()),
        }
    }

    /// Sends a request and receives its reply.
    ///
    /// # Errors
    /// Those of [`Self::send`] and [`Self::receive`].
    pub fn request(&mut self, arguments: &[&str]) -> io::Result<Reply> {
        self.send(arguments)?;
        self.receive()
    }

    fn receive_line(&mut self) -> io::Result<Line> {
        let mut line = Vec::new();
        self.0.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
        let text = line.strip_suffix(b"\r\n").ok_or_else(malformed)?;
        let (type_byte, rest) = text.split_first().ok_or_else(malformed)?;
        let rest = String::from_utf8(rest.to_vec()).map_err(|_| malformed())?;
        Ok(Line { type_byte: *type_byte, rest })
    }

    /// Receives the elements of an array, whose count has been received.
    fn receive_array(&mut self, count: &str) -> io::Result<Vec<String>> {
        let count: i64 = count.parse().map_err(|_| malformed())?;
        if !(0..=MAX_TEXTS).contains(&count) {
            return Err(malformed());
        }
        let mut texts = Vec::new();
        for _ in 0..count {
            let Line { type_byte: b'$', rest } = self.receive_line()? else { return Err(malformed()) };
            texts.push(self.receive_text(&rest)?.ok_or_else(malformed)?);
        }
        Ok(texts)
    }

    /// Receives the content of a bulk string, whose length has been received.
    fn receive_text(&mut self, length: &str) -> io::Result<Option<String>> {
        let length: i64 = length.parse().map_err(|_| malformed())?;
        if length == NULL_LENGTH {
            return Ok(None);
        }
        if !(0..=MAX_TEXT_BYTES).contains(&length) {
            return Err(malformed());
        }
        let length = length as usize;
        let mut text = vec![0; length + b"\r\n".len()];
        self.0.read_exact(&mut text)?;
        text.truncate(length);
        String::from_utf8(text).map(Some).map_err(|_| malformed())
    }
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed reply")
}
