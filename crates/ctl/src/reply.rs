//! RESP replies of a member.

use std::fmt;

/// A reply of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A simple string without its type byte: `OK 17`.
    Status(String),
    /// An error reply.
    Error {
        /// The first word of the line: `LEADER`, `BUSY`, `REFUSED`, ...
        code: String,
        /// The rest of the line.
        message: String,
    },
    /// A bulk string; `None` is the null bulk string.
    Text(Option<String>),
    /// An array of bulk strings.
    Texts(Vec<String>),
}

/// Formats an unexpected reply for operators.
impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reply::Status(line) => write!(f, "Line({line:?})"),
            Reply::Error { code, message } => write!(f, "No({code:?}, {message:?})"),
            Reply::Text(text) => write!(f, "Text({text:?})"),
            Reply::Texts(texts) => write!(f, "Texts({texts:?})"),
        }
    }
}
