//! HTTP/1.1, as much of it as a server of short calls needs.

mod decode;
mod response;
pub mod status;

pub use decode::{decode, Decoded, HttpRequest};
pub use response::{json, text, Header, CONTINUE};

/// Why a call is rejected: the status of the answer, one of [`status`].
#[derive(Debug, PartialEq, Eq)]
pub struct HttpError(pub u16);
