//! Each fault of a link does what it says.

use dahliaspoke_test_harness::relay::{DatagramFaults, DatagramRelay, Direction, Pace, Relay};
use dahliaspoke_test_harness::script::Script;
use dahliaspoke_test_harness::until;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// A link, both of its ends, and the listener behind it.
fn link() -> (Relay, TcpListener, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let relay = Relay::start().expect("a port");
    relay.set_target(listener.local_addr().expect("bound"));
    let near = TcpStream::connect(relay.address).expect("it listens");
    let far = listener.accept().expect("it comes").0;
    for end in [&near, &far] {
        end.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    }
    (relay, listener, near, far)
}

fn word(from: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).expect("it comes");
    String::from_utf8(bytes).expect("text")
}

#[test]
fn bytes_held_in_one_direction_arrive_late_and_the_other_goes_on() {
    let (relay, _listener, mut near, mut far) = link();
    relay.set_pace(Direction::Out, Pace::Hold);
    near.write_all(b"late").expect("taken");
    far.write_all(b"here").expect("taken");
    assert_eq!(word(&mut near, 4), "here");
    assert_eq!(relay.forwarded(Direction::Out), 0);
    relay.heal();
    assert_eq!(word(&mut far, 4), "late");
}

#[test]
fn a_cut_ends_connections_and_accepts_none_until_it_is_healed() {
    let (relay, listener, mut near, mut far) = link();
    relay.cut();
    assert_eq!(near.read(&mut [0; 1]).unwrap_or(0), 0);
    assert_eq!(far.read(&mut [0; 1]).unwrap_or(0), 0);
    let mut shut = TcpStream::connect(relay.address).expect("the port stays");
    assert_eq!(shut.read(&mut [0; 1]).unwrap_or(0), 0);
    relay.heal();
    let mut again = TcpStream::connect(relay.address).expect("it listens");
    again.write_all(b"on").expect("taken");
    assert_eq!(word(&mut listener.accept().expect("it comes").0, 2), "on");
}

#[test]
fn a_reset_happens_in_the_middle_of_a_message() {
    let (relay, _listener, mut near, mut far) = link();
    // The link is already waiting for bytes when it is told: what it is told counts for the next of them.
    near.write_all(b"on").expect("taken");
    assert_eq!(word(&mut far, 2), "on");
    relay.reset_after(Direction::Out, 3);
    near.write_all(b"message").expect("taken");
    let mut come = Vec::new();
    let end = far.read_to_end(&mut come);
    // A reset may overtake what came before it, as on any wire.
    assert!(b"mes".starts_with(&come) && relay.forwarded(Direction::Out) == 5, "{come:?}");
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
}

#[test]
fn one_direction_of_a_connection_may_end() {
    let (relay, _listener, mut near, mut far) = link();
    relay.half_close(Direction::Out);
    assert_eq!(far.read(&mut [0; 1]).expect("an end"), 0);
    far.write_all(b"still").expect("taken");
    assert_eq!(word(&mut near, 5), "still");
}

#[test]
fn a_duplicated_connection_sends_everything_twice_and_receives_once() {
    let (relay, listener, _near, _far) = link();
    relay.set_duplicate(true);
    let mut near = TcpStream::connect(relay.address).expect("it listens");
    let (mut one, mut two) = (listener.accept().expect("one").0, listener.accept().expect("two").0);
    near.write_all(b"word").expect("taken");
    assert_eq!((word(&mut one, 4), word(&mut two, 4)), ("word".into(), "word".into()));
}

#[test]
fn a_trickle_passes_everything_in_the_end() {
    let (relay, _listener, mut near, mut far) = link();
    relay.set_pace(Direction::Out, Pace::Trickle(16));
    near.write_all(&[7; 1000]).expect("taken");
    assert_eq!(word(&mut far, 1000).len(), 1000);
    relay.set_pace(Direction::Out, Pace::Delay(3));
    near.write_all(&[7; 1000]).expect("taken");
    assert_eq!(word(&mut far, 1000).len(), 1000);
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_by_the_seed() {
    let far = UdpSocket::bind("127.0.0.1:0").expect("a port");
    far.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    let link = DatagramRelay::start(far.local_addr().expect("bound"), 5).expect("a port");
    let near = UdpSocket::bind("127.0.0.1:0").expect("a port");
    near.connect(link.address).expect("set");
    let come = |faults: DatagramFaults, last: u8| {
        link.set_faults(Direction::Out, faults);
        for number in 0..=last {
            near.send(&[number]).expect("sent");
            std::thread::sleep(Duration::from_micros(200));
        }
        let mut heard = Vec::new();
        let mut byte = [0; 1];
        while far.recv(&mut byte).is_ok() {
            heard.push(byte[0]);
        }
        heard
    };
    let lost = come(DatagramFaults { lost: 0.5, ..DatagramFaults::default() }, 99).len();
    assert!((20..80).contains(&lost), "{lost}");
    let doubled = come(DatagramFaults { duplicated: 0.5, ..DatagramFaults::default() }, 99).len();
    assert!((120..180).contains(&doubled), "{doubled}");
    let reordered = come(DatagramFaults { reordered: 0.5, ..DatagramFaults::default() }, 98);
    assert!(reordered.windows(2).any(|pair| pair[0] > pair[1]));
    assert_eq!(come(DatagramFaults { lost: 1.0, ..DatagramFaults::default() }, 9).len(), 0);
}

#[test]
fn a_fault_schedule_is_drawn_from_its_seed_and_parsed_from_its_text() {
    let script = Script::rotation(11, 5, 30, "leader");
    assert_eq!(script, Script::rotation(11, 5, 30, "leader"));
    assert_ne!(script, Script::rotation(12, 5, 30, "leader"));
    assert_eq!(script.to_string().parse(), Ok(script));
    let wrong = "cut 1".parse::<Script>().expect_err("too short");
    assert!(wrong.to_string().contains("cut 1"), "{wrong}");
    assert!(until("nothing", || Some(true)));
}
