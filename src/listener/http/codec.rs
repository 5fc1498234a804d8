//! HTTP/1.1, as much of it as a server of short calls needs.

use crate::limits::Limits;

/// One call, with its body.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection stays open after the answer.
    pub stays: bool,
}

impl Call {
    /// The values of a header field, in the order told.
    fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        self.fields.iter().filter(move |f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.as_str())
    }

    /// The value of a header field, if it is there.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.values(name).next()
    }

    /// The same for one that may be told once at most: where two readers could take two values, none counts.
    pub fn single(&self, name: &str) -> Result<Option<&str>, Bad> {
        let mut told = self.values(name);
        match (told.next(), told.next()) {
            (_, Some(_)) => Err(Bad(400)),
            (value, None) => Ok(value),
        }
    }
}

/// Why a call cannot be read: the status that says so.
#[derive(Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

/// What stands at the start of the input.
#[derive(Debug)]
pub enum Read {
    /// Not all of it is here. The client waits for a word before it sends the body, if `expects`.
    Partial { expects: bool },
    /// A call, and the bytes it took.
    Whole(Call, usize),
    /// The head of a call whose body is too large to be held here, the bytes it took, the body's length, and
    /// whether the client waits for a word before it sends that.
    Large { call: Call, head: usize, length: usize, expects: bool },
}

const END: &[u8] = b"\r\n\r\n";

/// Reads the call at the start of the input.
pub fn read(input: &[u8], limits: &Limits) -> Result<Read, Bad> {
    let searched = &input[..input.len().min(limits.http.max_head_bytes)];
    let Some(head) = searched.windows(END.len()).position(|w| w == END) else {
        return if input.len() >= limits.http.max_head_bytes {
            Err(Bad(431))
        } else {
            Ok(Read::Partial { expects: false })
        };
    };
    let text = std::str::from_utf8(&input[..head]).map_err(|_| Bad(400))?;
    let mut lines = text.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (first.next(), first.next(), first.next(), first.next())
    else {
        return Err(Bad(400));
    };
    if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) || !path.starts_with('/') {
        return Err(Bad(400));
    }
    let newer = match version {
        "HTTP/1.1" => true,
        "HTTP/1.0" => false,
        _ => return Err(Bad(505)),
    };
    let mut fields = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Bad(400))?;
        let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty() || !name.bytes().all(token) || value.bytes().any(|b| b < b' ' && b != b'\t') {
            return Err(Bad(400));
        }
        if fields.len() == limits.http.max_header_fields {
            return Err(Bad(431));
        }
        fields.push((name.to_string(), value.to_string()));
    }
    let mut call = Call { method: method.into(), path: path.into(), fields, body: Vec::new(), stays: newer };
    if call.field("Transfer-Encoding").is_some() {
        return Err(Bad(501));
    }
    let length = length(&call)?;
    if length > limits.http.max_body_bytes.max(limits.bodies.max_bytes) {
        return Err(Bad(413));
    }
    let head = head + END.len();
    let expects = || call.field("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    let expects = newer && input.len() == head && expects();
    let end = head + length;
    let large = limits.bodies.max_bytes > 0 && length > limits.bodies.max_inline_bytes;
    if input.len() < end && !large {
        return Ok(Read::Partial { expects });
    }
    if !large {
        call.body = input[head..end].to_vec();
    }
    if let Some(connection) = call.field("Connection") {
        let says = |word: &str| connection.split(',').any(|part| part.trim().eq_ignore_ascii_case(word));
        call.stays = if newer { !says("close") } else { says("keep-alive") };
    }
    Ok(if large { Read::Large { call, head, length, expects } } else { Read::Whole(call, end) })
}

/// Content-Length: absent is none; several must agree, or two readers would see two different calls.
fn length(call: &Call) -> Result<usize, Bad> {
    let mut length = None;
    for value in call.values("Content-Length") {
        if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Bad(400));
        }
        let told = value.parse::<usize>().map_err(|_| Bad(413))?;
        if length.is_some_and(|l| l != told) {
            return Err(Bad(400));
        }
        length = Some(told);
    }
    Ok(length.unwrap_or(0))
}

/// An answer with a JSON body.
pub fn answer(status: u16, field: Option<(&str, String)>, body: &[u8], stays: bool) -> Vec<u8> {
    encode(status, "application/json", field, body, stays)
}

/// An answer in plain text, the last on its connection.
pub fn text(status: u16, text: &str) -> Vec<u8> {
    encode(status, "text/plain", None, text.as_bytes(), false)
}

fn encode(status: u16, kind: &str, field: Option<(&str, String)>, body: &[u8], stays: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
    if let Some((name, value)) = field {
        out += &format!("{name}: {value}\r\n");
    }
    if !stays {
        out += "Connection: close\r\n";
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Tells a client that waits for it to send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
