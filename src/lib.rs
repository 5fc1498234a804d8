//! Dahliaspoke decides, for a gateway before analytic engines, which query goes to which engine, when,
//! when again, and which is refused.
//!
//! The whole of it is one pure state machine, [`policy::Policy`]: feed it [`policy::Event`]s with the
//! time of your own clock and carry out the [`policy::Action`]s that it appends. It does no input or
//! output, starts no thread and reads no clock.
//!
//! ```
//! use dahliaspoke::policy::Policy;
//! use dahliaspoke::policy::*;
//!
//! let class = ClassSettings {
//!     name: "dashboard".into(), latency_objective: 0.5, objective_stretch: 1.5, client_timeout: 3.0,
//!     priority_weight: 1.0, late_weight: 0.1,
//!     idempotency: Idempotency::Always, dedup_scope: DedupScope::All, dedup_window: 5.0, ordered: false, stream: false,
//!     zones: None, kinds: None, threads: 1.0, is_load: false, yields_to_loads: false,
//! };
//! let settings = Settings {
//!     classes: vec![class], kinds: vec![KindSettings { name: "std".into(), cores: 8.0, memory: 0.0 }], tenants: vec![],
//!     gateways: 1.0, index: 0.0, zone: "here".into(), cross_zone_cost: 0.0, handshake_cost: 0.0,
//!     must_subscribe: false, may_cancel: true, may_hedge: false, retry_after: Some(0.5), max_attempts: 4, tick: 0.005,
//!     priorities: true, grants: false, reports_cost: false,
//!     initial_capacity_share: 0.3, warmup_time: 14.0, overload_multiple: 2.0, overload_window: 1.0, order_settle: 0.0,
//!     retry_budget: None,
//! };
//! let mut policy = Policy::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The list names one engine.
//! let engine = EngineEntry {
//!     id: "e1".into(), zone: "here".into(), kind: "std".into(), cell: 0,
//!     lifecycle: Lifecycle::Ready, started: None,
//! };
//! policy.handle(0.0, Event::EngineList(ListScope::Complete, vec![engine]), &mut actions);
//!
//! // A query comes in and is sent there.
//! let query = Query {
//!     id: "q1".into(), class: 0, tenant: None, key: None, time_left: 3.0, work: Some(100.0), memory: None, tables: 0,
//!     uploading: false,
//! };
//! actions.clear();
//! policy.handle(0.1, Event::Query(query), &mut actions);
//! for action in &actions {
//!     match action {
//!         Action::Send { engine, .. } => assert_eq!(&**engine, "e1"), // send it, with the time-out given
//!         Action::SetTimer { after, .. } => assert!(*after > 0.0),     // call back with Event::Timer
//!         Action::SetTerms { rank, .. } => assert!(*rank <= 3),           // pass on to the engine
//!         other => panic!("not expected here: {other:?}"),
//!     }
//! }
//!
//! // Its outcome comes back; the request is over.
//! let end = AttemptEnd {
//!     id: "q1".into(), attempt: 0, outcome: Outcome::Ok, finished: true, work: None, memory: None, report: None,
//! };
//! policy.handle(0.25, Event::AttemptEnded(end), &mut actions);
//! assert_eq!(policy.known().requests, 0);
//! ```
//!
//! What an embedder owes the module:
//!
//! - events of one gateway in order, with a clock that never goes back, and the list before the first query;
//! - exactly one [`policy::Event::AttemptEnded`] for every [`policy::Action::Send`] and, where attempts may be
//!   cancelled, for the cancelled ones too; attempts are counted from 0 by both sides;
//! - [`policy::AttemptEnd::finished`] set once the client has its answer: the first served attempt is one, and so
//!   are [`policy::Action::Reject`] and [`policy::Action::Fail`];
//! - a [`policy::Event::Timer`] for every [`policy::Action::SetTimer`], also after the request is over.
//!
//! `examples/dispatcher.rs` does all of it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoints;
pub mod policy;
pub mod settings;
