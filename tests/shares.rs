//! Several coordinators that share nothing, before engines that are replaced: what their choices add up to.

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

/// Engines, each behind a link of its own; every other one is in hall-b.
struct Halls {
    engines: StubEngines,
    links: Vec<Relay>,
    first: usize,
}

impl Halls {
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

    fn told(&self) -> Vec<DirectoryEntry> {
        let told = |(n, link): (usize, &Relay)| DirectoryEntry {
            id: format!("e{}", self.first + n),
            zone: ["hall-a", "hall-b"][n % 2].into(),
            address: link.address,
            drains: false,
            started_ms: 0,
        };
        self.links.iter().enumerate().map(told).collect()
    }

    fn connections(&self) -> Vec<usize> {
        (0..self.links.len()).map(|at| self.engines.connections(at)).collect()
    }
}

/// So many queries by each coordinator that is up, one at a time at each; all are answered.
fn ask(fleet: &mut Fleet, audit: &QueryAudit, from: u64, count: u64) {
    let doors: Vec<(usize, SocketAddr)> =
        fleet.running().into_iter().map(|at| (at, fleet.addresses[at]["http"])).collect();
    std::thread::scope(|scope| {
        for (at, door) in doors {
            scope.spawn(move || {
                for n in 0..count {
                    audit
                        .send(door, "lookup", Repeats::Any, ((at as u64 + 1) << 40) + from + n)
                        .expect("an answer");
                }
            });
        }
    });
}

#[test]
fn twelve_that_share_nothing_spread_over_engines_that_come_and_go() {
    let old = Halls::start(ENGINES, 0);
    let directory = Directory::start(old.told()).expect("a port");
    let known: Vec<(String, SocketAddr)> = old.told().into_iter().map(|t| (t.id, t.address)).collect();
    let known: Vec<(&str, SocketAddr)> = known.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_dahliaspoke"));
    let mut fleet = Fleet::start(program, COORDINATORS, "http", "store", |at, _| {
        let hall = ["hall-a", "hall-b"][at % 2];
        let own = format!(
            "\"fleetSize\":{COORDINATORS},\"me\":{at},\"prices\":{{\"handshake\":0.1,\"crossZone\":0.04}}"
        );
        let settings = SETTINGS.replace("\"fleetSize\":1", &own).replace(
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
    ask(&mut fleet, &audit, 0, 40);
    let first = old.connections();
    println!("connections by engine, all twelve up: {first:?}");
    // So few coordinators keep to all engines (`KNOWN_BY`): a connection each at the most, for one query at a time.
    let (least, most) = (first.iter().min().expect("some"), first.iter().max().expect("some"));
    assert!(*least >= 3 && *most <= COORDINATORS, "{first:?}");
    let work: Vec<u64> = old.links.iter().map(|link| link.forwarded(Direction::Out)).collect();
    let mean = work.iter().sum::<u64>() / ENGINES as u64;
    println!("bytes sent by engine: {work:?}");
    assert!(
        work.iter().all(|bytes| *bytes * 4 >= mean && *bytes <= 3 * mean),
        "{work:?}, {mean} in the mean"
    );

    // Half of the engines are replaced; three coordinators die; the links to one hall's old engines hold.
    let new = Halls::start(ENGINES / 2, ENGINES);
    for link in old.links.iter().skip(ENGINES / 2 + 1).step_by(2) {
        link.set_pace(Direction::Out, Pace::Hold);
        link.set_pace(Direction::Back, Pace::Hold);
    }
    directory.change(|list| {
        list.drain(..ENGINES / 2);
        list.extend(new.told());
    });
    (0..3).for_each(|at| fleet.processes[at].kill());
    ask(&mut fleet, &audit, 1000, 40);
    (0..3).for_each(|at| fleet.start_process(at, None));
    ask(&mut fleet, &audit, 2000, 20);
    old.links.iter().for_each(Relay::heal);
    let before = old.connections();
    ask(&mut fleet, &audit, 3000, 60);
    println!("connections by new engine: {:?}", new.connections());
    println!("connections by old engine: {:?}", old.connections());
    assert!(new.connections().iter().all(|count| *count >= 1), "{:?}", new.connections());
    assert_eq!(
        before[..ENGINES / 2],
        old.connections()[..ENGINES / 2],
        "engines that are gone are left alone"
    );
    let Verdict { violations: wrong, served, rejected: refused, failed } = audit.verdict(&old.engines);
    println!("{served} served, {refused} refused, {failed} failed");
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(served >= 12 * 40, "{served}");
}
