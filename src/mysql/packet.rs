//! Packets of the `MySQL` client/server protocol (4.1 and later), and the values in them.

/// The bytes are no packet of the kind that is due.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

pub type Res<T> = Result<T, Malformed>;

/// Capabilities that both sides here name. Results end with EOF packets on either side, so that what an
/// engine answers can be handed on as it is.
pub mod capability {
    pub const LONG_PASSWORD: u32 = 1;
    pub const LONG_FLAG: u32 = 1 << 2;
    pub const CONNECT_WITH_DB: u32 = 1 << 3;
    pub const PROTOCOL_41: u32 = 1 << 9;
    pub const TRANSACTIONS: u32 = 1 << 13;
    pub const SECURE_CONNECTION: u32 = 1 << 15;
    pub const PLUGIN_AUTH: u32 = 1 << 19;
    pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;
    pub const OURS: u32 =
        LONG_PASSWORD | LONG_FLAG | PROTOCOL_41 | TRANSACTIONS | SECURE_CONNECTION | PLUGIN_AUTH;
}

/// Commands.
pub mod command {
    pub const QUIT: u8 = 0x01;
    pub const QUERY: u8 = 0x03;
    pub const PING: u8 = 0x0e;
    pub const PREPARE: u8 = 0x16;
    pub const EXECUTE: u8 = 0x17;
    pub const LONG_DATA: u8 = 0x18;
    pub const CLOSE: u8 = 0x19;
    pub const RESET: u8 = 0x1a;
}

/// First bytes of answers.
pub const OK: u8 = 0x00;
pub const MORE: u8 = 0x01;
pub const EOF: u8 = 0xfe;
pub const ERR: u8 = 0xff;

/// `utf8mb4_general_ci`.
pub const CHARSET: u8 = 45;
/// The session commits by itself.
pub const AUTOCOMMIT: u16 = 2;
/// Another result follows.
pub const MORE_RESULTS: u16 = 8;

pub const HEADER: usize = 4;
/// A payload of this length goes on in the next packet.
pub const SPLIT: usize = 0xff_ff_ff;

/// A packet: its sequence number and payload.
pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    out
}

/// Length and number of the packet at the start of the input, once its header is here.
pub fn header(input: &[u8]) -> Option<(usize, u8)> {
    let header = input.get(..HEADER)?;
    Some((u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize, header[3]))
}

/// The packet at the start of the input: sequence number, payload and the bytes it took.
pub fn read(input: &[u8], most: usize) -> Res<Option<(u8, &[u8], usize)>> {
    let Some((length, sequence)) = header(input) else { return Ok(None) };
    if length > most.min(SPLIT - 1) {
        return Err(Malformed);
    }
    let end = HEADER + length;
    Ok(input.get(HEADER..end).map(|payload| (sequence, payload, end)))
}

/// Reads values off a payload.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    pub fn take(&mut self, count: usize) -> Res<&'a [u8]> {
        if count > self.0.len() {
            return Err(Malformed);
        }
        let (taken, rest) = self.0.split_at(count);
        self.0 = rest;
        Ok(taken)
    }

    pub fn number(&mut self, bytes: usize) -> Res<u64> {
        Ok(self.take(bytes)?.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }

    /// A length-encoded number.
    pub fn length(&mut self) -> Res<usize> {
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

    /// A text that a zero byte ends.
    pub fn text(&mut self) -> Res<&'a str> {
        let end = self.0.iter().position(|b| *b == 0).ok_or(Malformed)?;
        let text = std::str::from_utf8(self.take(end)?).map_err(|_| Malformed)?;
        self.take(1)?;
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

/// An OK packet.
pub fn ok() -> Vec<u8> {
    let mut out = vec![OK, 0, 0];
    out.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    out.extend_from_slice(&[0, 0]);
    out
}

pub fn eof() -> Vec<u8> {
    let mut out = vec![EOF, 0, 0];
    out.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    out
}

/// An error with its documented number and state.
pub fn error(number: u16, state: &str, message: &str) -> Vec<u8> {
    let mut out = vec![ERR];
    out.extend_from_slice(&number.to_le_bytes());
    out.push(b'#');
    out.extend_from_slice(state.as_bytes());
    out.extend_from_slice(message.as_bytes());
    out
}

/// The number in an error.
pub fn error_number(payload: &[u8]) -> Res<u16> {
    let mut reader = Reader(payload);
    reader.take(1)?;
    Ok(reader.number(2)? as u16)
}

pub fn is_eof(payload: &[u8]) -> bool {
    payload.first() == Some(&EOF) && payload.len() <= 5
}

/// The definition of a text column.
pub fn column(name: &str) -> Vec<u8> {
    const VAR_STRING: u8 = 0xfd;
    let mut out = Vec::new();
    for text in ["def", "", "", "", name, ""] {
        put_text(&mut out, text.as_bytes());
    }
    out.extend_from_slice(&[0x0c, CHARSET, 0, 0, 4, 0, 0, VAR_STRING, 0, 0, 0, 0, 0]);
    out
}

/// Bytes of a value in an execution, by its type.
pub fn value<'a>(reader: &mut Reader<'a>, kind: u8) -> Res<&'a [u8]> {
    let (prefix, length) = extent(reader.0, kind)?.ok_or(Malformed)?;
    reader.take(prefix)?;
    reader.take(length)
}

/// Bytes that tell the length of the value at the start, and that length; `None` while not all of the former
/// are here.
pub fn extent(bytes: &[u8], kind: u8) -> Res<Option<(usize, usize)>> {
    let prefix = match (kind, bytes.first()) {
        (0x06, _) => return Ok(Some((0, 0))),               // NULL
        (0x01, _) => return Ok(Some((0, 1))),               // TINY
        (0x02 | 0x0d, _) => return Ok(Some((0, 2))),        // SHORT, YEAR
        (0x03 | 0x04 | 0x09, _) => return Ok(Some((0, 4))), // LONG, FLOAT, INT24
        (0x05 | 0x08, _) => return Ok(Some((0, 8))),        // DOUBLE, LONGLONG
        (0x07 | 0x0a..=0x0c | 0x00 | 0x0f | 0x10 | 0xf5..=0xff, None) => return Ok(None),
        (0x07 | 0x0a..=0x0c, Some(first)) => return Ok(Some((1, usize::from(*first)))), // times and dates
        // Texts, decimals, blobs: a length-encoded number goes ahead.
        (0x00 | 0x0f | 0x10 | 0xf5..=0xff, Some(252)) => 3,
        (0x00 | 0x0f | 0x10 | 0xf5..=0xff, Some(253)) => 4,
        (0x00 | 0x0f | 0x10 | 0xf5..=0xff, Some(254)) => 9,
        (0x00 | 0x0f | 0x10 | 0xf5..=0xff, Some(_)) => 1,
        _ => return Err(Malformed),
    };
    match bytes.get(..prefix) {
        Some(bytes) => Reader(bytes).length().map(|length| Some((prefix, length))),
        None => Ok(None),
    }
}
