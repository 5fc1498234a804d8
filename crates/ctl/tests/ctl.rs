//! Output and exit codes of `dahliaspoke-ctl`, run against a scripted member.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

/// Starts a member that accepts one connection per answer and replies to its first request with that answer. The thread
/// returns the requests.
fn member(answers: &'static [&'static str]) -> (SocketAddr, std::thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let requests = std::thread::spawn(move || {
        let answer = |answer: &&str| {
            let (mut stream, _) = listener.accept().expect("accept a connection");
            let mut request = [0; 4096];
            let count = stream.read(&mut request).expect("read the request");
            stream.write_all(answer.as_bytes()).expect("send the answer");
            String::from_utf8_lossy(&request[..count]).into_owned()
        };
        answers.iter().map(answer).collect()
    });
    (address, requests)
}

fn run(store: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliaspoke-ctl"));
    command.env_remove("DAHLIASPOKE_STORE").args(["--store", store, "--give-up-ms", "3000"]).args(arguments);
    command.output().expect("start dahliaspoke-ctl")
}

/// Exit code, standard output, standard error.
fn exit_and_output(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("exit code"), text(&output.stdout), text(&output.stderr))
}

#[test]
fn a_change_is_retried_in_one_session_until_the_leader_answers() {
    let (address, requests) =
        member(&["-LEADER c1 127.0.0.1:1\r\n", "-UNKNOWN it may count\r\n", "+OK 17\r\n"]);
    let (code, out, _) = exit_and_output(&run(&address.to_string(), &["set", "k", "v"]));
    assert_eq!((code, out.as_str()), (0, "OK 17\n"));
    let requests = requests.join().expect("no panic");
    assert!(
        requests[0].contains("SESSION") && requests.iter().all(|request| *request == requests[0]),
        "{requests:?}"
    );
}

#[test]
fn a_refused_call_exits_with_1_and_prints_the_reason() {
    let (address, _) = member(&["-ERR settings: classes: cannot change\r\n"]);
    let (code, _, stderr_text) = exit_and_output(&run(&address.to_string(), &["set", "settings", "{}"]));
    assert_eq!(code, 1);
    assert!(stderr_text.contains("settings: classes: cannot change"), "{stderr_text}");
    let (address, _) = member(&["-OTHER 9 k has version 9\r\n"]);
    assert_eq!(exit_and_output(&run(&address.to_string(), &["cas", "k", "3", "v"])).0, 1);
    let (address, _) = member(&["$-1\r\n"]);
    assert_eq!(exit_and_output(&run(&address.to_string(), &["get", "k"])).0, 1);
}

#[test]
fn member_add_succeeds_only_once_the_change_is_committed() {
    const CHANGING: &str =
        "$72\r\nname=c0 role=leader term=1\nchanging=9\nmember=c1 127.0.0.1:1 voter has=9\n\r\n";
    const DONE: &str = "$61\r\nname=c0 role=leader term=1\nmember=c1 127.0.0.1:1 voter has=9\n\r\n";
    const ANSWERS: [&str; 3] = [CHANGING, "-REFUSED another change of members is under way\r\n", DONE];
    let (address, requests) = member(&ANSWERS);
    let (code, out, _) = exit_and_output(&run(&address.to_string(), &["member", "add", "c1"]));
    assert_eq!((code, out.as_str()), (0, "c1 counts\n"));
    let requests = requests.join().expect("no panic");
    assert!(requests[1].contains("ADD") && requests[2].contains("STATUS"), "{requests:?}");
}

#[test]
fn usage_errors_unavailability_and_unknown_outcomes_have_distinct_exit_codes() {
    assert_eq!(exit_and_output(&run("127.0.0.1:1", &["sett"])).0, 2);
    assert_eq!(exit_and_output(&run("nowhere", &["status"])).0, 2);
    assert_eq!(exit_and_output(&run("127.0.0.1:1", &["set", "k", "v"])).0, 3);
    let (address, _) = member(&["-UNKNOWN it may count\r\n"]);
    assert_eq!(exit_and_output(&run(&address.to_string(), &["set", "k", "v"])).0, 4);
}

#[test]
fn watch_exits_after_printing_count_changes() {
    const EVENTS: &str =
        "*3\r\n$2\r\nAT\r\n$1\r\n4\r\n$1\r\n0\r\n*4\r\n$3\r\nPUT\r\n$1\r\n5\r\n$1\r\nk\r\n$1\r\nv\r\n\
                 *3\r\n$4\r\nGONE\r\n$1\r\n6\r\n$1\r\nk\r\n";
    let (address, requests) = member(&[EVENTS]);
    let (code, out, _) =
        exit_and_output(&run(&address.to_string(), &["watch", "--from", "4", "--count", "2"]));
    assert_eq!((code, out.as_str()), (0, "5 k v\n6 k\n"));
    assert!(requests.join().expect("no panic")[0].contains("WATCH"));
}

#[test]
fn take_over_imports_a_gossip_store_file_and_keeps_existing_values() {
    let file = std::env::temp_dir().join(format!("dahliaspoke-ctl-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"engines":[3,"n1","[]"],"settings":[5,"n2","{}"]}"#).expect("write the file");
    let (address, requests) = member(&["+OK 7\r\n", "-OTHER 2 settings has version 2\r\n"]);
    let (code, out, _) = exit_and_output(&run(&address.to_string(), &["take-over", &file.to_string_lossy()]));
    std::fs::remove_file(&file).expect("remove the file");
    assert_eq!(code, 0);
    assert_eq!(out, "engines: OK 7\nsettings: stays as it is: 2 settings has version 2\n");
    assert!(requests.join().expect("no panic").iter().all(|request| request.contains("CAS")));
}
