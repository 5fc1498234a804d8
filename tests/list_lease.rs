//! The endpoint list is valid for the duration of its lease, and only responses to queries of this process
//! renew it: no attempt may start at an engine that may have drained in the meantime.

mod daemon;
mod faulty_directory;

use daemon::{config, Daemon};
use dahliaspoke_simulator::standin::DirectoryEntry;
use dahliaspoke_test_harness::queries::StubEngines;
use dahliaspoke_test_harness::until;
use faulty_directory::{Behaviour, FaultyDirectory};
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Two engines, the directory that lists them, and a coordinator between them and a client.
struct Site {
    stays: StubEngines,
    drains: StubEngines,
    directory: FaultyDirectory,
    daemon: Daemon,
    requests: Cell<u64>,
}

/// Position in the directory's list of the engine that drains.
const DRAINS: usize = 1;

impl Site {
    fn start() -> Self {
        let (stays, drains) = (StubEngines::start(1), StubEngines::start(1));
        let known = [("stays", stays.list[0].1), ("drains", drains.list[0].1)];
        let list = known.iter().map(|(id, address)| Self::listed(id, *address)).collect();
        let directory = FaultyDirectory::start(Behaviour { serial: 1, list, ..Behaviour::default() });
        let daemon = Daemon::start(&config(&known, directory.address), &[], None);
        Self { stays, drains, directory, daemon, requests: Cell::new(0) }
    }

    fn listed(id: &str, address: SocketAddr) -> DirectoryEntry {
        DirectoryEntry { id: id.into(), zone: "hall-a".into(), address, drains: false, started_ms: 0 }
    }

    /// Sends a new query and returns the status of its response.
    fn request(&self) -> String {
        self.requests.set(self.requests.get() + 1);
        let id = self.requests.get();
        let mut client = TcpStream::connect(self.daemon.http.expect("an HTTP listener")).expect("connected");
        client.set_read_timeout(Some(daemon::PATIENCE)).expect("set");
        let call = format!(
            "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 2\r\nContent-Length: 8\r\n\r\nSELECT 1"
        );
        client.write_all(call.as_bytes()).expect("sent");
        let mut head = [0; 12];
        client.read_exact(&mut head).expect("an answer");
        String::from_utf8_lossy(&head[9..]).into_owned()
    }

    /// Sends queries until the engine that is to drain has served a new one.
    fn until_served_by_drains(&self) {
        let before = self.drains.ids().len();
        until("the engine serves", || {
            self.request();
            (self.drains.ids().len() > before).then_some(())
        });
    }

    /// Sends queries until the other engine has served `IN_A_ROW` of them in a row, none of which reached the
    /// draining engine.
    fn until_drained(&self) {
        const IN_A_ROW: u32 = 40;
        let (mut previous, mut consecutive) = (self.drains.ids().len(), 0);
        until("no attempt starts at the draining engine", || {
            let served = self.request() == "200";
            let count = self.drains.ids().len();
            consecutive = if served && count == previous { consecutive + 1 } else { 0 };
            previous = count;
            std::thread::sleep(Duration::from_millis(20));
            (consecutive == IN_A_ROW).then_some(())
        });
    }

    fn drain(&self) {
        self.directory.change(|behaviour| {
            behaviour.serial += 1;
            behaviour.list[DRAINS].drains = true;
        });
    }
}

/// The directory stops responding, and an engine drains meanwhile. Once the lease has expired, requests are
/// rejected and no attempt starts; after the directory's first response they are served again, but not by the
/// draining engine.
#[test]
fn no_attempt_begins_after_the_lease_has_expired() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|behaviour| behaviour.silent = true);
    site.drain();
    until("a request is refused", || (site.request() == "503").then_some(()));
    let before = site.drains.ids();
    for _ in 0..50 {
        assert_eq!(site.request(), "503", "the list is still too old");
    }
    assert_eq!(site.drains.ids(), before);
    site.directory.change(|behaviour| behaviour.silent = false);
    until("it serves again", || (site.request() == "200").then_some(()));
    for _ in 0..50 {
        assert_eq!(site.request(), "200");
    }
    assert_eq!(site.drains.ids(), before, "an attempt started at the draining engine");
    assert!(site.stays.ids().len() >= 50, "the other engine serves");
}

/// A coordinator is killed and restarted; late responses to its former incarnation reach the new one, ahead
/// of the responses to its own queries. They have higher numbers and an older list.
#[test]
fn responses_to_an_earlier_incarnation_do_not_freeze_the_list() {
    let mut site = Site::start();
    site.directory.change(|behaviour| behaviour.serial = 9);
    until("the directory has answered some queries", || {
        (site.directory.responses().len() > 40).then_some(())
    });
    let former = site.directory.responses();
    site.directory.change(|behaviour| {
        behaviour.serial = 1;
        behaviour.ahead = former;
    });
    site.daemon = site.daemon.restart();
    site.until_served_by_drains();
    site.drain();
    site.until_drained();
}

/// The directory restarts and numbers its lists from the start again.
#[test]
fn restarted_numbering_does_not_freeze_the_list() {
    let site = Site::start();
    site.directory.change(|behaviour| behaviour.serial = 9);
    site.until_served_by_drains();
    let received = site.directory.responses().len();
    until("the high number was received", || (site.directory.responses().len() > received + 3).then_some(()));
    site.directory.change(|behaviour| behaviour.serial = 1);
    site.drain();
    site.until_drained();
}

/// After a restart of the coordinator, the directory itself answers queries of the new incarnation with an
/// old list under its former, higher number: the list is accepted briefly, until the correct responses
/// outvote it.
#[test]
fn response_with_a_false_number_is_outvoted() {
    let mut site = Site::start();
    site.directory.change(|behaviour| behaviour.serial = 9);
    until("a list with number 9 was sent", || (site.directory.responses().len() > 5).then_some(()));
    let high = site.directory.responses().pop().expect("a response was sent");
    site.directory.change(|behaviour| {
        behaviour.serial = 1;
        behaviour.ahead_as_response = vec![high];
    });
    site.daemon = site.daemon.restart();
    site.until_served_by_drains();
    site.directory.change(|behaviour| behaviour.ahead_as_response.clear());
    site.drain();
    site.until_drained();
}

/// A response that is marked as truncated is not used, and does not renew the lease either.
#[test]
fn truncated_responses_do_not_renew_the_lease() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|behaviour| behaviour.truncated = true);
    site.drain();
    until("a request is refused", || (site.request() == "503").then_some(()));
    let before = site.drains.ids();
    site.directory.change(|behaviour| behaviour.truncated = false);
    until("it serves again", || (site.request() == "200").then_some(()));
    assert_eq!(site.drains.ids(), before, "an attempt started at the draining engine");
}

/// The network path stops passing packets from the current port: the coordinator queries from another port.
#[test]
fn unresponsive_directory_is_queried_from_another_port() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|behaviour| behaviour.ignores_first_socket = true);
    site.drain();
    until("it queries from another port", || (site.directory.clients().len() > 1).then_some(()));
    site.until_drained();
}

impl Site {
    /// Starts another directory, which lists the same engines, one of them draining, under a low number. Also
    /// returns a configuration that names it.
    fn next_directory(&self) -> (FaultyDirectory, String) {
        let known = [("stays", self.stays.list[0].1), ("drains", self.drains.list[0].1)];
        let list = known.iter().map(|(id, address)| Self::listed(id, *address)).collect();
        let next = FaultyDirectory::start(Behaviour { serial: 1, list, ..Behaviour::default() });
        next.change(|behaviour| behaviour.list[DRAINS].drains = true);
        let config = config(&known, next.address);
        (next, config)
    }
}

/// After SIGHUP the coordinator queries another directory, whose list numbers are lower; the old one is
/// silent.
#[test]
fn moved_directory_is_followed_despite_lower_list_numbers() {
    let site = Site::start();
    site.directory.change(|behaviour| behaviour.serial = 9);
    site.until_served_by_drains();
    let (_next, config) = site.next_directory();
    site.daemon.configure(&config);
    site.directory.change(|behaviour| behaviour.silent = true);
    site.daemon.signal("HUP");
    site.until_drained();
}

/// The configuration file is half written when SIGHUP arrives: it is read again without another signal.
#[test]
fn half_written_configuration_is_read_again() {
    let site = Site::start();
    site.until_served_by_drains();
    let (_next, config) = site.next_directory();
    site.daemon.configure(&config[..config.len() / 2]);
    site.daemon.signal("HUP");
    site.daemon.line("the old configuration stays");
    site.directory.change(|behaviour| behaviour.silent = true);
    site.daemon.configure(&config);
    site.until_drained();
}

/// No descriptor is free when SIGHUP arrives: the reload is retried until it succeeds, with the latest
/// configuration.
#[test]
fn directory_move_without_descriptors_is_retried() {
    let site = Site::start();
    site.until_served_by_drains();
    let (former, superseded) = site.next_directory();
    let (_next, config) = site.next_directory();
    let pid = Pid::from_raw(site.daemon.child.id() as i32);
    // The standard streams stay open, so no descriptor number below the limit becomes free.
    const STREAMS: u64 = 3;
    let none = Rlimit { current: Some(STREAMS), ..getrlimit(Resource::Nofile) };
    let usual = prlimit(pid, Resource::Nofile, none).expect("fewer");
    site.daemon.configure(&superseded);
    site.daemon.signal("HUP");
    site.daemon.line("the old configuration stays");
    site.daemon.configure(&config);
    former.change(|behaviour| behaviour.silent = true);
    site.directory.change(|behaviour| behaviour.silent = true);
    site.daemon.signal("HUP");
    prlimit(pid, Resource::Nofile, usual).expect("as before");
    site.until_drained();
}
