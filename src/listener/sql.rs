//! Extracts what the coordinator needs from a statement: its table group, parameters, first words and hints.
//! It is not a parser: of SQL's syntax it only knows where strings and comments start and end.

/// Schemas with this name before the last underscore belong to no table group.
const UNGROUPED_SCHEMA: &str = "staging";
/// Keywords that are followed by a table, not by a column.
const TABLE_KEYWORDS: &[&str] = &["from", "join", "into", "update", "table"];
/// The first word of a comment with hints for the coordinator.
const HINT_PREFIX: &str = "dahliaspoke";
/// The optimizer hint for the time limit (ms), in lower case.
const TIME_LIMIT_HINT: &str = "max_execution_time(";

/// A token of a statement, as far as this module distinguishes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'a> {
    /// A keyword, or the name of a schema, a table or a column.
    Name(&'a str),
    Dot,
    /// A placeholder (`?`) for a parameter of a prepared statement.
    Parameter,
    Other,
}

/// Hints in the comments of a statement.
#[derive(Debug, Default, PartialEq)]
pub struct Hints {
    /// How long the client waits (ms): `MAX_EXECUTION_TIME(n)` in an optimizer hint.
    pub deadline_ms: Option<f64>,
    /// The idempotency key: `key=` in a comment that starts with `dahliaspoke`, like the fields below.
    pub key: Option<String>,
    /// Estimated work (ms of one thread).
    pub estimate_ms: Option<f64>,
    /// Estimated memory (MB).
    pub memory_mb: Option<f64>,
}

impl Hints {
    fn read_comment(&mut self, comment: &str) {
        if let Some(hint) = comment.strip_prefix('+') {
            self.deadline_ms = time_limit(hint).or(self.deadline_ms);
        }
        if let Some(fields) = comment.trim().strip_prefix(HINT_PREFIX) {
            for (name, value) in fields.split_whitespace().filter_map(|field| field.split_once('=')) {
                self.read_field(name, value);
            }
        }
    }

    fn read_field(&mut self, name: &str, value: &str) {
        match name {
            "key" => self.key = Some(value.into()),
            "estimate_ms" => self.estimate_ms = value.parse().ok(),
            "memory_mb" => self.memory_mb = value.parse().ok(),
            _ => {}
        }
    }
}

fn time_limit(hint: &str) -> Option<f64> {
    let hint = hint.to_ascii_lowercase();
    let (_, rest) = hint.split_once(TIME_LIMIT_HINT)?;
    rest.split(')').next()?.trim().parse().ok()
}

/// The number of parameter placeholders in a statement.
pub fn parameter_count(statement: &str) -> usize {
    Tokenizer::new(statement).filter(|token| *token == Token::Parameter).count()
}

/// The first words of a statement, at most `max_count`, in lower case and without comments.
pub fn first_words(statement: &str, max_count: usize) -> Vec<String> {
    let names = Tokenizer::new(statement).map_while(|token| match token {
        Token::Name(name) => Some(name.to_ascii_lowercase()),
        _ => None,
    });
    names.take(max_count).collect()
}

/// Whether a statement sets a user variable, as in `SELECT @row := 1` or `INTO @total`.
pub fn sets_variable(statement: &str) -> bool {
    let lower_case = statement.to_ascii_lowercase();
    let one_line = lower_case.split_whitespace().collect::<Vec<_>>().join(" ");
    one_line.contains(" into @") || one_line.contains('@') && one_line.contains(":=")
}

/// The hints in a statement's comments.
pub fn hints(statement: &str) -> Hints {
    let mut hints = Hints::default();
    let mut tokenizer = Tokenizer::new(statement);
    tokenizer.by_ref().for_each(drop);
    for comment in tokenizer.comments {
        hints.read_comment(comment);
    }
    hints
}

/// The table group of a statement: the number after the underscore in the name of the schema that it reads or writes.
pub fn table_group(statement: &str) -> Option<i64> {
    let tokens: Vec<Token> = Tokenizer::new(statement).collect();
    let mut first_group = None;
    for (index, token) in tokens.iter().enumerate() {
        let Token::Name(name) = *token else { continue };
        let previous = index.checked_sub(1).map(|previous| tokens[previous]);
        let is_qualifier = tokens.get(index + 1) == Some(&Token::Dot) && previous != Some(Token::Dot);
        if !is_qualifier {
            continue;
        }
        let Some(group) = schema_group(name) else { continue };
        // A qualifier elsewhere may be a table alias before a column that only looks like a schema.
        if previous.is_some_and(is_table_keyword) {
            return Some(group);
        }
        first_group = first_group.or(Some(group));
    }
    first_group
}

fn is_table_keyword(token: Token) -> bool {
    let Token::Name(name) = token else { return false };
    TABLE_KEYWORDS.iter().any(|keyword| name.eq_ignore_ascii_case(keyword))
}

fn schema_group(schema: &str) -> Option<i64> {
    let (stem, number) = schema.rsplit_once('_')?;
    let is_number = !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || stem.eq_ignore_ascii_case(UNGROUPED_SCHEMA) {
        return None;
    }
    number.parse().ok()
}

/// Splits a statement into tokens, and collects its `/* */` comments.
struct Tokenizer<'a> {
    /// The part of the statement that has not been read.
    rest: &'a str,
    comments: Vec<&'a str>,
}

impl<'a> Tokenizer<'a> {
    fn new(statement: &'a str) -> Self {
        Self { rest: statement, comments: Vec::new() }
    }

    /// Skips white space and comments.
    fn skip_blanks(&mut self) {
        loop {
            self.rest = self.rest.trim_start_matches(|character: char| character.is_ascii_whitespace());
            if self.rest.starts_with("--") || self.rest.starts_with('#') {
                self.advance(self.rest.find('\n').unwrap_or(self.rest.len()));
            } else if let Some(text) = self.rest.strip_prefix("/*") {
                let length = text.find("*/").unwrap_or(text.len());
                self.comments.push(&text[..length]);
                self.advance((length + "/**/".len()).min(self.rest.len()));
            } else {
                return;
            }
        }
    }

    /// Advances by `length` bytes, and returns them.
    fn advance(&mut self, length: usize) -> &'a str {
        let (consumed, rest) = self.rest.split_at(length);
        self.rest = rest;
        consumed
    }

    /// Reads a word, or a single character that is not part of a word, so that each call makes progress.
    fn read_word(&mut self) -> &'a str {
        let is_word = |character: char| character.is_alphanumeric() || character == '_' || character == '$';
        let length = self.rest.find(|character| !is_word(character)).unwrap_or(self.rest.len());
        let min_length = self.rest.chars().next().map_or(1, char::len_utf8);
        self.advance(length.max(min_length))
    }
}

impl<'a> Iterator for Tokenizer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        self.skip_blanks();
        let first = *self.rest.as_bytes().first()?;
        Some(match first {
            b'\'' => {
                self.advance(quoted_length(self.rest.as_bytes(), Escapes::Backslash));
                Token::Other
            }
            // Double quotes enclose a name next to a dot, otherwise a string; both become names here.
            b'`' | b'"' => {
                let quoted = self.advance(quoted_length(self.rest.as_bytes(), Escapes::None));
                Token::Name(quoted.trim_matches(first as char))
            }
            b'_' | 0x80.. => Token::Name(self.read_word()),
            _ if first.is_ascii_alphanumeric() => Token::Name(self.read_word()),
            _ => {
                self.advance(1);
                match first {
                    b'.' => Token::Dot,
                    b'?' => Token::Parameter,
                    _ => Token::Other,
                }
            }
        })
    }
}

/// Whether a backslash escapes the next byte in quoted text.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escapes {
    Backslash,
    None,
}

/// Length of the quoted text at the start, including its quotes (bytes). A doubled quote is an escaped quote.
fn quoted_length(text: &[u8], escapes: Escapes) -> usize {
    let quote = text[0];
    let mut index = 1;
    while index < text.len() {
        if escapes == Escapes::Backslash && text[index] == b'\\' {
            index += 2;
        } else if text[index] != quote {
            index += 1;
        } else if text.get(index + 1) == Some(&quote) {
            index += 2;
        } else {
            return index + 1;
        }
    }
    text.len()
}
