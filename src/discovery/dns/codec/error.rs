//! Why a datagram is not a usable response.

use thiserror::Error;

/// Why a message cannot be decoded as a response to the query.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The message ends inside a field.
    #[error("the message ends inside a field")]
    UnexpectedEnd,
    /// The header's QR bit is not set.
    #[error("the message is not a response")]
    NotAResponse,
    /// The header's TC bit is set.
    #[error("the response is truncated")]
    Truncated,
    /// The header has a response code other than 0.
    #[error("the response reports failure {code}")]
    Failure {
        /// The header's RCODE.
        code: u16,
    },
    /// The question section is not that of the query.
    #[error("the response answers another question")]
    OtherQuestion,
    /// A label has a length that RFC 1035 reserves.
    #[error("a label of a reserved type")]
    ReservedLabel,
    /// A name follows more compression pointers than a valid name needs.
    #[error("too many compression pointers in a name")]
    TooManyPointers,
    /// A name is longer than RFC 1035 allows.
    #[error("a name is too long")]
    NameTooLong,
    /// A label or a text is not UTF-8.
    #[error("a text is not UTF-8")]
    NotUtf8,
    /// The data of a record exceed the length in the record, or the end of the message.
    #[error("a record exceeds its length")]
    RecordOverrun,
    /// There is no SOA record with the number of the list.
    #[error("the response has no SOA record")]
    NoSerial,
    /// An SRV record has a target without a first label.
    #[error("a target has no id")]
    NoId,
    /// There is no A or AAAA record for a target.
    #[error("no address of {target}")]
    NoAddress {
        /// The target, as the SRV record names it.
        target: String,
    },
    /// A value in the TXT record of a target that must be a number is not one.
    #[error("{key} of {target} is not a number")]
    NotANumber {
        /// The target, as the SRV record names it.
        target: String,
        /// The key in the TXT record.
        key: &'static str,
    },
}
