//! The load tool's core against servers in virtual time, where the right answer is known in closed form.

use dahliaspoke_simulator::arrivals::{schedule, Gaps, Shape};
use dahliaspoke_simulator::load::{Driver, Ending, Manner, Mode, Order, Summary};
use dahliaspoke_simulator::queue::Heap;

/// Plays a schedule against a server that answers each request when `answer` says, by the time it was sent.
fn play(driver: Driver, answer: impl Fn(u64, Order) -> (u64, Ending)) -> Summary {
    play_late(driver, 0, answer)
}

/// The same where the tool itself looks only each so often (us).
fn play_late(mut driver: Driver, sleeps: u64, answer: impl Fn(u64, Order) -> (u64, Ending)) -> Summary {
    let (mut answers, mut now) = (Heap::default(), 0);
    let mut held = answers.pop();
    while !driver.is_over() {
        let next = [held.as_ref().map(|(at, _)| *at), driver.next()].into_iter().flatten().min();
        now = (now + sleeps).max(next.expect("something is to come"));
        while let Some((at, (order, ending))) = held.take() {
            if at > now {
                held = Some((at, (order, ending)));
                break;
            }
            driver.answered(now, order, ending);
            held = answers.pop();
        }
        for order in driver.poll(now) {
            let (at, ending) = answer(now, order);
            answers.push(at.max(now), (order, ending));
        }
        if let Some((at, event)) = held.take() {
            answers.push(at, event);
        }
        held = answers.pop();
    }
    driver.summary()
}

/// Answers in a millisecond, but stands still from 3 s to 5 s.
fn stalls(sent: u64, _: Order) -> (u64, Ending) {
    let at = sent + 1000;
    (if (3_000_000..5_000_000).contains(&at) { 5_000_000 } else { at }, Ending::Served)
}

#[test]
fn a_stall_of_2_s_shows_as_slow_answers_at_the_right_quantiles() {
    let points = schedule(500.0, 10.0, Shape::Steady, Gaps::Even, 1);
    let open = play(Driver::new(&points, Mode::Open, Manner::GiveUp, 2000), stalls);
    assert_eq!((open.due, open.served, open.void), (points.len(), points.len(), false));
    // A fifth of the requests fall into the stall, and wait evenly between 2 s and nothing: the share that takes
    // longer than x is (2 - x) / 10.
    for (at, quantile) in [(1, 0.9), (2, 0.99), (3, 0.999)] {
        let told = 2000.0 - 10_000.0 * (1.0 - quantile);
        assert!((open.millis[at] - told).abs() < 15.0, "{quantile}: {} for {told}", open.millis[at]);
    }
    // The same, asked by ten that wait for their answers: ten slow requests, and nine in ten hundred look fast.
    let closed = play(Driver::new(&points, Mode::Closed, Manner::GiveUp, 10), stalls);
    assert_eq!(closed.served, points.len());
    assert!(closed.millis[2] < 5.0 && closed.millis[4] > 1900.0, "{:?}", closed.millis);
}

#[test]
fn one_that_is_tried_again_counts_once_and_from_its_first_time() {
    let points = schedule(100.0, 2.0, Shape::Steady, Gaps::Even, 1);
    for (manner, wait) in [(Manner::AtOnce, 20.0), (Manner::AsTold, 320.0)] {
        // Each is refused twice, ten milliseconds each, and told to come back after 150 ms.
        let answer = |sent, order: Order| match order.again {
            0 | 1 => (sent + 10_000, Ending::Refused(Some(150_000))),
            _ => (sent + 1_000, Ending::Served),
        };
        let summary = play(Driver::new(&points, Mode::Open, manner, 100), answer);
        assert_eq!((summary.due, summary.served), (points.len(), points.len()));
        assert_eq!(summary.tries, 3 * points.len());
        assert!((summary.millis[0] - (wait + 1.0)).abs() < 1.0, "{manner:?}: {:?}", summary.millis);
    }
    let refused = |sent, _| (sent + 1000, Ending::Refused(None));
    let summary = play(Driver::new(&points, Mode::Open, Manner::GiveUp, 100), refused);
    assert_eq!((summary.refused, summary.tries), (points.len(), points.len()));
}

#[test]
fn a_tool_that_falls_behind_says_by_how_much_and_voids_its_figures() {
    let points = schedule(1000.0, 2.0, Shape::Steady, Gaps::Poisson, 1);
    let quick = |sent, _| (sent + 1000, Ending::Served);
    let sound = play(Driver::new(&points, Mode::Open, Manner::GiveUp, 200), quick);
    assert!(!sound.void && sound.late == 0);
    let late = play_late(Driver::new(&points, Mode::Open, Manner::GiveUp, 500), 50_000, quick);
    assert!(late.void && late.late_ms > 40.0, "{late:?}");
    // A slow server is no fault of the tool, but too few connections are.
    let slow = |sent, _| (sent + 900_000, Ending::Served);
    let enough = play(Driver::new(&points, Mode::Open, Manner::GiveUp, 2000), slow);
    assert!(!enough.void && enough.late == 0, "{enough:?}");
    let starved = play(Driver::new(&points, Mode::Open, Manner::GiveUp, 10), slow);
    assert!(starved.void && starved.starved > 0);
}

#[test]
fn what_has_no_answer_at_the_end_has_failed() {
    let mut driver = Driver::new(&[0, 10], Mode::Open, Manner::GiveUp, 4);
    let orders = driver.poll(20);
    assert_eq!(orders.len(), 2);
    driver.answered(30, orders[0], Ending::Served);
    driver.answered(40, Order { connection: 3, ..orders[1] }, Ending::Failed);
    let summary = driver.summary();
    assert_eq!((summary.served, summary.failed), (1, 1));
    let driver = Driver::new(&[0, 10], Mode::Open, Manner::GiveUp, 4);
    assert_eq!(driver.summary().failed, 2);
}
