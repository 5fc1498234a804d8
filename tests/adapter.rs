//! The simulator adapter as a child process, with hand-written input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn feed(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dahliaspoke-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // The adapter may exit before it has read all input; a failed write is no test failure.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

const CREATE: &str = r#"["create",0,11,{"classes":[{"name":"q","effect":"repeatable","objective":0.5,"giveUp":2.0,"importance":1,"novelty":[1]}],"flavors":["std"],"familyInfo":{"classThreads":[1],"sizeCores":[8]},"fleetSize":1,"limits":{"tryLimit":3,"retryAfter":true,"maxRetryAfter":0.5},"report":{"columns":["q","brand_new","x0"]},"rules":{"coldShare":0.3,"cold":14,"fallMultiple":2,"overloadFor":1},"granularity":0.005,"unheard":7}]"#;
const LIST: &str =
    r#"["catalog",0,[["node-a","room","std",0,"ready",1,null]]],["membership",0,0,1,"restored"]"#;

fn setup_batch() -> String {
    format!(r#"{{"moment":1.0,"input":[{CREATE},{LIST}]}}"#)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("plain text")
}

#[test]
fn query_is_placed_and_its_outcome_accepted() {
    let knock = r#"{"moment":1.1,"input":[["knock",0,"rq_1","q",null,null,1.9,0.1,0,1,1]]}"#;
    let ended = r#"{"moment":1.2,"input":[["ended",0,"rq_1",0.1,"node-a",0,"success",true,0,[3,5,0.4]]]}"#;
    let late = r#"{"moment":1.3,"input":[["withdrawn",0,"rq_1"],["due",0,1]]}"#;
    let out = feed(&[&setup_batch(), knock, ended, late]);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let stdout = text(&out.stdout);
    let replies: Vec<&str> = stdout.lines().collect();
    assert_eq!(replies.len(), 4);
    assert!(replies[1].contains(r#"["place",0,"rq_1","node-a","#), "{}", replies[1]);
    assert_eq!(replies[2], r#"{"outbox":[]}"#);
    assert_eq!(replies[3], r#"{"outbox":[]}"#);
}

#[test]
fn catalog_slots_are_resolved_in_event_order_and_instances_are_separate() {
    let create1 = CREATE.replacen("\"create\",0", "\"create\",1", 1);
    let lists = r#"["catalog",0,[["node-a","z","std",0,"ready",1,null]]],["membership",0,0,1,"restored"],["catalog",0,[["node-b","z","std",0,"ready",1,null]]],["membership",1,0,1,"restored"]"#;
    let first = format!(r#"{{"moment":1.0,"input":[{CREATE},{create1},{lists}]}}"#);
    let knocks = r#"{"moment":1.1,"input":[["knock",0,"rq_1","q",null,null,1.9,0.1,0,1,1],["knock",1,"rq_1","q",null,null,1.9,0.1,0,1,1]]}"#;
    let stdout = text(&feed(&[&first, knocks]).stdout);
    assert!(
        stdout.contains(r#"["place",0,"rq_1","node-a""#) && stdout.contains(r#"["place",1,"rq_1","node-b""#)
    );
}

#[test]
fn spill_report_leads_to_a_retry_with_a_larger_grant() {
    let create = CREATE.replacen("\"sizeCores\"", "\"grantsCount\":true,\"notePeriod\":2,\"sizeCores\"", 1);
    // With a single engine, a retry there is allowed only with hedging (`parallelTries`).
    let limits = "\"cancel\":true,\"parallelTries\":true,\"tryLimit\":3";
    let create = create.replacen("\"tryLimit\":3", limits, 1);
    let first = format!(r#"{{"moment":1.0,"input":[{create},{LIST}]}}"#);
    let knock = r#"{"moment":1.1,"input":[["knock",0,"rq_1","q",null,null,1.9,0.1,384,1,1]]}"#;
    let spills = r#"{"moment":1.105,"input":[["interim",0,"rq_1",0,"node-a",2,100],["interim",0,"rq_1",0,"node-a",9,1]]}"#;
    let ended = r#"{"moment":1.11,"input":[["ended",0,"rq_1",0.01,"node-a",0,"withdrawn",false,0,null],["probeResult",0,0.001,"node-a","success",[3]]]}"#;
    let stdout = text(&feed(&[&first, knock, spills, ended]).stdout);
    let replies: Vec<&str> = stdout.lines().collect();
    assert!(replies[1].contains(r#"["limitsFor",0,"rq_1",384.0,"#), "{}", replies[1]);
    assert_eq!(replies[2], r#"{"outbox":[["recall",0,"rq_1",0]]}"#);
    assert!(replies[3].contains(r#"["limitsFor",0,"rq_1",484.0,"#), "{}", replies[3]);
}

#[test]
fn adapter_exits_cleanly_at_end_of_input() {
    let out = feed(&[r#"{"moment":0.5,"input":[]}"#]);
    assert!(out.status.success());
    assert_eq!(text(&out.stdout), "{\"outbox\":[]}\n");
    assert!(out.stderr.is_empty());
}

#[test]
fn adapter_exits_with_a_one_line_message_on_bad_input() {
    let cases = [
        ("this is no JSON", "not JSON"),
        (r#"[1,2]"#, "a batch is not an object"),
        (r#"{"moment":"x","input":[]}"#, "moment is not a number"),
        (r#"{"moment":1}"#, "input is not a list"),
        (r#"{"moment":1,"input":[["knock",9,"rq_1","q",null,null,1]]}"#, "no such instance 9"),
        (r#"{"moment":1,"input":[["shutdown",9]]}"#, "no such instance"),
        (r#"{"moment":1,"input":[["knock",0,"rq_1","nope",null,null,1]]}"#, "unknown class"),
        (r#"{"moment":1,"input":[["knock",0,"rq_1","q",null,null,"soon"]]}"#, "value 6 is not a number"),
        (r#"{"moment":1,"input":[["ended",0,"rq_1",0.1,"n",0,"odd",true]]}"#, "unknown outcome odd"),
        (r#"{"moment":1,"input":[["membership",0,7,1,"update"]]}"#, "no such catalog slot"),
        (r#"{"moment":1,"input":[["create",1,5,{"classes":4}]]}"#, "setting classes is not a list"),
        (r#"{"moment":1,"input":[["interim",0,"rq_1",0,"node-a",1,"x"]]}"#, "value 6 is not a number"),
        (r#"{"moment":1,"input":[["due",0,-4]]}"#, "value 2 is not a whole number"),
        (r#"{"moment":1,"input":[[]]}"#, "an event has no name"),
    ];
    for (line, reason) in cases {
        let out = feed(&[&setup_batch(), line]);
        let stderr = text(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{line}");
        assert!(stderr.contains("line 2: ") && stderr.contains(reason), "{line}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert_eq!(text(&out.stdout).lines().count(), 1, "only replies on standard output");
    }
}
