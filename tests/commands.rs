//! The daemon's command line and log: `check FILE`, usage errors, failed starts, JSON log lines.

mod daemon;
use daemon::*;
use std::process::Command;

fn check(name: &str, text: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("dahliaspoke-check-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    let done =
        Command::new(env!("CARGO_BIN_EXE_dahliaspoke")).arg("check").arg(&path).output().expect("it starts");
    std::fs::remove_dir_all(folder).expect("it was there");
    let printed = [done.stdout, done.stderr].concat();
    (done.status.success(), String::from_utf8(printed).expect("text"))
}

#[test]
fn check_reports_errors_in_files_and_accepts_valid_ones() {
    let member = "listen = \"127.0.0.1:0\"\nfolder = \"store\"\n[peers]\nc1 = \"127.0.0.1:1\"\n";
    let wrong = [
        ("store.toml", format!("{member}c2 = \"nowhere\"\n"), "line 5, \"c2\""),
        ("store.toml", format!("colour = 1\n{member}"), "line 1, \"colour\""),
        ("store.toml", "folder = \"store\"\n".to_string(), "listen: a member"),
        ("log.toml", "format = \"xml\"\n".to_string(), "line 1, \"format\""),
        ("config.json", "{".to_string(), "not JSON"),
        ("other.toml", String::new(), "reads no file of this name"),
    ];
    for (name, text, why) in wrong {
        let (taken, printed) = check(name, &text);
        assert!(!taken && printed.contains(why), "{name}: {printed}");
    }
    assert!(check("store.toml", member).0);
    assert!(check("config.json", &config(&[], "127.0.0.1:1".parse().expect("an address"))).0);
}

#[test]
fn check_accepts_every_example_under_deploy() {
    for entry in std::fs::read_dir("deploy").expect("it is there") {
        let path = entry.expect("readable").path();
        if path.extension().is_some_and(|ending| ending == "example") {
            let name = path.file_name().and_then(|name| name.to_str()).expect("text").to_string();
            let (taken, printed) = check(&name, &std::fs::read_to_string(&path).expect("readable"));
            assert!(taken, "{printed}");
        }
    }
}

#[test]
fn log_lines_are_json_if_configured() {
    let names = names();
    let text =
        config(&[("e1", "127.0.0.1:1".parse().expect("an address"))], names.local_addr().expect("bound"));
    let mut daemon = Daemon::start(&text, &[("log.toml", "format = \"json\"\n".into())], None);
    daemon.signal("TERM");
    daemon.child.wait().expect("it ends");
    let lines: Vec<String> = daemon.lines.iter().collect();
    assert!(!lines.is_empty());
    for line in lines {
        let object: serde_json::Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
        assert!(object["message"].is_string() && object["level"] == "info", "{line}");
    }
}

/// Runs the program until it exits; returns its exit code and its standard error.
fn failure(arguments: &[&str], configuration: Option<&std::path::Path>) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliaspoke"));
    command
        .args(arguments)
        .env_remove("NODE_CONFIG")
        .env_remove("NODE_CONSOLE")
        .env_remove("NODE_INHERITED_FD");
    if let Some(path) = configuration {
        command.env("NODE_CONFIG", path);
    }
    let output = command.output().expect("the program starts");
    (output.status.code(), String::from_utf8(output.stderr).expect("text"))
}

#[test]
fn invalid_command_line_is_reported_and_fails() {
    for arguments in [&["start"][..], &["check"], &["check", "a", "b"], &["--colour"], &[""]] {
        let (code, text) = failure(arguments, None);
        assert_eq!(code, Some(1), "{arguments:?}: {text}");
        assert!(text.starts_with("dahliaspoke: ") && text.ends_with('\n'), "{arguments:?}: {text}");
    }
}

#[test]
fn failed_start_reports_its_reason_in_one_line() {
    let missing = failure(&[], None);
    assert_eq!(missing, (Some(1), "dahliaspoke: NODE_CONFIG: environment variable not found\n".into()));
    let occupant = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = occupant.local_addr().expect("bound");
    let text = config(&[], "127.0.0.1:1".parse().expect("an address"));
    let path = std::env::temp_dir().join(format!("dahliaspoke-start-{}.json", std::process::id()));
    for key in ["listen", "console"] {
        let other = text.replace(&format!("\"{key}\":\"127.0.0.1:0\""), &format!("\"{key}\":\"{taken}\""));
        std::fs::write(&path, other).expect("written");
        let (code, text) = failure(&[], Some(&path));
        assert_eq!(code, Some(1), "{text}");
        assert_eq!(text, format!("dahliaspoke: {key} {taken}: Address already in use (os error 98)\n"));
    }
    std::fs::remove_file(path).expect("it was there");
}
