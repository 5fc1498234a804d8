//! The client's side of HTTP/1.1, as much as Consul's API needs.

use crate::limits::Limits;

/// The bytes are no answer, or one that is too large.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// An answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// `X-ConsulDiscovery-Index`.
    pub index: Option<u64>,
    pub body: Vec<u8>,
}

/// A call, encoded.
pub fn call(method: &str, path: &str, host: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The answer at the start of the input and the bytes it took, once all of it is here.
pub fn read(input: &[u8], limits: &Limits) -> Result<Option<(Reply, usize)>, Malformed> {
    let searched = &input[..input.len().min(limits.http.max_head_bytes)];
    let Some(end) = searched.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if input.len() >= limits.http.max_head_bytes { Err(Malformed) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&input[..end]).map_err(|_| Malformed)?;
    let mut lines = head.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 ")).ok_or(Malformed)?;
    let status = first.get(..3).and_then(|s| s.parse().ok()).ok_or(Malformed)?;
    let (mut index, mut length, mut chunked) = (None, 0, false);
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "x-consul-index" => index = value.parse().ok(),
            "content-length" => length = value.parse().map_err(|_| Malformed)?,
            "transfer-encoding" => chunked = value.eq_ignore_ascii_case("chunked"),
            _ => {}
        }
    }
    let rest = &input[end + 4..];
    let body = if chunked {
        chunks(rest, limits.discovery.max_consul_answer_bytes)?
    } else {
        plain(rest, length, limits.discovery.max_consul_answer_bytes)?
    };
    Ok(body.map(|(body, taken)| (Reply { status, index, body }, end + 4 + taken)))
}

type Body = Option<(Vec<u8>, usize)>;

fn plain(rest: &[u8], length: usize, most: usize) -> Result<Body, Malformed> {
    if length > most {
        return Err(Malformed);
    }
    Ok(rest.get(..length).map(|body| (body.to_vec(), length)))
}

/// A body in chunks, each behind its length in hex; an empty one ends it.
fn chunks(rest: &[u8], most: usize) -> Result<Body, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line = &rest[at..rest.len().min(at + 16)];
        let Some(end) = line.windows(2).position(|w| w == b"\r\n") else {
            return if line.len() == 16 { Err(Malformed) } else { Ok(None) };
        };
        let digits = std::str::from_utf8(&line[..end]).map_err(|_| Malformed)?;
        let length = usize::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        if body.len() + length > most {
            return Err(Malformed);
        }
        at += end + 2;
        let Some(chunk) = rest.get(at..at + length + 2) else { return Ok(None) };
        let Some(chunk) = chunk.strip_suffix(b"\r\n") else { return Err(Malformed) };
        body.extend_from_slice(chunk);
        at += length + 2;
        if length == 0 {
            return Ok(Some((body, at)));
        }
    }
}
