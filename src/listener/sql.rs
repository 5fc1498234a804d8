//! What the coordinator reads in a statement: its group of tables, its parameters, its first words, its
//! hints. It understands no more of SQL than where strings and comments begin and end.

/// Names of schemas that belong to no group.
const NO_GROUP: &str = "staging";

#[derive(Clone, Copy, PartialEq)]
enum Piece<'a> {
    Name(&'a str),
    Dot,
    Parameter,
    Other,
}

/// What stands in a statement's hints.
#[derive(Debug, Default, PartialEq)]
pub struct Hints {
    /// `MAX_EXECUTION_TIME(n)` in an optimizer hint.
    pub deadline_ms: Option<f64>,
    /// `key=` in a comment that begins with `dahliaspoke`.
    pub key: Option<String>,
    pub estimate_ms: Option<f64>,
    pub memory_mb: Option<f64>,
}

/// Parameters of a statement that is to be prepared.
pub fn parameters(statement: &str) -> usize {
    pieces(statement, |_| {}).iter().filter(|piece| **piece == Piece::Parameter).count()
}

/// The first words of a statement, in lower case and without comments.
pub fn words(statement: &str, count: usize) -> Vec<String> {
    let names = pieces(statement, |_| {}).into_iter().map_while(|piece| match piece {
        Piece::Name(name) => Some(name.to_ascii_lowercase()),
        _ => None,
    });
    names.take(count).collect()
}

/// Whether a statement sets a user variable, as in `SELECT @row := 1` or `INTO @total`.
pub fn sets_variable(statement: &str) -> bool {
    let flat = statement.to_ascii_lowercase().split_whitespace().collect::<Vec<_>>().join(" ");
    flat.contains(" into @") || flat.contains('@') && flat.contains(":=")
}

/// The hints in a statement's comments.
pub fn hints(statement: &str) -> Hints {
    let mut hints = Hints::default();
    pieces(statement, |comment| {
        if let Some(hint) = comment.strip_prefix('+') {
            let lower = hint.to_ascii_lowercase();
            let value = lower.split_once("max_execution_time(").and_then(|(_, rest)| rest.split(')').next());
            hints.deadline_ms = value.and_then(|v| v.trim().parse().ok()).or(hints.deadline_ms);
        }
        let Some(fields) = comment.trim().strip_prefix("dahliaspoke") else { return };
        for (name, value) in fields.split_whitespace().filter_map(|field| field.split_once('=')) {
            match name {
                "key" => hints.key = Some(value.into()),
                "estimate_ms" => hints.estimate_ms = value.parse().ok(),
                "memory_mb" => hints.memory_mb = value.parse().ok(),
                _ => {}
            }
        }
    });
    hints
}

/// The number after the underscore in the name of the schema that the statement reads or writes.
pub fn tables(statement: &str) -> Option<i64> {
    let pieces = pieces(statement, |_| {});
    let mut any = None;
    for (at, piece) in pieces.iter().enumerate() {
        let Piece::Name(name) = *piece else { continue };
        if pieces.get(at + 1) != Some(&Piece::Dot) || at > 0 && pieces[at - 1] == Piece::Dot {
            continue;
        }
        let Some(number) = group(name) else { continue };
        // An alias before a column may look like a schema; what stands after these words is one.
        let before = at.checked_sub(1).map(|b| pieces[b]);
        let table = matches!(before, Some(Piece::Name(word))
            if ["from", "join", "into", "update", "table"].iter().any(|w| word.eq_ignore_ascii_case(w)));
        if table {
            return Some(number);
        }
        any = any.or(Some(number));
    }
    any
}

fn group(schema: &str) -> Option<i64> {
    let (stem, number) = schema.rsplit_once('_')?;
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    (digits && !stem.eq_ignore_ascii_case(NO_GROUP)).then(|| number.parse().ok()).flatten()
}

/// Names, dots and parameters, without what stands in strings; comments go to `comment`.
fn pieces<'a>(statement: &'a str, mut comment: impl FnMut(&'a str)) -> Vec<Piece<'a>> {
    let bytes = statement.as_bytes();
    let mut pieces = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &statement[at..];
        let first = bytes[at];
        let piece;
        if rest.starts_with("--") || first == b'#' {
            at += rest.find('\n').unwrap_or(rest.len());
            continue;
        } else if let Some(text) = rest.strip_prefix("/*") {
            let length = text.find("*/").unwrap_or(text.len());
            comment(&text[..length]);
            at += (length + 4).min(rest.len());
            continue;
        } else if first.is_ascii_whitespace() {
            at += 1;
            continue;
        } else if first == b'\'' {
            at += quoted(rest.as_bytes(), true);
            piece = Piece::Other;
        } else if first == b'`' || first == b'"' {
            let length = quoted(rest.as_bytes(), false);
            at += length;
            // In double quotes stands a name where a dot is next to it, and a string elsewhere.
            piece = Piece::Name(rest[..length].trim_matches(first as char));
        } else if first.is_ascii_alphanumeric() || first == b'_' || first >= 0x80 {
            let word = |c: char| c.is_alphanumeric() || c == '_' || c == '$';
            // A letter that is no word's part passes by itself, so that this always moves on.
            let length = rest.find(|c| !word(c)).unwrap_or(rest.len());
            let length = length.max(rest.chars().next().map_or(1, char::len_utf8));
            at += length;
            piece = Piece::Name(&rest[..length]);
        } else {
            at += 1;
            piece = match first {
                b'.' => Piece::Dot,
                b'?' => Piece::Parameter,
                _ => Piece::Other,
            };
        }
        pieces.push(piece);
    }
    pieces
}

/// Bytes up to the end of the quoted text at the start; a doubled quote stands for itself.
fn quoted(text: &[u8], escapes: bool) -> usize {
    let mut at = 1;
    while at < text.len() {
        if escapes && text[at] == b'\\' {
            at += 2;
        } else if text[at] != text[0] {
            at += 1;
        } else if text.get(at + 1) == Some(&text[0]) {
            at += 2;
        } else {
            return at + 1;
        }
    }
    text.len()
}
