//! Request and attempt state in the core's request table, and the derived classes.

#[path = "../src/core/derived_classes.rs"]
mod derived_classes;
#[path = "../src/core/request.rs"]
#[allow(dead_code)]
mod request;
#[path = "../src/core/request_table.rs"]
#[allow(dead_code)]
mod request_table;

mod net {
    pub type Time = f64;
}

use dahliaspoke::policy::{Idempotency, RequestId, Settings};
use dahliaspoke::settings::{object, parse_settings};
use derived_classes::DerivedClasses;
use request::{QueryPayload, Request};
use request_table::{AttemptId, RequestState, RequestStatus, RequestTable};
use serde_json::json;

fn request(id: &str, class: usize) -> Request {
    Request {
        route: 0,
        id: id.into(),
        class,
        tenant: None,
        order_key: None,
        deadline: 3.0,
        estimated_work: None,
        estimated_memory: None,
        table_group: -1,
        uploading: false,
        payload: QueryPayload::default(),
    }
}

/// A table with one request, and the request's id.
fn table() -> (RequestTable, RequestId) {
    let mut table = RequestTable::default();
    let id = RequestId::from("r1");
    table.insert(id.clone(), RequestState::new(request("r1", 0)));
    (table, id)
}

fn attempt(id: &RequestId, number: u32) -> AttemptId {
    AttemptId { request: id.clone(), number }
}

#[test]
fn a_request_is_closed_once() {
    let (mut table, id) = table();
    assert!(table.is_open(&id));
    assert_eq!(table.open_count(), 1);
    assert!(table.close(&id, RequestStatus::Answered).is_some());
    assert!(table.close(&id, RequestStatus::Withdrawn).is_none());
    assert!(!table.is_open(&id));
    assert_eq!(table.open_count(), 0);
    assert!(table.close(&"r2".into(), RequestStatus::Answered).is_none(), "unknown request");
}

#[test]
fn an_attempt_ends_once() {
    let (mut table, id) = table();
    assert!(!table.end_attempt(&attempt(&id, 0)), "no attempt yet");
    assert_eq!(table.get_mut(&id).expect("a known request").add_running_attempt(), 0);
    assert_eq!(table.get_mut(&id).expect("a known request").add_ended_attempt(), 1);
    assert!(table.is_running(&attempt(&id, 0)));
    assert!(!table.is_running(&attempt(&id, 1)));
    assert!(!table.end_attempt(&attempt(&id, 1)));
    assert!(table.end_attempt(&attempt(&id, 0)));
    assert!(!table.end_attempt(&attempt(&id, 0)));
    assert!(!table.is_running(&attempt(&id, 0)));
}

#[test]
fn a_request_is_removed_once_it_is_closed_and_its_attempts_have_ended() {
    let (mut table, id) = table();
    table.get_mut(&id).expect("a known request").add_running_attempt();
    table.remove_finished(&id);
    assert!(table.get(&id).is_some(), "still open");
    table.close(&id, RequestStatus::Answered);
    table.remove_finished(&id);
    assert!(table.get(&id).is_some(), "an attempt is running");
    table.end_attempt(&attempt(&id, 0));
    table.remove_finished(&id);
    assert!(table.get(&id).is_none());
}

#[test]
fn set_terms_returns_running_attempts_whose_priority_changed() {
    let (mut table, id) = table();
    let request = table.get_mut(&id).expect("a known request");
    request.add_running_attempt();
    request.add_ended_attempt();
    assert!(request.set_terms(Some(64.0), 1).is_empty(), "unchanged priority");
    assert_eq!(request.set_terms(Some(64.0), 3), [0]);
    request.add_running_attempt();
    assert!(request.set_terms(None, 3).is_empty());
    assert_eq!(request.set_terms(None, 2), [0, 2]);
    assert_eq!((request.memory, request.priority), (None, 2));
}

fn settings() -> Settings {
    let value = json!({"classes": [
        {"name": "always", "effect": "repeatable"},
        {"name": "keyed", "effect": "by_key"},
        {"name": "never", "effect": "once"},
    ]});
    parse_settings(object(&value, "settings").expect("an object")).expect("valid settings")
}

/// For each class: the class applied to a request with a key, without a key, and with a pass-through body.
fn derived(may_pass_through: bool) -> (Settings, Vec<[usize; 3]>) {
    let mut settings = settings();
    let classes = DerivedClasses::append_to(&mut settings, may_pass_through);
    let class_of = |class: usize| {
        let without_key = request("r1", class);
        let mut with_key = request("r1", class);
        with_key.payload.idempotency_key = Some("key".into());
        let passed_through = Request { uploading: true, ..with_key.clone() };
        [with_key, without_key, passed_through].map(|request| classes.class_of(&request))
    };
    let by_class = (0..3).map(class_of).collect();
    (settings, by_class)
}

#[test]
fn requests_that_must_not_run_twice_get_a_class_that_forbids_repeats() {
    let (with_pass_through, classes) = derived(true);
    assert_eq!(classes, [[0, 0, 3], [1, 4, 4], [2, 2, 2]]);
    let names: Vec<&str> = with_pass_through.classes.iter().map(|class| class.name.as_str()).collect();
    assert_eq!(names, ["always", "keyed", "never", "always", "keyed"]);
    assert!(with_pass_through.classes[3..].iter().all(|class| class.idempotency == Idempotency::Never));

    let (without_pass_through, classes) = derived(false);
    assert_eq!(classes, [[0, 0, 0], [1, 3, 3], [2, 2, 2]]);
    assert_eq!(without_pass_through.classes.len(), 4);
}
