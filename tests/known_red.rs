//! `.ci/known-red` passes over just the tests that it is told of, and fails on whatever it cannot take at its word.

use std::process::Command;

const LIST: &str =
    "a_list_is_read: test\nmodule::an_engine_dies: test\nthird: test\nfourth: test\nslow: benchmark\n";

/// Whether it takes that file, its arguments for the test run, and what it tells.
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
fn none_is_passed_over_where_none_is_named() {
    assert_eq!(known_red("# nothing\n\n"), (true, String::new(), String::new()));
}

#[test]
fn those_that_are_named_are_passed_over_and_told() {
    let (taken, arguments, told) =
        known_red("module::an_engine_dies | the link waits | issue 26\nthird | unknown yet | issue 3");
    assert!(taken, "{told}");
    assert_eq!(arguments, "--skip\nmodule::an_engine_dies\n--skip\nthird\n--exact\n");
    assert!(
        told.contains("module::an_engine_dies: the link waits (issue 26)") && told.contains("third: "),
        "{told}"
    );
}

#[test]
fn what_cannot_be_taken_at_its_word_fails() {
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
    for (lines, why) in wrong {
        let (taken, _, told) = known_red(&lines);
        assert!(!taken && told.contains(why), "{lines}: {told}");
    }
}
