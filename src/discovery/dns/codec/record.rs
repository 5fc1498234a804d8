//! Resource records, and the endpoint list that is built from them.

use super::reader::Reader;
use super::{DecodeError, Response, CLASS_IN, TYPE_A, TYPE_AAAA, TYPE_SOA, TYPE_SRV, TYPE_TXT};
use crate::discovery::{start_time, Endpoint};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Keys of an engine's TXT record.
const KEY_KIND: &str = "kind";
const KEY_CELL: &str = "cell";
/// Start of the process in Unix milliseconds; 0 is long ago.
const KEY_STARTED: &str = "started";

/// The data of an SRV record: the location of a service.
pub struct Service {
    /// Labels: the engine's id, its zone and a domain.
    target: String,
    /// Priority 0 means ready, any other means draining.
    is_draining: bool,
    port: u16,
}

/// A record that the endpoint list needs.
pub enum Record {
    /// An engine.
    Service(Service),
    /// The address of a name.
    Address { owner: String, ip: IpAddr },
    /// Texts of a name, each of the form `key=value`.
    Texts { owner: String, texts: Vec<String> },
    /// The number of the list.
    Serial(u32),
    /// A record of another type, class or service.
    Other,
}

impl Record {
    /// Decodes the next record; an SRV record of a name other than `service` is [`Self::Other`].
    pub fn decode(reader: &mut Reader, service: &str) -> Result<Self, DecodeError> {
        let owner = reader.name()?;
        let record_type = reader.u16()?;
        let class = reader.u16()?;
        let _time_to_live = reader.u32()?; // unused: the list is polled at an interval
        let length = usize::from(reader.u16()?);
        let end = reader.position() + length;
        if end > reader.message_length() {
            return Err(DecodeError::RecordOverrun);
        }
        let record = match record_type {
            _ if class != CLASS_IN => Self::Other,
            TYPE_SRV if owner == service => Self::Service(Service::decode(reader)?),
            TYPE_A => Self::Address { owner, ip: Ipv4Addr::from(reader.array::<4>()?).into() },
            TYPE_AAAA => Self::Address { owner, ip: Ipv6Addr::from(reader.array::<16>()?).into() },
            TYPE_TXT => Self::Texts { owner, texts: decode_texts(reader, end)? },
            TYPE_SOA => Self::Serial(decode_serial(reader)?),
            _ => Self::Other,
        };
        if reader.position() > end {
            return Err(DecodeError::RecordOverrun);
        }
        reader.seek(end);
        Ok(record)
    }
}

impl Service {
    fn decode(reader: &mut Reader) -> Result<Self, DecodeError> {
        let priority = reader.u16()?;
        let _weight = reader.u16()?;
        let port = reader.u16()?;
        Ok(Self { target: reader.name()?, is_draining: priority > 0, port })
    }
}

fn decode_texts(reader: &mut Reader, end: usize) -> Result<Vec<String>, DecodeError> {
    let mut texts = Vec::new();
    while reader.position() < end {
        texts.push(reader.character_string()?.to_string());
    }
    Ok(texts)
}

fn decode_serial(reader: &mut Reader) -> Result<u32, DecodeError> {
    let _primary_server = reader.name()?;
    let _mailbox = reader.name()?;
    reader.u32()
}

/// The records of a response that the endpoint list is built from.
#[derive(Default)]
pub struct RecordSet {
    services: Vec<Service>,
    addresses: HashMap<String, IpAddr>,
    texts: HashMap<String, Vec<String>>,
    serial: Option<u32>,
}

impl RecordSet {
    /// Adds a record. Of several records for one name the last is used, except that an IPv4 address is
    /// preferred over an IPv6 address, and the first IPv6 address is used.
    pub fn add(&mut self, record: Record) {
        match record {
            Record::Service(service) => self.services.push(service),
            Record::Address { owner, ip: IpAddr::V4(ip) } => {
                self.addresses.insert(owner, ip.into());
            }
            Record::Address { owner, ip: IpAddr::V6(ip) } => {
                self.addresses.entry(owner).or_insert(ip.into());
            }
            Record::Texts { owner, texts } => {
                self.texts.insert(owner, texts);
            }
            Record::Serial(serial) => self.serial = Some(serial),
            Record::Other => {}
        }
    }

    /// Builds the response to query `id` with the endpoint list from the records.
    pub fn into_response(self, id: u16) -> Result<Response, DecodeError> {
        let endpoints =
            self.services.iter().map(|service| self.endpoint(service)).collect::<Result<_, _>>()?;
        let serial = self.serial.ok_or(DecodeError::NoSerial)?;
        Ok(Response { id, serial, endpoints })
    }

    fn endpoint(&self, service: &Service) -> Result<Endpoint, DecodeError> {
        let target = &service.target;
        let mut labels = target.split('.');
        let id = labels.next().unwrap_or_default();
        let zone = labels.next().unwrap_or_default();
        let no_address = || DecodeError::NoAddress { target: target.clone() };
        let ip = *self.addresses.get(target).ok_or_else(no_address)?;
        if id.is_empty() {
            return Err(DecodeError::NoId);
        }
        let entry = EngineEntry {
            id: id.into(),
            zone: zone.into(),
            kind: self.text(target, KEY_KIND).unwrap_or_default().into(),
            cell: self.number(target, KEY_CELL)? as i64,
            lifecycle: if service.is_draining { Lifecycle::Draining } else { Lifecycle::Ready },
            started: start_time(self.number(target, KEY_STARTED)?),
        };
        Ok(Endpoint { entry, address: Some(SocketAddr::new(ip, service.port)) })
    }

    /// The value of a key in the TXT record of a target.
    fn text(&self, target: &str, key: &str) -> Option<&str> {
        let pairs = self.texts.get(target)?.iter().filter_map(|text| text.split_once('='));
        pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
    }

    /// The value of a key in the TXT record of a target as a number; 0 if it is absent.
    fn number(&self, target: &str, key: &'static str) -> Result<f64, DecodeError> {
        let Some(text) = self.text(target, key) else { return Ok(0.0) };
        text.parse().map_err(|_| DecodeError::NotANumber { target: target.to_string(), key })
    }
}
