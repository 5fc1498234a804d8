//! Errors sent to clients. Error codes and SQL states are those of the `MySQL` server.

use crate::mysql::packet::{self, Malformed};

/// Error codes, under their documented names without `ER_`.
pub mod code {
    /// Wrong account or password.
    pub const ACCESS_DENIED_ERROR: u16 = 1045;
    /// A limit on memory.
    pub const OUT_OF_RESOURCES: u16 = 1041;
    /// An unknown command.
    pub const UNKNOWN_COM_ERROR: u16 = 1047;
    /// A schema that does not exist.
    pub const BAD_DB_ERROR: u16 = 1049;
    /// An error without a code of its own.
    pub const UNKNOWN_ERROR: u16 = 1105;
    /// A payload that is too large.
    pub const NET_PACKET_TOO_LARGE: u16 = 1153;
    /// A system variable that does not exist.
    pub const UNKNOWN_SYSTEM_VARIABLE: u16 = 1193;
    /// Arguments that do not match the statement.
    pub const WRONG_ARGUMENTS: u16 = 1210;
    /// A feature that this server does not support.
    pub const NOT_SUPPORTED_YET: u16 = 1235;
    /// A prepared statement that does not exist.
    pub const UNKNOWN_STMT_HANDLER: u16 = 1243;
    /// A client that is too old for the authentication protocol.
    pub const NOT_SUPPORTED_AUTH_MODE: u16 = 1251;
    /// A statement that cannot be prepared.
    pub const UNSUPPORTED_PS: u16 = 1295;
    /// A request that failed.
    pub const QUERY_INTERRUPTED: u16 = 1317;
    /// Too many parameters in a statement.
    pub const PS_MANY_PARAM: u16 = 1390;
    /// Too many prepared statements.
    pub const MAX_PREPARED_STMT_COUNT_REACHED: u16 = 1461;
    /// Bytes that are not a packet of the expected kind.
    pub const MALFORMED_PACKET: u16 = 1835;
    /// A request whose deadline has passed.
    pub const QUERY_TIMEOUT: u16 = 3024;
    /// A request that was rejected; nothing ran.
    pub const SERVER_ISNT_AVAILABLE: u16 = 3168;
}

/// SQL states of errors.
pub mod sql_state {
    /// The server rejected the connection.
    pub const CONNECTION_REJECTED: &str = "08004";
    /// The connection failed.
    pub const CONNECTION_FAILURE: &str = "08S01";
    /// Wrong account or password.
    pub const ACCESS_DENIED: &str = "28000";
    /// Wrong syntax or access.
    pub const SYNTAX_OR_ACCESS: &str = "42000";
    /// The query was interrupted.
    pub const INTERRUPTED: &str = "70100";
    /// An error without a state of its own.
    pub const GENERAL: &str = "HY000";
}

/// An error sent to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MysqlError {
    /// The error code, one of [`code`].
    pub code: u16,
    /// The SQL state, one of [`sql_state`].
    pub sql_state: &'static str,
    /// The error message.
    pub message: String,
}

/// Why a command failed.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The command is rejected with this error, which is sent to the client.
    Rejected(MysqlError),
    /// The packet is malformed: the session is closed.
    Malformed,
}

impl From<MysqlError> for CommandError {
    fn from(error: MysqlError) -> Self {
        Self::Rejected(error)
    }
}

impl From<Malformed> for CommandError {
    fn from(_: Malformed) -> Self {
        Self::Malformed
    }
}

impl MysqlError {
    /// An error with this code, SQL state and message.
    pub fn new(code: u16, sql_state: &'static str, message: impl Into<String>) -> Self {
        Self { code, sql_state, message: message.into() }
    }

    /// The payload of the error packet.
    pub fn encode(&self) -> Vec<u8> {
        packet::error(self.code, self.sql_state, &self.message)
    }

    /// The error for a payload that exceeds the limits.
    pub fn too_large() -> Self {
        let message = "Got a packet bigger than 'max_allowed_packet' bytes";
        Self::new(code::NET_PACKET_TOO_LARGE, sql_state::CONNECTION_FAILURE, message)
    }

    /// The error for a command that there is no memory for; nothing ran.
    pub fn out_of_memory() -> Self {
        Self::new(code::OUT_OF_RESOURCES, sql_state::GENERAL, "Out of memory; try again later")
    }

    /// The error for bytes that are not a packet of the expected kind.
    pub fn malformed() -> Self {
        Self::new(code::MALFORMED_PACKET, sql_state::GENERAL, "Malformed communication packet")
    }

    /// The error for a rejected request, of which nothing ran. The client may retry after `retry_after` (s).
    pub fn rejected(retry_after: Option<f64>) -> Self {
        let hint = retry_after
            .map_or(String::new(), |seconds| format!("; retry after {} ms", (seconds * 1000.0).ceil()));
        let message = format!("Server isn't available{hint}");
        Self::new(code::SERVER_ISNT_AVAILABLE, sql_state::GENERAL, message)
    }

    /// The error for a prepared statement that does not exist. `function` is the server function that the
    /// message names.
    pub fn unknown_statement(id: u32, function: &str) -> Self {
        let message = format!("Unknown prepared statement handler ({id}) given to {function}");
        Self::new(code::UNKNOWN_STMT_HANDLER, sql_state::GENERAL, message)
    }

    /// The error for an execution whose parameter types were never bound.
    pub fn unbound_parameters() -> Self {
        let message = "Incorrect arguments to mysqld_stmt_execute";
        Self::new(code::WRONG_ARGUMENTS, sql_state::GENERAL, message)
    }

    /// The error for a feature that this server does not support.
    pub fn not_supported(feature: &str) -> Self {
        let message = format!("This version of MySQL doesn't yet support '{feature}'");
        Self::new(code::NOT_SUPPORTED_YET, sql_state::SYNTAX_OR_ACCESS, message)
    }
}
