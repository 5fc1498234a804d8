//! The trial from end to end: the real program, stand-in engines and directory, and a kill of an engine and
//! of a coordinator. Asserts only counts, never durations.

use std::process::Command;

#[test]
fn a_trial_counts_every_request_once_through_both_kills() {
    let trial = Command::new(env!("CARGO_BIN_EXE_dahliaspoke-simulator"))
        .args(["try", "--seconds", "4", "--load", "0.6", "--seed", "3"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&trial.stdout);
    let error = String::from_utf8_lossy(&trial.stderr);
    // On a busy machine the figures may be void (exit code 3); the counts must be right nevertheless.
    assert!(matches!(trial.status.code(), Some(0 | 3)), "{text}{error}");
    let count = |name: &str| -> usize {
        let line =
            text.lines().find(|line| line.starts_with(name)).unwrap_or_else(|| panic!("no {name}: {text}"));
        line[name.len()..].split_whitespace().next().and_then(|n| n.parse().ok()).expect("a count")
    };
    let due = count("requests that were due");
    assert!(due > 10, "{text}");
    assert_eq!(count("served") + count("turned away") + count("failed"), due, "{text}");
    assert!(count("served") > 0 && count("tries") >= count("served"), "{text}");
    assert!(text.contains("an engine is killed") && text.contains("a coordinator is killed"));
}

#[test]
fn invalid_arguments_are_reported() {
    let run = |arguments: &[&str]| {
        let result = Command::new(env!("CARGO_BIN_EXE_dahliaspoke-simulator"))
            .args(arguments)
            .output()
            .expect("the program starts");
        (result.status.code(), String::from_utf8_lossy(&result.stderr).into_owned())
    };
    let (code, error) = run(&["load", "--to", "192.0.2.1:80"]);
    assert!(code == Some(2) && error.contains("not on loopback"), "{error}");
    let (code, error) = run(&["run", "nothing.toml"]);
    assert!(code == Some(2) && error.contains("nothing.toml"), "{error}");
    let (code, error) = run(&["load", "--to", "127.0.0.1:1", "--class", "lookup:1"]);
    assert!(code == Some(2) && error.contains("NAME:SHARE:ALLOW_MS:SIZE_MS"), "{error}");
}
