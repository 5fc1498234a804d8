//! HTTP/1.1 connections of the load generator.

use crate::load::Response;
use crate::Micros;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An answer.
pub(super) struct HttpAnswer {
    /// The outcome of the request.
    pub response: Response,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// The header fields of an answer that the load generator uses.
struct AnswerFields {
    content_length: usize,
    keep_alive: bool,
    retry_after: Option<Micros>,
}

/// A connection to a coordinator.
pub(super) struct HttpConnection {
    stream: BufReader<TcpStream>,
}

impl HttpConnection {
    /// Connects; `None` if that fails.
    pub(super) fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer; `None` if the connection ends or the answer is malformed.
    pub(super) fn exchange(&mut self, request: &[u8]) -> Option<HttpAnswer> {
        self.stream.get_mut().write_all(request).ok()?;
        let status = self.read_status()?;
        let fields = self.read_fields()?;
        let mut body = vec![0; fields.content_length];
        self.stream.read_exact(&mut body).ok()?;
        let response = match status {
            200 => Response::Served,
            429 | 503 => Response::Rejected(fields.retry_after),
            _ => Response::Failed,
        };
        Some(HttpAnswer { response, keep_alive: fields.keep_alive })
    }

    fn read_status(&mut self) -> Option<u16> {
        let mut line = String::new();
        self.stream.read_line(&mut line).ok()?;
        line.split(' ').nth(1)?.parse().ok()
    }

    fn read_fields(&mut self) -> Option<AnswerFields> {
        let mut fields = AnswerFields { content_length: 0, keep_alive: true, retry_after: None };
        let mut line = String::new();
        loop {
            line.clear();
            self.stream.read_line(&mut line).ok()?;
            match line.trim_end().split_once(": ") {
                Some(("Content-Length", value)) => fields.content_length = value.parse().ok()?,
                Some(("Connection", "close")) => fields.keep_alive = false,
                Some(("X-Wait-Ms", value)) => {
                    fields.retry_after = value.parse::<f64>().ok().map(|ms| (ms * 1000.0) as Micros);
                }
                Some(_) => {}
                None => return Some(fields),
            }
        }
    }
}
