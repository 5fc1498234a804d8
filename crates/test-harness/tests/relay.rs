//! Each fault of a link has its documented effect.

use dahliaspoke_test_harness::relay::{DatagramFaults, DatagramRelay, Direction, Pace, Relay};
use dahliaspoke_test_harness::script::Script;
use dahliaspoke_test_harness::until;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// A link, its target listener, and the client and server sockets of a connection through it.
fn link() -> (Relay, TcpListener, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let relay = Relay::start().expect("a port");
    relay.set_target(listener.local_addr().expect("bound"));
    let near = TcpStream::connect(relay.address).expect("connected");
    let far = listener.accept().expect("accepted").0;
    for end in [&near, &far] {
        end.set_read_timeout(Some(Duration::from_secs(30))).expect("set");
    }
    (relay, listener, near, far)
}

fn read_text(from: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).expect("received");
    String::from_utf8(bytes).expect("text")
}

#[test]
fn holding_one_direction_delays_its_bytes_and_leaves_the_other_unaffected() {
    let (relay, _listener, mut near, mut far) = link();
    relay.set_pace(Direction::Out, Pace::Hold);
    near.write_all(b"late").expect("written");
    far.write_all(b"here").expect("written");
    assert_eq!(read_text(&mut near, 4), "here");
    assert_eq!(relay.forwarded(Direction::Out), 0);
    relay.heal();
    assert_eq!(read_text(&mut far, 4), "late");
}

#[test]
fn a_cut_closes_all_connections_until_the_link_is_healed() {
    let (relay, listener, mut near, mut far) = link();
    relay.cut();
    assert_eq!(near.read(&mut [0; 1]).unwrap_or(0), 0);
    assert_eq!(far.read(&mut [0; 1]).unwrap_or(0), 0);
    let mut while_cut = TcpStream::connect(relay.address).expect("the port stays open");
    assert_eq!(while_cut.read(&mut [0; 1]).unwrap_or(0), 0);
    relay.heal();
    let mut after_heal = TcpStream::connect(relay.address).expect("connected");
    after_heal.write_all(b"on").expect("written");
    assert_eq!(read_text(&mut listener.accept().expect("accepted").0, 2), "on");
}

#[test]
fn a_reset_can_happen_in_the_middle_of_a_message() {
    let (relay, _listener, mut near, mut far) = link();
    // After this message the link is already blocked in a read when the reset is set; it must apply to the
    // next bytes.
    near.write_all(b"on").expect("written");
    assert_eq!(read_text(&mut far, 2), "on");
    relay.reset_after(Direction::Out, 3);
    near.write_all(b"message").expect("written");
    let mut received = Vec::new();
    let end = far.read_to_end(&mut received);
    // As on any TCP connection, a reset may discard bytes that were sent before it.
    assert!(b"mes".starts_with(&received) && relay.forwarded(Direction::Out) == 5, "{received:?}");
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
}

#[test]
fn half_close_ends_one_direction_only() {
    let (relay, _listener, mut near, mut far) = link();
    relay.half_close(Direction::Out);
    assert_eq!(far.read(&mut [0; 1]).expect("end of stream"), 0);
    far.write_all(b"still").expect("written");
    assert_eq!(read_text(&mut near, 5), "still");
}

#[test]
fn a_duplicated_connection_sends_everything_twice_and_receives_once() {
    let (relay, listener, _near, _far) = link();
    relay.set_duplicate(true);
    let mut near = TcpStream::connect(relay.address).expect("connected");
    let (mut one, mut two) = (
        listener.accept().expect("the first connection").0,
        listener.accept().expect("the second connection").0,
    );
    near.write_all(b"word").expect("written");
    assert_eq!((read_text(&mut one, 4), read_text(&mut two, 4)), ("word".into(), "word".into()));
}

#[test]
fn trickle_and_delay_deliver_every_byte() {
    let (relay, _listener, mut near, mut far) = link();
    relay.set_pace(Direction::Out, Pace::Trickle(16));
    near.write_all(&[7; 1000]).expect("written");
    assert_eq!(read_text(&mut far, 1000).len(), 1000);
    relay.set_pace(Direction::Out, Pace::Delay(3));
    near.write_all(&[7; 1000]).expect("written");
    assert_eq!(read_text(&mut far, 1000).len(), 1000);
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered() {
    let far = UdpSocket::bind("127.0.0.1:0").expect("a port");
    far.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    let link = DatagramRelay::start(far.local_addr().expect("bound"), 5).expect("a port");
    let near = UdpSocket::bind("127.0.0.1:0").expect("a port");
    near.connect(link.address).expect("set");
    let received = |faults: DatagramFaults, last: u8| {
        link.set_faults(Direction::Out, faults);
        for number in 0..=last {
            near.send(&[number]).expect("sent");
            std::thread::sleep(Duration::from_micros(200));
        }
        let mut numbers = Vec::new();
        let mut byte = [0; 1];
        while far.recv(&mut byte).is_ok() {
            numbers.push(byte[0]);
        }
        numbers
    };
    let lost = received(DatagramFaults { lost: 0.5, ..DatagramFaults::default() }, 99).len();
    assert!((20..80).contains(&lost), "{lost}");
    let doubled = received(DatagramFaults { duplicated: 0.5, ..DatagramFaults::default() }, 99).len();
    assert!((120..180).contains(&doubled), "{doubled}");
    let reordered = received(DatagramFaults { reordered: 0.5, ..DatagramFaults::default() }, 98);
    assert!(reordered.windows(2).any(|pair| pair[0] > pair[1]));
    assert_eq!(received(DatagramFaults { lost: 1.0, ..DatagramFaults::default() }, 9).len(), 0);
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
