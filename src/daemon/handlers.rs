//! The daemon's event handlers, each registered once with its owner number and priority.

use super::routes::Routes;
use super::signals::Signals;
use crate::admin::AdminInterface;
use crate::body_store;
use crate::discovery::Discovery;
use crate::net::{EventHandler, Ready, Time};
use crate::store::Store;

/// The owner of a descriptor, identified by the owner number in its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Owner {
    /// [`Handlers::signals`].
    Signals,
    /// [`Handlers::discovery`].
    Discovery,
    /// [`Routes::http`].
    HttpListener,
    /// [`Routes::resp`].
    RespUpstream,
    /// The listener of [`Routes::mysql`].
    MysqlListener,
    /// The upstream of [`Routes::mysql`].
    MysqlUpstream,
    /// The member of [`Handlers::store`].
    StoreMember,
    /// The watcher of [`Handlers::store`].
    StoreWatcher,
    /// [`Handlers::admin`].
    AdminInterface,
    /// [`Handlers::body_store`].
    BodyStore,
}

impl Owner {
    /// The owner number in tokens.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// The order in which the descriptors ready in one iteration of the loop are handled. Endpoint changes and
/// client disconnects are applied before anything is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Before everything else.
    Signals,
    /// Changes to the endpoint set.
    Discovery,
    /// Clients' requests and disconnects.
    Listeners,
    /// After all of the above.
    Others,
}

/// Finds a handler; `None` if the deployment has no handler of this kind.
type Find = for<'a> fn(&'a mut Handlers) -> Option<&'a mut (dyn EventHandler + 'a)>;

/// How the loop finds one handler.
struct Registration {
    owner: Owner,
    priority: Priority,
    find: Find,
}

/// Every event handler, in the order in which their timers run.
const REGISTRATIONS: [Registration; 10] = [
    Registration {
        owner: Owner::Signals,
        priority: Priority::Signals,
        find: |handlers| Some(&mut handlers.signals),
    },
    Registration {
        owner: Owner::Discovery,
        priority: Priority::Discovery,
        find: |handlers| Some(&mut *handlers.discovery),
    },
    Registration {
        owner: Owner::HttpListener,
        priority: Priority::Listeners,
        find: |handlers| Some(&mut handlers.routes.http),
    },
    Registration {
        owner: Owner::RespUpstream,
        priority: Priority::Others,
        find: |handlers| Some(&mut handlers.routes.resp),
    },
    Registration {
        owner: Owner::BodyStore,
        priority: Priority::Others,
        find: |handlers| handlers.body_store.as_mut().map(|handler| handler as &mut dyn EventHandler),
    },
    Registration {
        owner: Owner::StoreMember,
        priority: Priority::Others,
        find: |handlers| handlers.store.as_mut().and_then(Store::member_handler),
    },
    Registration {
        owner: Owner::StoreWatcher,
        priority: Priority::Others,
        find: |handlers| handlers.store.as_mut().map(Store::watcher_handler),
    },
    Registration {
        owner: Owner::AdminInterface,
        priority: Priority::Others,
        find: |handlers| handlers.admin.as_mut().map(|handler| handler as &mut dyn EventHandler),
    },
    Registration {
        owner: Owner::MysqlListener,
        priority: Priority::Listeners,
        find: |handlers| {
            handlers.routes.mysql.as_mut().map(|route| &mut route.listener as &mut dyn EventHandler)
        },
    },
    Registration {
        owner: Owner::MysqlUpstream,
        priority: Priority::Others,
        find: |handlers| {
            handlers.routes.mysql.as_mut().map(|route| &mut route.upstream as &mut dyn EventHandler)
        },
    },
];

/// The registration with this owner number.
fn registration(owner: u8) -> Option<&'static Registration> {
    REGISTRATIONS.iter().find(|registration| registration.owner.number() == owner)
}

/// The priority of a ready descriptor.
pub fn priority(ready: Ready) -> Priority {
    registration(ready.token.owner).map_or(Priority::Others, |registration| registration.priority)
}

/// The event handlers that this deployment has.
pub struct Handlers {
    /// Signals of the process.
    pub signals: Signals,
    /// The source of the endpoint set.
    pub discovery: Box<dyn Discovery>,
    /// Listeners and upstreams.
    pub routes: Routes,
    /// The store of large request bodies, if the deployment has one.
    pub body_store: Option<body_store::SharedBodyStore>,
    /// The replicated store, if the deployment has one.
    pub store: Option<Store>,
    /// The admin interface, if the configuration has an address for it.
    pub admin: Option<AdminInterface>,
}

impl Handlers {
    /// The earliest time at which a handler's timer is due; infinity if none is set.
    pub fn next_deadline(&mut self) -> Time {
        let mut earliest = Time::INFINITY;
        for registration in &REGISTRATIONS {
            let deadline = (registration.find)(self).and_then(EventHandler::next_deadline);
            earliest = earliest.min(deadline.unwrap_or(Time::INFINITY));
        }
        earliest
    }

    /// Runs the due timers of every handler.
    pub fn on_timer(&mut self, now: Time) {
        for registration in &REGISTRATIONS {
            if let Some(handler) = (registration.find)(self) {
                handler.on_timer(now);
            }
        }
    }

    /// Notifies the owner of a descriptor that it is ready.
    pub fn on_ready(&mut self, now: Time, ready: Ready) {
        let handler = registration(ready.token.owner).and_then(|registration| (registration.find)(self));
        if let Some(handler) = handler {
            handler.on_ready(now, ready);
        }
    }
}
