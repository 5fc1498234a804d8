//! `.ci/known-red` skips exactly the listed tests, and fails on an invalid list.

use std::process::Command;

const LIST: &str =
    "a_list_is_read: test\nmodule::an_engine_dies: test\nthird: test\nfourth: test\nslow: benchmark\n";

/// Runs the script on a list with these lines; returns whether it succeeded, its standard output (arguments
/// for the test run) and its standard error.
fn known_red(lines: &str) -> (bool, String, String) {
    let folder = std::env::temp_dir().join(format!(
        "known-red-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, list) = (folder.join("KNOWN-RED.txt"), folder.join("list"));
    std::fs::write(&file, lines).expect("written");
    std::fs::write(&list, LIST).expect("written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let output = Command::new("bash").args([script.as_ref(), file.as_os_str(), list.as_os_str()]).output();
    let output = output.expect("bash runs");
    std::fs::remove_dir_all(&folder).expect("removed");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.success(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn an_empty_list_skips_no_tests() {
    assert_eq!(known_red("# nothing\n\n"), (true, String::new(), String::new()));
}

#[test]
fn listed_tests_are_skipped_and_reported() {
    let (accepted, arguments, stderr) =
        known_red("module::an_engine_dies | the link waits | issue 26\nthird | unknown yet | issue 3");
    assert!(accepted, "{stderr}");
    assert_eq!(arguments, "--skip\nmodule::an_engine_dies\n--skip\nthird\n--exact\n");
    assert!(
        stderr.contains("module::an_engine_dies: the link waits (issue 26)") && stderr.contains("third: "),
        "{stderr}"
    );
}

#[test]
fn invalid_lists_are_rejected() {
    let red = |name: &str| format!("{name} | a cause | issue 1\n");
    let four: String = ["a_list_is_read", "module::an_engine_dies", "third", "fourth"].map(red).concat();
    let wrong = [
        (four, "more than three"),
        (red("unknown"), "no test is called unknown"),
        (red("an_engine_dies"), "no test is called an_engine_dies"),
        (red("slow"), "no test is called slow"),
        (red("third") + &red("third"), "named twice"),
        ("third | a cause\n".into(), "not 'test"),
        ("third |  | issue 1\n".into(), "not 'test"),
        ("third | a cause | issue\n".into(), "not 'test"),
        ("third a cause issue 1\n".into(), "not 'test"),
    ];
    for (lines, reason) in wrong {
        let (accepted, _, stderr) = known_red(&lines);
        assert!(!accepted && stderr.contains(reason), "{lines}: {stderr}");
    }
}
