//! The subset of HTTP/1.1 that a server of short requests needs.

mod decode;
mod response;
pub mod status;

pub use decode::{decode, Decoded, HttpRequest};
pub use response::{json, text, Header, CONTINUE};

/// Why an HTTP request is rejected: the status of the response, one of [`status`].
#[derive(Debug, PartialEq, Eq)]
pub struct HttpError(pub u16);
