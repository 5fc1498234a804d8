//! Status codes of responses (RFC 9110).

/// The request was served.
pub const OK: u16 = 200;
/// The request is malformed, or a value in it is not allowed.
pub const BAD_REQUEST: u16 = 400;
/// The path does not exist.
pub const NOT_FOUND: u16 = 404;
/// The path does not support the method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request was not complete in time.
pub const REQUEST_TIMEOUT: u16 = 408;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The head is too large.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The request uses a transfer coding that this server does not implement.
pub const NOT_IMPLEMENTED: u16 = 501;
/// The request failed; it may have run.
pub const BAD_GATEWAY: u16 = 502;
/// The request was rejected; nothing ran.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// The version is neither HTTP/1.0 nor HTTP/1.1.
pub const HTTP_VERSION_NOT_SUPPORTED: u16 = 505;

/// The reason phrase of a status.
pub(super) fn reason(status: u16) -> &'static str {
    match status {
        OK => "OK",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONTENT_TOO_LARGE => "Content Too Large",
        REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        NOT_IMPLEMENTED => "Not Implemented",
        BAD_GATEWAY => "Bad Gateway",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        HTTP_VERSION_NOT_SUPPORTED => "HTTP Version Not Supported",
        _ => "Error",
    }
}
