//! Why a request to the agent has failed.

use dahliaspoke::settings::SettingsError;
use std::net::AddrParseError;
use std::num::ParseFloatError;
use thiserror::Error;

/// Why the bytes that the agent sent are not an HTTP response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The head is longer than its limit.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is longer than its limit.
    #[error("the body is too long")]
    BodyTooLong,
    /// The head is not UTF-8.
    #[error("the head is not UTF-8")]
    HeadNotUtf8,
    /// The first line does not have the HTTP/1.1 version and a status.
    #[error("the status line is malformed")]
    StatusLine,
    /// `Content-Length` is not a number.
    #[error("the length of the body is malformed")]
    ContentLength,
    /// A chunk has no length, or does not end after that length.
    #[error("a chunk is malformed")]
    Chunk,
    /// The connection ended before the response did.
    #[error("the connection was closed before the end of the response")]
    ClosedEarly,
}

/// Why a response of the agent cannot be used. The text is written to the log.
#[derive(Debug, Error)]
pub enum ConsulError {
    /// The agent has not sent a valid HTTP response.
    #[error("malformed")]
    Http(#[from] HttpError),
    /// The status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body is not a list of services.
    #[error("the answer is not a list")]
    NotAList,
    /// The head has no valid `X-Consul-Index`, which the next query needs.
    #[error("no X-Consul-Index")]
    NoIndex,
    /// A field has an unexpected type; the text names the field.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The address of a service is not an IP address.
    #[error("address of {id}: {source}")]
    Address {
        /// The service's id.
        id: String,
        /// What is wrong with the address.
        source: AddrParseError,
    },
    /// A service has no id, or no port from 1 to 65535.
    #[error("a service has no id or no port")]
    NoIdOrPort,
    /// A value in the service's metadata that must be a number is not one.
    #[error("{key} of {id}: {source}")]
    Metadata {
        /// The key in the metadata.
        key: &'static str,
        /// The service's id.
        id: String,
        /// What is wrong with the number.
        source: ParseFloatError,
    },
}
