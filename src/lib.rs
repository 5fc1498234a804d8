//! Decisions of a coordinator in front of query engines: which engine runs a query, when the query is
//! retried, and which queries are rejected.
//!
//! They are made by one pure state machine, [`policy::Policy`]. Feed it [`policy::Event`]s with the time of
//! your own clock and execute the [`policy::Action`]s that it appends to your list. It does no I/O, starts no
//! thread and reads no clock. [`endpoints`] decides how long the set of engines may be trusted, and
//! [`settings`] reads the settings.
//!
//! ```
//! use dahliaspoke::policy::*;
//!
//! let class = ClassSettings {
//!     name: "dashboard".into(),
//!     latency_objective: 0.5,
//!     objective_stretch: 1.5,
//!     client_timeout: 3.0,
//!     priority_weight: 1.0,
//!     late_weight: 0.1,
//!     idempotency: Idempotency::Always,
//!     dedup_scope: DedupScope::All,
//!     dedup_window: 5.0,
//!     ordered: false,
//!     stream: false,
//!     zones: None,
//!     kinds: None,
//!     threads: 1.0,
//!     is_load: false,
//!     yields_to_loads: false,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     kinds: vec![KindSettings { name: "std".into(), cores: 8.0, memory: 0.0 }],
//!     tenants: vec![],
//!     coordinators: 1.0,
//!     index: 0.0,
//!     zone: "here".into(),
//!     cross_zone_cost: 0.0,
//!     handshake_cost: 0.0,
//!     must_subscribe: false,
//!     may_cancel: true,
//!     may_hedge: false,
//!     retry_after: Some(0.5),
//!     max_attempts: 4,
//!     tick: 0.005,
//!     priorities: true,
//!     memory_grants: false,
//!     reports_cost: false,
//!     initial_capacity_share: 0.3,
//!     warmup_time: 14.0,
//!     overload_multiple: 2.0,
//!     overload_window: 1.0,
//!     order_settle: 0.0,
//!     retry_budget: None,
//! };
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // Discovery reports one engine.
//! let engine = EngineEntry {
//!     id: "e1".into(), zone: "here".into(), kind: "std".into(), cell: 0,
//!     lifecycle: Lifecycle::Ready, started: None,
//! };
//! policy.handle(0.0, Event::EngineList(ListScope::Complete, vec![engine]), &mut actions);
//!
//! // A query arrives and is sent to it.
//! let query = Query {
//!     id: "q1".into(), class: 0, tenant: None, key: None, time_left: 3.0, work: Some(100.0), memory: None,
//!     tables: 0, uploading: false, order_lock: OrderLock::NotShared,
//! };
//! actions.clear();
//! policy.handle(0.1, Event::Query(query), &mut actions);
//! for action in &actions {
//!     match action {
//!         Action::Send { engine, .. } => assert_eq!(&**engine, "e1"), // send it with this timeout
//!         Action::SetTimer { after, .. } => assert!(*after > 0.0),    // then feed an Event::Timer
//!         Action::SetTerms { rank, .. } => assert!(*rank <= 3),       // forward to the engine
//!         other => panic!("unexpected action: {other:?}"),
//!     }
//! }
//!
//! // The outcome arrives, and the request is finished.
//! let end = AttemptEnd {
//!     id: "q1".into(), attempt: 0, outcome: Outcome::Ok, finished: true, work: None, memory: None,
//!     report: None,
//! };
//! policy.handle(0.25, Event::AttemptEnded(end), &mut actions);
//! assert_eq!(policy.state_counts().requests, 0);
//! ```
//!
//! Requirements on the embedding program:
//!
//! - Feed the events of one coordinator in order, with a monotonic clock, and the set of engines before the
//!   first query.
//! - Feed exactly one [`policy::Event::AttemptEnded`] for every [`policy::Action::Send`], cancelled attempts
//!   included. Both sides count the attempts of a request from 0.
//! - Set [`policy::AttemptEnd::finished`] once the client has its final answer: the first served
//!   attempt gives it one, and so do [`policy::Action::Reject`] and [`policy::Action::Fail`].
//! - Feed one [`policy::Event::Timer`] for every [`policy::Action::SetTimer`], even after the request is
//!   finished.
//!
//! `examples/dispatcher.rs` is a complete example.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoints;
pub mod policy;
pub mod settings;
