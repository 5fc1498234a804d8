//! Decodes HTTP requests.

use super::{status, HttpError};
use crate::limits::Limits;

/// The end of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Bytes other than letters and digits that a field name may contain (RFC 9110, `tchar`).
const TOKEN_PUNCTUATION: &[u8] = b"!#$%&'*+-.^_`|~";

const MALFORMED: HttpError = HttpError(status::BAD_REQUEST);

/// A decoded HTTP request.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path, including the query.
    pub path: String,
    headers: Vec<HeaderField>,
    /// The body; empty if it is too large for memory.
    pub body: Vec<u8>,
    /// Whether the connection remains open after the response.
    pub keep_alive: bool,
}

#[derive(Debug)]
struct HeaderField {
    name: String,
    value: String,
}

/// The result of decoding the start of the input.
#[derive(Debug)]
pub enum Decoded {
    /// An incomplete HTTP request.
    Partial {
        /// The client waits for an interim response (100 Continue) before it sends the body.
        expects_continue: bool,
    },
    /// A complete HTTP request.
    Complete {
        /// The HTTP request.
        request: HttpRequest,
        /// Its length in the input (bytes).
        length: usize,
    },
    /// The head of an HTTP request whose body is too large for memory.
    LargeBody {
        /// The HTTP request, without its body.
        request: HttpRequest,
        /// Length of the head in the input (bytes).
        head_length: usize,
        /// Length of the body (bytes).
        body_length: usize,
        /// The client waits for an interim response (100 Continue) before it sends the body.
        expects_continue: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

struct RequestLine<'a> {
    method: &'a str,
    path: &'a str,
    version: Version,
}

impl HttpRequest {
    /// The path without the query.
    pub fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// The values of a header field, in the order sent.
    fn header_values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let fields = self.headers.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        fields.map(|field| field.value.as_str())
    }

    /// The first value of a header field.
    fn header(&self, name: &str) -> Option<&str> {
        self.header_values(name).next()
    }

    /// The value of a header field that may be sent at most once.
    ///
    /// # Errors
    /// [`status::BAD_REQUEST`] if the field was sent more than once: two parsers could use different values.
    pub fn unique_header(&self, name: &str) -> Result<Option<&str>, HttpError> {
        let mut values = self.header_values(name);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(MALFORMED),
            (value, None) => Ok(value),
        }
    }

    /// The length of the body (bytes), 0 without the field. Fields that disagree are an error: two parsers
    /// could see different requests.
    fn content_length(&self) -> Result<usize, HttpError> {
        let mut length = None;
        for value in self.header_values("Content-Length") {
            if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(MALFORMED);
            }
            let parsed = value.parse::<usize>().map_err(|_| HttpError(status::CONTENT_TOO_LARGE))?;
            if length.is_some_and(|other| other != parsed) {
                return Err(MALFORMED);
            }
            length = Some(parsed);
        }
        Ok(length.unwrap_or(0))
    }

    fn expects_continue(&self) -> bool {
        self.header("Expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Whether the connection remains open after the response, by the version and the `Connection` field.
    fn wants_keep_alive(&self, version: Version) -> bool {
        let Some(connection) = self.header("Connection") else { return version == Version::Http11 };
        let has_option =
            |option: &str| connection.split(',').any(|part| part.trim().eq_ignore_ascii_case(option));
        match version {
            Version::Http11 => !has_option("close"),
            Version::Http10 => has_option("keep-alive"),
        }
    }
}

/// Decodes the HTTP request at the start of the input.
///
/// # Errors
/// The status of the response if the HTTP request is malformed, not supported or too large.
pub fn decode(input: &[u8], limits: &Limits) -> Result<Decoded, HttpError> {
    let Some(head_end) = find_head_end(input, limits)? else {
        return Ok(Decoded::Partial { expects_continue: false });
    };
    let text = std::str::from_utf8(&input[..head_end]).map_err(|_| MALFORMED)?;
    let mut lines = text.split("\r\n");
    let RequestLine { method, path, version } = decode_request_line(lines.next().unwrap_or_default())?;
    let headers = decode_headers(lines, limits)?;
    let (method, path, body) = (method.into(), path.into(), Vec::new());
    let mut request = HttpRequest { method, path, headers, body, keep_alive: false };
    if request.header("Transfer-Encoding").is_some() {
        return Err(HttpError(status::NOT_IMPLEMENTED));
    }
    let body_length = request.content_length()?;
    if body_length > limits.http.max_body_bytes.max(limits.bodies.max_bytes) {
        return Err(HttpError(status::CONTENT_TOO_LARGE));
    }
    request.keep_alive = request.wants_keep_alive(version);
    let head_length = head_end + HEAD_END.len();
    let has_body_bytes = input.len() > head_length;
    let expects_continue = version == Version::Http11 && !has_body_bytes && request.expects_continue();
    if limits.bodies.max_bytes > 0 && body_length > limits.bodies.max_inline_bytes {
        return Ok(Decoded::LargeBody { request, head_length, body_length, expects_continue });
    }
    let length = head_length + body_length;
    let Some(body) = input.get(head_length..length) else {
        return Ok(Decoded::Partial { expects_continue });
    };
    request.body = body.to_vec();
    Ok(Decoded::Complete { request, length })
}

/// Position at which the head ends, excluding the empty line; `None` if the head is not complete.
fn find_head_end(input: &[u8], limits: &Limits) -> Result<Option<usize>, HttpError> {
    let max_length = limits.http.max_head_bytes;
    let searched = &input[..input.len().min(max_length)];
    let end = searched.windows(HEAD_END.len()).position(|window| window == HEAD_END);
    if end.is_none() && input.len() >= max_length {
        return Err(HttpError(status::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    Ok(end)
}

fn decode_request_line(line: &str) -> Result<RequestLine<'_>, HttpError> {
    let mut parts = line.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(MALFORMED);
    };
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !is_method || !path.starts_with('/') {
        return Err(MALFORMED);
    }
    let version = match version {
        "HTTP/1.1" => Version::Http11,
        "HTTP/1.0" => Version::Http10,
        _ => return Err(HttpError(status::HTTP_VERSION_NOT_SUPPORTED)),
    };
    Ok(RequestLine { method, path, version })
}

fn decode_headers<'a>(
    lines: impl Iterator<Item = &'a str>,
    limits: &Limits,
) -> Result<Vec<HeaderField>, HttpError> {
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(MALFORMED)?;
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty() || !name.bytes().all(is_token_byte) || value.bytes().any(is_control_byte) {
            return Err(MALFORMED);
        }
        if headers.len() == limits.http.max_header_fields {
            return Err(HttpError(status::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        headers.push(HeaderField { name: name.into(), value: value.into() });
    }
    Ok(headers)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || TOKEN_PUNCTUATION.contains(&byte)
}

fn is_control_byte(byte: u8) -> bool {
    byte < b' ' && byte != b'\t'
}
