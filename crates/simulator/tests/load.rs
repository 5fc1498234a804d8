//! The core of the load generator against servers in virtual time, for which the correct results are known in
//! closed form.

use dahliaspoke_simulator::arrivals::{schedule, Intervals, Shape};
use dahliaspoke_simulator::load::{Driver, Mode, OutgoingTry, Response, RetryBehaviour, Summary};
use dahliaspoke_simulator::queue::Heap;

/// Runs a schedule against a server; `answer` maps the time at which a try was sent to the time and kind of
/// its answer.
fn play(driver: Driver, answer: impl Fn(u64, OutgoingTry) -> (u64, Response)) -> Summary {
    play_late(driver, 0, answer)
}

/// As [`play`], with a generator that polls only every `poll_interval` (us).
fn play_late(
    mut driver: Driver,
    poll_interval: u64,
    answer: impl Fn(u64, OutgoingTry) -> (u64, Response),
) -> Summary {
    let (mut answers, mut now) = (Heap::default(), 0);
    let mut next_answer = answers.pop();
    while !driver.is_done() {
        let next = [next_answer.as_ref().map(|(at, _)| *at), driver.next()].into_iter().flatten().min();
        now = (now + poll_interval).max(next.expect("an answer or a request is due"));
        while let Some((at, (outgoing, response))) = next_answer.take() {
            if at > now {
                next_answer = Some((at, (outgoing, response)));
                break;
            }
            driver.answered(now, outgoing, response);
            next_answer = answers.pop();
        }
        for outgoing in driver.poll(now) {
            let (at, response) = answer(now, outgoing);
            answers.push(at.max(now), (outgoing, response));
        }
        if let Some((at, event)) = next_answer.take() {
            answers.push(at, event);
        }
        next_answer = answers.pop();
    }
    driver.summary()
}

/// Answers in a millisecond, but stalls from 3 s to 5 s.
fn stalling_server(sent: u64, _: OutgoingTry) -> (u64, Response) {
    let at = sent + 1000;
    (if (3_000_000..5_000_000).contains(&at) { 5_000_000 } else { at }, Response::Served)
}

#[test]
fn a_stall_of_2_s_shows_as_slow_answers_at_the_right_quantiles() {
    let points = schedule(500.0, 10.0, Shape::Steady, Intervals::Even, 1);
    let open = play(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 2000), stalling_server);
    assert_eq!((open.due, open.served, open.void), (points.len(), points.len(), false));
    // A fifth of the requests are due during the stall, with waits spread evenly from 2 s to 0: the share
    // that waits longer than x is (2 - x) / 10.
    for (at, quantile) in [(1, 0.9), (2, 0.99), (3, 0.999)] {
        let expected = 2000.0 - 10_000.0 * (1.0 - quantile);
        assert!(
            (open.millis[at] - expected).abs() < 15.0,
            "{quantile}: {}, expected {expected}",
            open.millis[at]
        );
    }
    // The same schedule in a closed loop over ten connections: ten requests are slow, and even the 99 %
    // quantile looks fast.
    let closed = play(Driver::new(&points, Mode::Closed, RetryBehaviour::GiveUp, 10), stalling_server);
    assert_eq!(closed.served, points.len());
    assert!(closed.millis[2] < 5.0 && closed.millis[4] > 1900.0, "{:?}", closed.millis);
}

#[test]
fn a_retried_request_counts_once_with_latency_from_its_first_due_time() {
    let points = schedule(100.0, 2.0, Shape::Steady, Intervals::Even, 1);
    for (behaviour, wait) in [(RetryBehaviour::Immediately, 20.0), (RetryBehaviour::HonourRetryAfter, 320.0)]
    {
        // Each is rejected twice, after 10 ms each, with a Retry-After of 150 ms.
        let answer = |sent, outgoing: OutgoingTry| match outgoing.retry {
            0 | 1 => (sent + 10_000, Response::Rejected(Some(150_000))),
            _ => (sent + 1_000, Response::Served),
        };
        let summary = play(Driver::new(&points, Mode::Open, behaviour, 100), answer);
        assert_eq!((summary.due, summary.served), (points.len(), points.len()));
        assert_eq!(summary.tries, 3 * points.len());
        assert!((summary.millis[0] - (wait + 1.0)).abs() < 1.0, "{behaviour:?}: {:?}", summary.millis);
    }
    let rejecting = |sent, _| (sent + 1000, Response::Rejected(None));
    let summary = play(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 100), rejecting);
    assert_eq!((summary.rejected, summary.tries), (points.len(), points.len()));
}

#[test]
fn a_late_or_starved_generator_voids_its_figures() {
    let points = schedule(1000.0, 2.0, Shape::Steady, Intervals::Poisson, 1);
    let fast_server = |sent, _| (sent + 1000, Response::Served);
    let on_time = play(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 200), fast_server);
    assert!(!on_time.void && on_time.late == 0);
    let late = play_late(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 500), 50_000, fast_server);
    assert!(late.void && late.late_ms > 40.0, "{late:?}");
    // A slow server does not void the figures, but too few connections do.
    let slow_server = |sent, _| (sent + 900_000, Response::Served);
    let enough = play(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 2000), slow_server);
    assert!(!enough.void && enough.late == 0, "{enough:?}");
    let starved = play(Driver::new(&points, Mode::Open, RetryBehaviour::GiveUp, 10), slow_server);
    assert!(starved.void && starved.starved > 0);
}

#[test]
fn requests_without_an_answer_at_the_end_have_failed() {
    let mut driver = Driver::new(&[0, 10], Mode::Open, RetryBehaviour::GiveUp, 4);
    let outgoing = driver.poll(20);
    assert_eq!(outgoing.len(), 2);
    driver.answered(30, outgoing[0], Response::Served);
    driver.answered(40, OutgoingTry { connection: 3, ..outgoing[1] }, Response::Failed);
    let summary = driver.summary();
    assert_eq!((summary.served, summary.failed), (1, 1));
    let driver = Driver::new(&[0, 10], Mode::Open, RetryBehaviour::GiveUp, 4);
    assert_eq!(driver.summary().failed, 2);
}
