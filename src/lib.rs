//! Dahliaspoke decides, for a gateway before analytic engines, which query goes to which engine, when,
//! when again, and which is refused.
//!
//! The whole of it is one pure state machine, [`choice::Gateway`]: feed it [`interface::Event`]s with the
//! time of your own clock and carry out the [`interface::Action`]s that it appends. It does no input or
//! output, starts no thread and reads no clock.
//!
//! ```
//! use dahliaspoke::choice::Gateway;
//! use dahliaspoke::interface::*;
//!
//! let class = ClassSettings {
//!     name: "dashboard".into(), aim: 0.5, aim_stretch: 1.5, give_up: 3.0, worth: 1.0, late_worth: 0.1,
//!     effect: Effect::Repeatable, group: Group::All, memory_span: 5.0, in_order: false, stream: false,
//!     zones: None, kinds: None, threads: 1.0, is_load: false, yields_to_loads: false,
//! };
//! let settings = Settings {
//!     classes: vec![class], kinds: vec![KindSettings { name: "std".into(), cores: 8.0, memory: 0.0 }], tenants: vec![],
//!     gateways: 1.0, number: 0.0, zone: "here".into(), cross_price: 0.0, handshake_price: 0.0,
//!     must_subscribe: false, may_cancel: true, may_copy: false, come_back: Some(0.5), max_attempts: 4, tick: 0.005,
//!     priorities: true, grants: false, tells_cost: false,
//!     cold_share: 0.3, cold_for: 14.0, fall_multiple: 2.0, fall_window: 1.0, order_settle: 0.0,
//!     retry_budget: None,
//! };
//! let mut gateway = Gateway::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The list names one engine.
//! let engine = EngineEntry {
//!     id: "e1".into(), zone: "here".into(), kind: "std".into(), cell: 0,
//!     lifecycle: Lifecycle::Ready, started: None,
//! };
//! gateway.handle(0.0, Event::Engines(Scope::Complete, vec![engine]), &mut actions);
//!
//! // A query comes in and is sent there.
//! let query = Query {
//!     id: "q1".into(), class: 0, tenant: None, key: None, left: 3.0, work: Some(100.0), memory: None, tables: 0,
//!     uploading: false,
//! };
//! actions.clear();
//! gateway.handle(0.1, Event::Query(query), &mut actions);
//! for action in &actions {
//!     match action {
//!         Action::Send { engine, .. } => assert_eq!(&**engine, "e1"), // send it, with the time-out given
//!         Action::SetTimer { after, .. } => assert!(*after > 0.0),     // call back with Event::Timer
//!         Action::Terms { rank, .. } => assert!(*rank <= 3),           // pass on to the engine
//!         other => panic!("not expected here: {other:?}"),
//!     }
//! }
//!
//! // Its outcome comes back; the request is over.
//! let ended = Ended {
//!     id: "q1".into(), attempt: 0, outcome: Outcome::Ok, finished: true, work: None, memory: None, report: None,
//! };
//! gateway.handle(0.25, Event::Ended(ended), &mut actions);
//! assert_eq!(gateway.known().0, 0);
//! ```
//!
//! What an embedder owes the module:
//!
//! - events of one gateway in order, with a clock that never goes back, and the list before the first query;
//! - exactly one [`interface::Event::Ended`] for every [`interface::Action::Send`] and, where attempts may be
//!   cancelled, for the cancelled ones too; attempts are counted from 0 by both sides;
//! - [`interface::Ended::finished`] set once the client has its answer: the first served attempt is one, and so
//!   are [`interface::Action::Refuse`] and [`interface::Action::Fail`];
//! - a [`interface::Event::Timer`] for every [`interface::Action::SetTimer`], also after the request is over.
//!
//! `examples/dispatcher.rs` does all of it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod choice;
pub mod interface;
pub mod lease;
pub mod rings;
pub mod roster;
pub mod running;
pub mod settings;
