//! Encodes HTTP responses.

use super::status::reason;

/// The interim response that a client awaits before it sends its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const JSON: &str = "application/json";
const PLAIN_TEXT: &str = "text/plain";

/// A header field of a response.
pub struct Header {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

struct Response<'a> {
    status: u16,
    content_type: &'static str,
    header: Option<Header>,
    body: &'a [u8],
    keep_alive: bool,
}

/// Encodes a response with a JSON body. `keep_alive`: the connection remains open after it.
pub fn json(status: u16, header: Option<Header>, body: &[u8], keep_alive: bool) -> Vec<u8> {
    Response { status, content_type: JSON, header, body, keep_alive }.encode()
}

/// Encodes a response in plain text; the connection is closed after it.
pub fn text(status: u16, text: &str) -> Vec<u8> {
    let body = text.as_bytes();
    Response { status, content_type: PLAIN_TEXT, header: None, body, keep_alive: false }.encode()
}

impl Response<'_> {
    fn encode(&self) -> Vec<u8> {
        let (status, reason) = (self.status, reason(self.status));
        let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {}\r\n", self.content_type);
        if let Some(Header { name, value }) = &self.header {
            head += &format!("{name}: {value}\r\n");
        }
        if !self.keep_alive {
            head += "Connection: close\r\n";
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}
