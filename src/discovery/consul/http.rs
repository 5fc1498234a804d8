//! The client side of HTTP/1.1, as far as Consul's API needs it: one request and its response per connection.

use super::error::HttpError;
use crate::limits::Limits;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Digits of a status code.
const STATUS_LENGTH: usize = 3;

/// Maximum bytes of the line with a chunk's length, including its line end.
const MAX_CHUNK_LINE: usize = 16;

/// A response of the agent.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// `X-Consul-Index`: the version of the queried data.
    pub index: Option<u64>,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

/// The decoded head of a response.
struct Head {
    status: u16,
    index: Option<u64>,
    content_length: usize,
    is_chunked: bool,
}

/// Encodes a request.
pub fn encode_request(method: &str, path: &str, host: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Decodes the response at the start of the input; none if it is not complete.
///
/// # Errors
/// If the input is not an HTTP/1.1 response, or exceeds the limits.
pub fn decode_response(input: &[u8], limits: &Limits) -> Result<Option<Response>, HttpError> {
    let max_head = limits.http.max_head_bytes;
    let Some(end) = find(&input[..input.len().min(max_head)], HEAD_END) else {
        return if input.len() >= max_head { Err(HttpError::HeadTooLong) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&input[..end]).map_err(|_| HttpError::HeadNotUtf8)?;
    let Head { status, index, content_length, is_chunked } = decode_head(head)?;
    let rest = &input[end + HEAD_END.len()..];
    let max_body = limits.discovery.max_consul_answer_bytes;
    let body = if is_chunked {
        decode_chunked_body(rest, max_body)?
    } else {
        decode_plain_body(rest, content_length, max_body)?
    };
    Ok(body.map(|body| Response { status, index, body }))
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn decode_head(head: &str) -> Result<Head, HttpError> {
    let mut lines = head.split("\r\n");
    let status_line = lines.next().and_then(|line| line.strip_prefix("HTTP/1.1 "));
    let status = status_line.and_then(|line| line.get(..STATUS_LENGTH)?.parse().ok());
    let status = status.ok_or(HttpError::StatusLine)?;
    let mut decoded = Head { status, index: None, content_length: 0, is_chunked: false };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "x-consul-index" => decoded.index = value.parse().ok(),
            "content-length" => {
                decoded.content_length = value.parse().map_err(|_| HttpError::ContentLength)?;
            }
            "transfer-encoding" => decoded.is_chunked = value.eq_ignore_ascii_case("chunked"),
            _ => {}
        }
    }
    Ok(decoded)
}

fn decode_plain_body(rest: &[u8], length: usize, max_length: usize) -> Result<Option<Vec<u8>>, HttpError> {
    if length > max_length {
        return Err(HttpError::BodyTooLong);
    }
    Ok(rest.get(..length).map(<[u8]>::to_vec))
}

/// Decodes a chunked body: each chunk is preceded by its length in hexadecimal digits, and an empty chunk
/// ends the body.
fn decode_chunked_body(rest: &[u8], max_length: usize) -> Result<Option<Vec<u8>>, HttpError> {
    let mut body = Vec::new();
    let mut position = 0;
    loop {
        let line = &rest[position..rest.len().min(position + MAX_CHUNK_LINE)];
        let Some(end) = find(line, LINE_END) else {
            return if line.len() == MAX_CHUNK_LINE { Err(HttpError::Chunk) } else { Ok(None) };
        };
        let length = decode_chunk_length(&line[..end])?;
        if body.len() + length > max_length {
            return Err(HttpError::BodyTooLong);
        }
        position += end + LINE_END.len();
        let next = position + length + LINE_END.len();
        let Some(chunk) = rest.get(position..next) else { return Ok(None) };
        body.extend_from_slice(chunk.strip_suffix(LINE_END).ok_or(HttpError::Chunk)?);
        position = next;
        if length == 0 {
            return Ok(Some(body));
        }
    }
}

fn decode_chunk_length(digits: &[u8]) -> Result<usize, HttpError> {
    let digits = std::str::from_utf8(digits).map_err(|_| HttpError::Chunk)?;
    usize::from_str_radix(digits, 16).map_err(|_| HttpError::Chunk)
}
