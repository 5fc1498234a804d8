//! The platform's wire protocol between coordinators and engines: commands and answers as arrays of bulk
//! strings (RESP).

use super::lock;
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// Maximum number of values in a command.
const MAX_VALUES: usize = 4;
/// Maximum length of a value (bytes).
const MAX_VALUE_BYTES: usize = 64 << 20;
/// Maximum length of a line with a count or a length (bytes).
const MAX_HEADER_BYTES: u64 = 20;

/// Writes answers to one connection; shared by several threads.
#[derive(Clone)]
pub(super) struct AnswerWriter(Arc<Mutex<TcpStream>>);

impl AnswerWriter {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(stream)))
    }

    /// Writes the answer to the request with this id.
    pub(super) fn answer(&self, id: &str, status: &str, fields: &str, body: &str) {
        let values = [id, status, fields, body].map(|value| format!("${}\r\n{value}\r\n", value.len()));
        let bytes = format!("*4\r\n{}", values.concat());
        let _ = lock(&self.0).write_all(bytes.as_bytes()); // the coordinator may have disconnected
    }
}

/// Reads a command: an array of up to four bulk strings. `None` if the connection ends or sends anything
/// else.
pub fn read_command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_header(reader, b'*')?;
    if count == 0 || count > MAX_VALUES {
        return None;
    }
    (0..count).map(|_| read_value(reader)).collect()
}

fn read_value(reader: &mut impl BufRead) -> Option<String> {
    let length = read_header(reader, b'$').filter(|length| *length <= MAX_VALUE_BYTES)?;
    let mut value = vec![0; length + 2];
    reader.read_exact(&mut value).ok()?;
    value.truncate(length);
    String::from_utf8(value).ok()
}

fn read_header(reader: &mut impl BufRead, prefix: u8) -> Option<usize> {
    let mut line = Vec::new();
    reader.take(MAX_HEADER_BYTES).read_until(b'\n', &mut line).ok()?;
    let digits = line.strip_prefix(&[prefix])?.strip_suffix(b"\r\n")?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
