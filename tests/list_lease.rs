//! What the directory says of an engine is good for a time, and only in answer to a question of this process: nothing
//! begins at an engine that may have drained.

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

/// Two engines, the directory that tells of them, and a coordinator between them and a client.
struct Site {
    stays: StubEngines,
    drains: StubEngines,
    directory: FaultyDirectory,
    daemon: Daemon,
    asked: Cell<u64>,
}

/// Position in the directory's list of the engine that drains.
const DRAINS: usize = 1;

impl Site {
    fn start() -> Self {
        let (stays, drains) = (StubEngines::start(1), StubEngines::start(1));
        let known = [("stays", stays.list[0].1), ("drains", drains.list[0].1)];
        let list = known.iter().map(|(id, address)| Self::told(id, *address)).collect();
        let directory = FaultyDirectory::start(Behaviour { serial: 1, list, ..Behaviour::default() });
        let daemon = Daemon::start(&config(&known, directory.address), &[], None);
        Self { stays, drains, directory, daemon, asked: Cell::new(0) }
    }

    fn told(id: &str, address: SocketAddr) -> DirectoryEntry {
        DirectoryEntry { id: id.into(), zone: "hall-a".into(), address, drains: false, started_ms: 0 }
    }

    /// The status that a new look-up is answered with.
    fn ask(&self) -> String {
        self.asked.set(self.asked.get() + 1);
        let id = self.asked.get();
        let mut client = TcpStream::connect(self.daemon.http.expect("a door")).expect("connected");
        client.set_read_timeout(Some(daemon::PATIENCE)).expect("set");
        let call = format!(
            "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 2\r\nContent-Length: 8\r\n\r\nSELECT 1"
        );
        client.write_all(call.as_bytes()).expect("sent");
        let mut head = [0; 12];
        client.read_exact(&mut head).expect("an answer");
        String::from_utf8_lossy(&head[9..]).into_owned()
    }

    /// Asks until the engine that is to drain has served something new.
    fn until_served_by_drains(&self) {
        let before = self.drains.ids().len();
        until("the engine serves", || {
            self.ask();
            (self.drains.ids().len() > before).then_some(())
        });
    }

    /// Asks until the draining engine gets nothing any more and the other one serves: so many in a row.
    fn until_drained(&self) {
        const IN_A_ROW: u32 = 40;
        let (mut had, mut row) = (self.drains.ids().len(), 0);
        until("nothing begins at the engine that drains", || {
            let served = self.ask() == "200";
            let has = self.drains.ids().len();
            row = if served && has == had { row + 1 } else { 0 };
            had = has;
            std::thread::sleep(Duration::from_millis(20));
            (row == IN_A_ROW).then_some(())
        });
    }

    fn drain(&self) {
        self.directory.change(|now| {
            now.serial += 1;
            now.list[DRAINS].drains = true;
        });
    }
}

/// The directory falls silent, and an engine drains meanwhile. Once what it said last may no longer be true, requests are
/// refused and nothing begins anywhere; with its first answer they are served again, and not by that engine.
#[test]
fn nothing_begins_on_a_list_that_is_too_old() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|now| now.silent = true);
    site.drain();
    until("a request is refused", || (site.ask() == "503").then_some(()));
    let before = site.drains.ids();
    for _ in 0..50 {
        assert_eq!(site.ask(), "503", "the list is still too old");
    }
    assert_eq!(site.drains.ids(), before);
    site.directory.change(|now| now.silent = false);
    until("it serves again", || (site.ask() == "200").then_some(()));
    for _ in 0..50 {
        assert_eq!(site.ask(), "200");
    }
    assert_eq!(site.drains.ids(), before, "something began at an engine that drains");
    assert!(site.stays.ids().len() >= 50, "the other one serves");
}

/// A coordinator is killed and started again; answers to its former life come late, on the path that the new one has, ahead
/// of those to its own questions. They carry higher numbers and an older list.
#[test]
fn answers_to_an_earlier_life_do_not_freeze_the_list() {
    let mut site = Site::start();
    site.directory.change(|now| now.serial = 9);
    until("it has asked some times", || (site.directory.answers().len() > 40).then_some(()));
    let former = site.directory.answers();
    site.directory.change(|now| {
        now.serial = 1;
        now.ahead = former;
    });
    site.daemon = site.daemon.again();
    site.until_served_by_drains();
    site.drain();
    site.until_drained();
}

/// A directory that was started anew numbers its lists from the beginning.
#[test]
fn numbers_that_begin_again_do_not_freeze_the_list() {
    let site = Site::start();
    site.directory.change(|now| now.serial = 9);
    site.until_served_by_drains();
    let heard = site.directory.answers().len();
    until("the high number was heard", || (site.directory.answers().len() > heard + 3).then_some(()));
    site.directory.change(|now| now.serial = 1);
    site.drain();
    site.until_drained();
}

/// The same where the directory itself answers the questions of the new life with an old list, under the number that it had
/// in the life before: it is held for a moment, until the answers proper outvote it.
#[test]
fn an_answer_that_brings_a_false_number_is_outvoted() {
    let mut site = Site::start();
    site.directory.change(|now| now.serial = 9);
    until("a list of number 9 went out", || (site.directory.answers().len() > 5).then_some(()));
    let high = site.directory.answers().pop().expect("some went out");
    site.directory.change(|now| {
        now.serial = 1;
        now.ahead_as_answer = vec![high];
    });
    site.daemon = site.daemon.again();
    site.until_served_by_drains();
    site.directory.change(|now| now.ahead_as_answer.clear());
    site.drain();
    site.until_drained();
}

/// What is marked as cut says nothing, and does not keep the list alive either.
#[test]
fn truncated_answers_keep_no_list_alive() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|now| now.truncated = true);
    site.drain();
    until("a request is refused", || (site.ask() == "503").then_some(()));
    let before = site.drains.ids();
    site.directory.change(|now| now.truncated = false);
    until("it serves again", || (site.ask() == "200").then_some(()));
    assert_eq!(site.drains.ids(), before, "something began at an engine that drains");
}

/// Something on the path has forgotten the port that asks: another one is tried, and nothing is refused meanwhile.
#[test]
fn a_port_that_hears_nothing_is_given_up() {
    let site = Site::start();
    site.until_served_by_drains();
    site.directory.change(|now| now.deaf_to_first = true);
    site.drain();
    until("it asks from another port", || (site.directory.askers().len() > 1).then_some(()));
    site.until_drained();
}

impl Site {
    /// A further directory that tells of the same engines, of which one drains, under a low number. The configuration names
    /// it from here on.
    fn next_directory(&self) -> (FaultyDirectory, String) {
        let known = [("stays", self.stays.list[0].1), ("drains", self.drains.list[0].1)];
        let list = known.iter().map(|(id, address)| Self::told(id, *address)).collect();
        let next = FaultyDirectory::start(Behaviour { serial: 1, list, ..Behaviour::default() });
        next.change(|now| now.list[DRAINS].drains = true);
        let config = config(&known, next.address);
        (next, config)
    }
}

/// SIGHUP moves the directory to one whose numbers begin again, and the old one is gone.
#[test]
fn a_directory_that_has_moved_is_followed_whatever_its_numbers() {
    let site = Site::start();
    site.directory.change(|now| now.serial = 9);
    site.until_served_by_drains();
    let (_next, config) = site.next_directory();
    site.daemon.configure(&config);
    site.directory.change(|now| now.silent = true);
    site.daemon.signal("HUP");
    site.until_drained();
}

/// The configuration is half written as SIGHUP comes: it is read again, without another signal.
#[test]
fn a_half_written_configuration_is_read_again() {
    let site = Site::start();
    site.until_served_by_drains();
    let (_next, config) = site.next_directory();
    site.daemon.configure(&config[..config.len() / 2]);
    site.daemon.signal("HUP");
    site.daemon.line("the old configuration stays");
    site.directory.change(|now| now.silent = true);
    site.daemon.configure(&config);
    site.until_drained();
}

/// No descriptor is free as SIGHUP comes: the move is made all the same, and the latest one counts.
#[test]
fn a_move_without_descriptors_is_made_later() {
    let site = Site::start();
    site.until_served_by_drains();
    let (former, spent) = site.next_directory();
    let (_next, config) = site.next_directory();
    let pid = Pid::from_raw(site.daemon.child.id() as i32);
    // Its standard streams are open: no number below the limit comes free.
    const STREAMS: u64 = 3;
    let none = Rlimit { current: Some(STREAMS), ..getrlimit(Resource::Nofile) };
    let usual = prlimit(pid, Resource::Nofile, none).expect("fewer");
    site.daemon.configure(&spent);
    site.daemon.signal("HUP");
    site.daemon.line("the old configuration stays");
    site.daemon.configure(&config);
    former.change(|now| now.silent = true);
    site.directory.change(|now| now.silent = true);
    site.daemon.signal("HUP");
    prlimit(pid, Resource::Nofile, usual).expect("as before");
    site.until_drained();
}
