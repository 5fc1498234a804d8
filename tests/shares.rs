//! How coordinators without shared state together spread load over engines, some of which are replaced.

mod daemon;

use daemon::{config, SETTINGS};
use dahliaspoke_simulator::standin::{Directory, DirectoryEntry};
use dahliaspoke_test_harness::fleet::Fleet;
use dahliaspoke_test_harness::queries::{QueryAudit, Repeats, StubEngines, Verdict};
use dahliaspoke_test_harness::relay::{Direction, Pace, Relay};
use std::net::SocketAddr;
use std::path::Path;

const COORDINATORS: usize = 12;
const ENGINES: usize = 24;

/// Engines, each behind its own link; every second one is in hall-b.
struct LinkedEngines {
    engines: StubEngines,
    links: Vec<Relay>,
    /// Number of the first engine; engine ids are `e` and the number.
    first: usize,
}

impl LinkedEngines {
    fn start(count: usize, first: usize) -> Self {
        let engines = StubEngines::start(count);
        let link = |(_, address): &(String, SocketAddr)| {
            let link = Relay::start().expect("a port");
            link.set_target(*address);
            link
        };
        let links = engines.list.iter().map(link).collect();
        Self { engines, links, first }
    }

    fn directory_entries(&self) -> Vec<DirectoryEntry> {
        let entry = |(n, link): (usize, &Relay)| DirectoryEntry {
            id: format!("e{}", self.first + n),
            zone: ["hall-a", "hall-b"][n % 2].into(),
            address: link.address,
            drains: false,
            started_ms: 0,
        };
        self.links.iter().enumerate().map(entry).collect()
    }

    fn connections(&self) -> Vec<usize> {
        (0..self.links.len()).map(|at| self.engines.connections(at)).collect()
    }
}

/// Sends `count` queries to each running coordinator, one at a time at each; all must be answered.
fn send_queries(fleet: &mut Fleet, audit: &QueryAudit, from: u64, count: u64) {
    let listeners: Vec<(usize, SocketAddr)> =
        fleet.running().into_iter().map(|at| (at, fleet.addresses[at]["http"])).collect();
    std::thread::scope(|scope| {
        for (at, listener) in listeners {
            scope.spawn(move || {
                for n in 0..count {
                    audit
                        .send(listener, "lookup", Repeats::Any, ((at as u64 + 1) << 40) + from + n)
                        .expect("an answer");
                }
            });
        }
    });
}

#[test]
fn coordinators_without_shared_state_spread_load_over_replaced_engines() {
    let old = LinkedEngines::start(ENGINES, 0);
    let directory = Directory::start(old.directory_entries()).expect("a port");
    let known: Vec<(String, SocketAddr)> =
        old.directory_entries().into_iter().map(|t| (t.id, t.address)).collect();
    let known: Vec<(&str, SocketAddr)> = known.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_dahliaspoke"));
    let mut fleet = Fleet::start(program, COORDINATORS, "http", "store", |at, _| {
        let hall = ["hall-a", "hall-b"][at % 2];
        let fleet_settings = format!(
            "\"fleetSize\":{COORDINATORS},\"me\":{at},\"prices\":{{\"handshake\":0.1,\"crossZone\":0.04}}"
        );
        let settings = SETTINGS.replace("\"fleetSize\":1", &fleet_settings).replace(
            "\"locality\":\"hall-a\",\"zones\":[\"hall-a\"]",
            &format!("\"locality\":\"{hall}\",\"zones\":[\"hall-a\",\"hall-b\"]"),
        );
        let mut config = config(&known, directory.address).replace("\"n1\"", &format!("\"c{at}\""));
        assert!(config.contains(SETTINGS));
        config = config
            .replace(SETTINGS, &settings)
            .replace("8c1f30d27a5be964", &format!("8c1f30d27a5be9{at:02x}"));
        for (id, address) in known.iter().skip(1).step_by(2) {
            let engine = format!("{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"hall-");
            config = config.replace(&format!("{engine}a"), &format!("{engine}b"));
        }
        vec![("config.json".into(), config)]
    });
    let audit = QueryAudit::default();
    send_queries(&mut fleet, &audit, 0, 40);
    let first = old.connections();
    println!("connections by engine, all twelve up: {first:?}");
    // With so few coordinators every subset contains all engines; each coordinator has at most one connection
    // to an engine, as it has one query at a time.
    let (least, most) = (first.iter().min().expect("engines"), first.iter().max().expect("engines"));
    assert!(*least >= 3 && *most <= COORDINATORS, "{first:?}");
    let work: Vec<u64> = old.links.iter().map(|link| link.forwarded(Direction::Out)).collect();
    let mean = work.iter().sum::<u64>() / ENGINES as u64;
    println!("bytes sent by engine: {work:?}");
    assert!(work.iter().all(|bytes| *bytes * 4 >= mean && *bytes <= 3 * mean), "{work:?}, {mean} on average");

    // Half of the engines are replaced, three coordinators are killed, and links to old engines of hall-b hang.
    let new = LinkedEngines::start(ENGINES / 2, ENGINES);
    for link in old.links.iter().skip(ENGINES / 2 + 1).step_by(2) {
        link.set_pace(Direction::Out, Pace::Hold);
        link.set_pace(Direction::Back, Pace::Hold);
    }
    directory.change(|list| {
        list.drain(..ENGINES / 2);
        list.extend(new.directory_entries());
    });
    (0..3).for_each(|at| fleet.processes[at].kill());
    send_queries(&mut fleet, &audit, 1000, 40);
    (0..3).for_each(|at| fleet.start_process(at, None));
    send_queries(&mut fleet, &audit, 2000, 20);
    old.links.iter().for_each(Relay::heal);
    let before = old.connections();
    send_queries(&mut fleet, &audit, 3000, 60);
    println!("connections by new engine: {:?}", new.connections());
    println!("connections by old engine: {:?}", old.connections());
    assert!(new.connections().iter().all(|count| *count >= 1), "{:?}", new.connections());
    assert_eq!(
        before[..ENGINES / 2],
        old.connections()[..ENGINES / 2],
        "removed engines get no new connections"
    );
    let Verdict { violations: wrong, served, rejected: refused, failed } = audit.verdict(&old.engines);
    println!("{served} served, {refused} rejected, {failed} failed");
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(served >= 12 * 40, "{served}");
}
