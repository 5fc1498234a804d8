//! The program's log on standard output: lines of text, or JSON objects if `deploy/log.toml` selects them.
//!
//! An event's `at` is the time by the daemon's clock (Unix seconds), and its `part` is the component that
//! logs it; both may be absent.

use crate::config::{read_optional, ConfigError};
use serde::Deserialize;
use std::fmt::{self, Write};
use thiserror::Error;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// Path of the log's configuration file, relative to the daemon's working directory.
pub const FILE: &str = "deploy/log.toml";

/// The content of [`FILE`].
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    #[serde(default)]
    format: Format,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Format {
    #[default]
    Text,
    Json,
}

/// Why the log could not be opened.
#[derive(Debug, Error)]
pub enum LogError {
    /// The configuration file is invalid; the message names file, line and key.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
}

/// Writes the program's events to standard output from here on.
///
/// # Errors
/// If [`FILE`] is invalid.
pub fn init() -> Result<(), LogError> {
    let config = read_optional(FILE)?;
    let Config { format } = config.unwrap_or_default();
    // A second call in the same process, as in tests, leaves the first subscriber installed.
    let _ = tracing_subscriber::fmt().event_format(format).with_writer(std::io::stdout).try_init();
    Ok(())
}

/// A field of an event other than `at`, `part` and the message.
struct ExtraField {
    name: &'static str,
    value: String,
}

/// The fields of one event.
#[derive(Default)]
struct EventFields {
    /// Time (Unix seconds).
    at: Option<f64>,
    part: String,
    message: String,
    extra: Vec<ExtraField>,
}

impl EventFields {
    fn add(&mut self, name: &'static str, value: String) {
        self.extra.push(ExtraField { name, value });
    }

    fn write_text(&self, out: &mut Writer<'_>) -> fmt::Result {
        let mut line = self.at.map_or(String::new(), |at| format!("{at:.3} "));
        if !self.part.is_empty() {
            write!(line, "{}: ", self.part)?;
        }
        line += &self.message;
        for ExtraField { name, value } in &self.extra {
            write!(line, " {name}={value}")?;
        }
        // Each event is one line, even if a value contains line breaks.
        writeln!(out, "{}", line.replace(['\r', '\n'], " "))
    }

    fn write_json(self, level: &str, out: &mut Writer<'_>) -> fmt::Result {
        let mut object = serde_json::Map::new();
        object.extend(self.at.map(|at| ("at".into(), at.into())));
        object.insert("level".into(), level.to_lowercase().into());
        if !self.part.is_empty() {
            object.insert("part".into(), self.part.into());
        }
        object.insert("message".into(), self.message.into());
        for ExtraField { name, value } in self.extra {
            object.insert(name.into(), value.into());
        }
        writeln!(out, "{}", serde_json::Value::Object(object))
    }
}

impl Visit for EventFields {
    fn record_f64(&mut self, field: &Field, value: f64) {
        match field.name() {
            "at" => self.at = Some(value),
            name => self.add(name, value.to_string()),
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "part" => self.part = value.into(),
            name => self.add(name, value.into()),
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.add(name, format!("{value:?}")),
        }
    }
}

impl<S, N> FormatEvent<S, N> for Format
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = EventFields::default();
        event.record(&mut fields);
        match self {
            Format::Text => fields.write_text(&mut out),
            Format::Json => fields.write_json(event.metadata().level().as_str(), &mut out),
        }
    }
}
