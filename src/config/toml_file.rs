//! Optional TOML files.

use super::ConfigError;
use serde::de::DeserializeOwned;
use std::io::ErrorKind;

/// A file that was read.
pub struct ParsedFile<T> {
    /// The parsed content.
    pub content: T,
    /// The text, for checks that report a line number.
    pub text: String,
}

/// Reads a file; `None` if it is absent, which leaves the component that it configures disabled.
///
/// # Errors
/// [`ConfigError::Read`] or [`ConfigError::Toml`].
pub fn read_optional<T: DeserializeOwned>(path: &str) -> Result<Option<T>, ConfigError> {
    Ok(read_optional_with_text(path)?.map(|file| file.content))
}

/// Reads a file and also returns its text; `None` if it is absent.
///
/// # Errors
/// [`ConfigError::Read`] or [`ConfigError::Toml`].
pub fn read_optional_with_text<T: DeserializeOwned>(
    path: &str,
) -> Result<Option<ParsedFile<T>>, ConfigError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(ConfigError::Read { path: path.into(), source }),
    };
    let content = parse_toml(path, &text)?;
    Ok(Some(ParsedFile { content, text }))
}

/// Parses the text of the file `path`.
///
/// # Errors
/// [`ConfigError::Toml`], whose message is one line with path, line and key.
pub fn parse_toml<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|error| toml_error(path, text, error))
}

fn toml_error(path: &str, text: &str, error: toml::de::Error) -> ConfigError {
    let offset = error.span().map_or(0, |span| span.start);
    let line = line_number(text, offset);
    let key = text.lines().nth(line - 1).and_then(|line| line.split('=').next()).unwrap_or_default();
    // The parser's message may have several lines.
    let message = error.message().split_whitespace().collect::<Vec<_>>().join(" ");
    ConfigError::Toml { path: path.into(), line, key: key.trim().into(), message, source: Box::new(error) }
}

/// The number, from 1, of the line that contains the byte at `offset`.
pub fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
}
