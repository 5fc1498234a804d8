//! Packets of the `MySQL` client/server protocol (4.1 and later), and the values in them.

/// The bytes are not a packet of the expected kind.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// The result of decoding bytes that may be malformed.
pub type DecodeResult<T> = Result<T, Malformed>;

/// Capability flags in greeting and login. Results end with EOF packets towards both clients and engines, so
/// that an engine's response can be forwarded unchanged.
pub mod capability {
    /// The current password format.
    pub const LONG_PASSWORD: u32 = 1;
    /// Column flags are two bytes long.
    pub const LONG_FLAG: u32 = 1 << 2;
    /// The login names a default schema.
    pub const CONNECT_WITH_DB: u32 = 1 << 3;
    /// The protocol of version 4.1 and later.
    pub const PROTOCOL_41: u32 = 1 << 9;
    /// Responses contain status flags.
    pub const TRANSACTIONS: u32 = 1 << 13;
    /// Challenge-response authentication.
    pub const SECURE_CONNECTION: u32 = 1 << 15;
    /// The login names an authentication plugin.
    pub const PLUGIN_AUTH: u32 = 1 << 19;
    /// The response in the login has a length-encoded length.
    pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
    /// The capabilities that both the listener and the upstream always set.
    pub const COMMON: u32 =
        LONG_PASSWORD | LONG_FLAG | PROTOCOL_41 | TRANSACTIONS | SECURE_CONNECTION | PLUGIN_AUTH;
}

/// Commands: the first byte of a payload from a client.
pub mod command {
    /// Ends the session.
    pub const QUIT: u8 = 0x01;
    /// Runs a statement given as text.
    pub const QUERY: u8 = 0x03;
    /// Checks that the server responds.
    pub const PING: u8 = 0x0e;
    /// Prepares a statement.
    pub const PREPARE: u8 = 0x16;
    /// Runs a prepared statement.
    pub const EXECUTE: u8 = 0x17;
    /// Sends a part of a parameter ahead of the execution.
    pub const LONG_DATA: u8 = 0x18;
    /// Closes a prepared statement.
    pub const CLOSE: u8 = 0x19;
    /// Discards the long data of a prepared statement.
    pub const RESET: u8 = 0x1a;
}

/// Types of values.
pub mod value_type {
    /// NULL, which has no value bytes.
    pub const NULL: u8 = 0x06;
    /// Text of variable length.
    pub const VAR_STRING: u8 = 0xfd;
}

/// The first byte of a response without rows.
pub const OK: u8 = 0x00;
/// The first byte of a packet with more authentication data.
pub const AUTH_MORE_DATA: u8 = 0x01;
/// The first byte of the packet that ends columns or rows, and of a request to switch the authentication
/// plugin.
pub const EOF: u8 = 0xfe;
/// The first byte of an error.
pub const ERR: u8 = 0xff;

/// The id of the collation `utf8mb4_general_ci`.
pub const CHARSET: u8 = 45;
/// Status flag: the session commits each statement by itself.
pub const AUTOCOMMIT: u16 = 2;
/// Status flag: another result follows.
pub const MORE_RESULTS: u16 = 8;

/// Length of a packet's header (bytes): three bytes for the payload's length, one for the sequence number.
pub const HEADER_BYTES: usize = 4;
/// Maximum payload of a packet (bytes). A payload of at least this length continues in the next packet.
pub const MAX_PACKET_PAYLOAD: usize = 0xff_ff_ff;

/// A packet's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader {
    /// Length of the payload (bytes).
    pub length: usize,
    /// The sequence number.
    pub sequence: u8,
}

impl PacketHeader {
    /// Decodes the header at the start of the input; `None` if it is incomplete.
    pub fn decode(input: &[u8]) -> Option<Self> {
        let bytes = input.get(..HEADER_BYTES)?;
        let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], 0]) as usize;
        Some(Self { length, sequence: bytes[3] })
    }
}

/// A decoded packet.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The sequence number.
    pub sequence: u8,
    /// The payload.
    pub payload: &'a [u8],
    /// Length of header and payload (bytes).
    pub length: usize,
}

/// Decodes the packet at the start of the input; `None` if it is incomplete.
///
/// # Errors
/// The payload is longer than `max_length` (bytes), or continues in the next packet.
pub fn decode(input: &[u8], max_length: usize) -> Result<Option<Packet<'_>>, Malformed> {
    let Some(header) = PacketHeader::decode(input) else { return Ok(None) };
    if header.length > max_length.min(MAX_PACKET_PAYLOAD - 1) {
        return Err(Malformed);
    }
    let length = HEADER_BYTES + header.length;
    let payload = input.get(HEADER_BYTES..length);
    Ok(payload.map(|payload| Packet { sequence: header.sequence, payload, length }))
}

/// [`decode`], with the packet as a tuple of sequence number, payload and length.
///
/// # Errors
/// As [`decode`].
pub fn decode_tuple(input: &[u8], max_length: usize) -> DecodeResult<Option<(u8, &[u8], usize)>> {
    let packet = decode(input, max_length)?;
    Ok(packet.map(|Packet { sequence, payload, length }| (sequence, payload, length)))
}

/// Encodes a packet.
pub fn encode(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    out
}

/// Reads values from the start of a payload. The field is the part that has not been read.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// Reads `count` bytes.
    ///
    /// # Errors
    /// There are fewer bytes.
    pub fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        if count > self.0.len() {
            return Err(Malformed);
        }
        let (consumed, rest) = self.0.split_at(count);
        self.0 = rest;
        Ok(consumed)
    }

    /// Reads a little-endian integer of `bytes` bytes.
    ///
    /// # Errors
    /// There are fewer bytes.
    pub fn number(&mut self, bytes: usize) -> Result<u64, Malformed> {
        Ok(self.read_bytes(bytes)?.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }

    /// Reads a length-encoded integer.
    ///
    /// # Errors
    /// The integer is incomplete, or its first byte is invalid.
    pub fn length(&mut self) -> Result<usize, Malformed> {
        let first = self.number(1)?;
        let bytes = match first {
            0..=250 => return Ok(first as usize),
            252 => 2,
            253 => 3,
            254 => 8,
            _ => return Err(Malformed),
        };
        usize::try_from(self.number(bytes)?).map_err(|_| Malformed)
    }

    /// Reads a zero-terminated text.
    ///
    /// # Errors
    /// The zero byte is missing, or the text is not UTF-8.
    pub fn text(&mut self) -> Result<&'a str, Malformed> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(Malformed)?;
        let text = std::str::from_utf8(self.read_bytes(end)?).map_err(|_| Malformed)?;
        self.read_bytes(1)?;
        Ok(text)
    }
}

/// Appends a length-encoded text.
pub fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    match text.len() {
        length @ 0..=250 => out.push(length as u8),
        length => {
            out.push(254);
            out.extend_from_slice(&(length as u64).to_le_bytes());
        }
    }
    out.extend_from_slice(text);
}

/// The payload of a response without rows.
pub fn ok() -> Vec<u8> {
    let mut out = vec![OK, 0, 0];
    out.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    out.extend_from_slice(&[0, 0]);
    out
}

/// The payload that ends columns or rows.
pub fn eof() -> Vec<u8> {
    let mut out = vec![EOF, 0, 0];
    out.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    out
}

/// The payload of an error with this code and SQL state.
pub fn error(number: u16, sql_state: &str, message: &str) -> Vec<u8> {
    let mut out = vec![ERR];
    out.extend_from_slice(&number.to_le_bytes());
    out.push(b'#');
    out.extend_from_slice(sql_state.as_bytes());
    out.extend_from_slice(message.as_bytes());
    out
}

/// The code in an error's payload.
///
/// # Errors
/// The payload is too short.
pub fn error_code(payload: &[u8]) -> Result<u16, Malformed> {
    let mut reader = Reader(payload);
    reader.read_bytes(1)?;
    Ok(reader.number(2)? as u16)
}

/// Whether a payload is one that ends columns or rows.
pub fn is_eof(payload: &[u8]) -> bool {
    payload.first() == Some(&EOF) && payload.len() <= 5
}

/// The definition of a text column.
pub fn column(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for text in ["def", "", "", "", name, ""] {
        put_text(&mut out, text.as_bytes());
    }
    out.extend_from_slice(&[0x0c, CHARSET, 0, 0, 4, 0, 0, value_type::VAR_STRING, 0, 0, 0, 0, 0]);
    out
}

/// The length of a value in an execution, and of its length prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueExtent {
    /// Length of the length prefix before the value (bytes).
    pub prefix: usize,
    /// Length of the value (bytes).
    pub length: usize,
}

impl ValueExtent {
    /// Decodes the extent of the value at the start of the bytes; `None` if its length prefix is incomplete.
    ///
    /// # Errors
    /// The type is unknown, or the length prefix is invalid.
    pub fn decode(bytes: &[u8], value_type: u8) -> Result<Option<Self>, Malformed> {
        let fixed = |length| Ok(Some(Self { prefix: 0, length }));
        match (value_type, bytes.first()) {
            (value_type::NULL, _) => fixed(0),
            (0x01, _) => fixed(1),                  // TINY
            (0x02 | 0x0d, _) => fixed(2),           // SHORT, YEAR
            (0x03 | 0x04 | 0x09, _) => fixed(4),    // LONG, FLOAT, INT24
            (0x05 | 0x08, _) => fixed(8),           // DOUBLE, LONGLONG
            (0x07 | 0x0a..=0x0c, None) => Ok(None), // times and dates
            (0x07 | 0x0a..=0x0c, Some(first)) => Ok(Some(Self { prefix: 1, length: usize::from(*first) })),
            (0x00 | 0x0f | 0x10 | 0xf5..=0xff, _) => Self::length_encoded(bytes), // texts, decimals, blobs
            _ => Err(Malformed),
        }
    }

    fn length_encoded(bytes: &[u8]) -> Result<Option<Self>, Malformed> {
        let prefix = match bytes.first() {
            None => return Ok(None),
            Some(252) => 3,
            Some(253) => 4,
            Some(254) => 9,
            Some(_) => 1,
        };
        match bytes.get(..prefix) {
            Some(bytes) => Reader(bytes).length().map(|length| Some(Self { prefix, length })),
            None => Ok(None),
        }
    }
}

/// Reads a value in an execution, which is encoded according to its type.
///
/// # Errors
/// The value is incomplete, or the type is unknown.
pub fn value<'a>(reader: &mut Reader<'a>, value_type: u8) -> Result<&'a [u8], Malformed> {
    let extent = ValueExtent::decode(reader.0, value_type)?.ok_or(Malformed)?;
    reader.read_bytes(extent.prefix)?;
    reader.read_bytes(extent.length)
}
