//! Limits on the length and width of source files, to keep them readable.

use std::path::{Path, PathBuf};

/// Maximum length of a source file (lines, comments included).
const MAX_LINES: usize = 400;
/// Maximum width of a line (characters); rustfmt does not enforce its limit in string literals and comments.
const MAX_WIDTH: usize = 140;

/// Collects all Rust files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn source_files_keep_their_length_and_width_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    for package in std::fs::read_dir(root.join("crates")).expect("the packages") {
        sources(&package.expect("a package").path().join("src"), &mut files);
    }
    for path in files {
        let name = path.strip_prefix(root).expect("below the root").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).expect("a source file");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{name}: {lines} lines, {MAX_LINES} at most");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_WIDTH, "{name}:{}: too wide", number + 1);
        }
    }
}

#[test]
fn policy_files_keep_their_line_width() {
    let mut files = Vec::new();
    sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy"), &mut files);
    for path in files {
        let text = std::fs::read_to_string(&path).expect("a source file");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{}:{}: too wide", path.display(), number + 1);
        }
    }
}
