//! The one thing that the coordinator reads in a statement: its group of tables.

/// Names of schemas that belong to no group.
const NO_GROUP: &str = "staging";

#[derive(Clone, Copy, PartialEq)]
enum Piece<'a> {
    Name(&'a str),
    Dot,
    Other,
}

/// The number after the underscore in the name of the schema that the statement reads or writes.
pub fn tables(statement: &str) -> Option<i64> {
    let pieces = pieces(statement);
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

/// Names and dots, without what stands in strings and comments.
fn pieces(statement: &str) -> Vec<Piece<'_>> {
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
        } else if let Some(comment) = rest.strip_prefix("/*") {
            at += comment.find("*/").map_or(rest.len(), |end| end + 4);
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
            piece = if first == b'.' { Piece::Dot } else { Piece::Other };
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
