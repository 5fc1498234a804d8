//! DNS messages (RFC 1035, SRV by RFC 2782): the one query, and the answers to it.

use crate::discovery::{started, Endpoint};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The bytes are no answer to the query.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

type Res<T> = Result<T, Malformed>;

/// The list that an answer holds.
#[derive(Debug)]
pub struct Answer {
    /// Of the query that it answers.
    pub id: u16,
    /// Number of the last event in it.
    pub serial: u32,
    pub endpoints: Vec<Endpoint>,
}

const IN: u16 = 1;
const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const AAAA: u16 = 28;
const SRV: u16 = 33;
/// Header flags: a response, cut off, and the code.
const RESPONSE: u16 = 0x8000;
const CUT: u16 = 0x0200;
const CODE: u16 = 0x000f;
/// Pointers followed in one name: a loop of them must end.
const JUMPS: usize = 32;
/// Characters of a name.
const NAME: usize = 255;

/// The query for the SRV records of `name`.
pub fn query(id: u16, name: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    for word in [id, 0, 1, 0, 0, 0] {
        out.extend_from_slice(&word.to_be_bytes());
    }
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend_from_slice(label.as_bytes());
    }
    out.push(0);
    for word in [SRV, IN] {
        out.extend_from_slice(&word.to_be_bytes());
    }
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Res<&'a [u8]> {
        let taken = self.bytes.get(self.at..self.at + count).ok_or(Malformed)?;
        self.at += count;
        Ok(taken)
    }

    fn byte(&mut self) -> Res<u8> {
        Ok(self.take(1)?[0])
    }

    fn short(&mut self) -> Res<u16> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    fn long(&mut self) -> Res<u32> {
        self.take(4).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    /// A name in lower case, its compression undone.
    fn name(&mut self) -> Res<String> {
        let mut name = String::new();
        let (mut jumps, mut back) = (0, None);
        loop {
            let length = usize::from(self.byte()?);
            match length >> 6 {
                0 if length == 0 => break,
                0 => {
                    if !name.is_empty() {
                        name.push('.');
                    }
                    let label = std::str::from_utf8(self.take(length)?).map_err(|_| Malformed)?;
                    name.push_str(&label.to_ascii_lowercase());
                    if name.len() > NAME {
                        return Err(Malformed);
                    }
                }
                3 => {
                    let to = (length & 0x3f) << 8 | usize::from(self.byte()?);
                    jumps += 1;
                    if jumps > JUMPS {
                        return Err(Malformed);
                    }
                    back.get_or_insert(self.at);
                    self.at = to;
                }
                _ => return Err(Malformed),
            }
        }
        self.at = back.unwrap_or(self.at);
        Ok(name)
    }
}

struct Service {
    target: String,
    draining: bool,
    port: u16,
}

/// Reads an answer to the query for `name`.
pub fn read(bytes: &[u8], name: &str) -> Res<Answer> {
    let mut reader = Reader { bytes, at: 0 };
    let id = reader.short()?;
    let flags = reader.short()?;
    if flags & RESPONSE == 0 || flags & (CUT | CODE) != 0 {
        return Err(Malformed);
    }
    let counts = [reader.short()?, reader.short()?, reader.short()?, reader.short()?].map(usize::from);
    // It must be to our question; one that says nothing of that is not.
    if counts[0] != 1 || reader.name()? != name || (reader.short()?, reader.short()?) != (SRV, IN) {
        return Err(Malformed);
    }
    let mut services = Vec::new();
    let mut addresses: HashMap<String, IpAddr> = HashMap::new();
    let mut texts: HashMap<String, Vec<String>> = HashMap::new();
    let mut serial = None;
    for _ in 0..counts[1] + counts[2] + counts[3] {
        let owner = reader.name()?;
        let (kind, class) = (reader.short()?, reader.short()?);
        reader.long()?; // time to live: the list is asked for all the time
        let length = usize::from(reader.short()?);
        let end = reader.at + length;
        if end > bytes.len() {
            return Err(Malformed);
        }
        match kind {
            _ if class != IN => {}
            SRV if owner == name => {
                let (priority, _weight, port) = (reader.short()?, reader.short()?, reader.short()?);
                services.push(Service { target: reader.name()?, draining: priority > 0, port });
            }
            A => {
                let octets: [u8; 4] = reader.take(4)?.try_into().map_err(|_| Malformed)?;
                addresses.insert(owner, Ipv4Addr::from(octets).into());
            }
            AAAA => {
                let octets: [u8; 16] = reader.take(16)?.try_into().map_err(|_| Malformed)?;
                addresses.entry(owner).or_insert(Ipv6Addr::from(octets).into());
            }
            TXT => {
                let mut parts = Vec::new();
                while reader.at < end {
                    let length = usize::from(reader.byte()?);
                    let text = std::str::from_utf8(reader.take(length)?).map_err(|_| Malformed)?;
                    parts.push(text.to_string());
                }
                texts.insert(owner, parts);
            }
            SOA => {
                reader.name()?;
                reader.name()?;
                serial = Some(reader.long()?);
            }
            _ => {}
        }
        if reader.at > end {
            return Err(Malformed);
        }
        reader.at = end;
    }
    let endpoint = |service: Service| endpoint(service, &addresses, &texts);
    let endpoints = services.into_iter().map(endpoint).collect::<Res<_>>()?;
    Ok(Answer { id, serial: serial.ok_or(Malformed)?, endpoints })
}

fn endpoint(
    service: Service,
    addresses: &HashMap<String, IpAddr>,
    texts: &HashMap<String, Vec<String>>,
) -> Res<Endpoint> {
    let mut labels = service.target.split('.');
    let (id, zone) = (labels.next().unwrap_or_default(), labels.next().unwrap_or_default());
    let address = addresses.get(&service.target).ok_or(Malformed)?;
    let text = |key: &str| {
        let parts = texts.get(&service.target)?;
        parts.iter().filter_map(|p| p.split_once('=')).find(|(k, _)| *k == key).map(|(_, v)| v)
    };
    let number = |key: &str| text(key).map_or(Ok(0.0), |v| v.parse::<f64>().map_err(|_| Malformed));
    if id.is_empty() {
        return Err(Malformed);
    }
    let entry = EngineEntry {
        id: id.into(),
        zone: zone.into(),
        kind: text("kind").unwrap_or_default().into(),
        cell: number("cell")? as i64,
        lifecycle: if service.draining { Lifecycle::Draining } else { Lifecycle::Ready },
        started: started(number("started")?),
    };
    Ok(Endpoint { entry, address: Some(SocketAddr::new(*address, service.port)) })
}
