//! The example dispatcher carries out the actions of the policy.

#[path = "../examples/dispatcher.rs"]
mod dispatcher;
use dahliaspoke::policy::*;
use dispatcher::*;

fn two_engines() -> Dispatcher {
    let mut d = Dispatcher::new(settings(), 1);
    d.feed(Event::EngineList(ListScope::Complete, vec![engine("e1"), engine("e2")]));
    d
}

#[test]
fn query_is_sent_with_memory_and_rank_and_served() {
    let mut d = two_engines();
    assert!(d.subscribed);
    d.feed(query("q"));
    assert!(["e1", "e2"].contains(&&*d.attempts[0].engine));
    assert!(d.attempts.len() == 1 && d.attempts[0].memory == Some(64.0) && d.attempts[0].rank <= 3);
    d.wait(0.1);
    d.end(0, Outcome::Ok);
    assert_eq!(d.answers[&RequestId::from("q")], Answer::Served);
}

#[test]
fn spilling_attempt_is_cancelled_and_retried_with_the_missing_memory() {
    let mut d = two_engines();
    d.feed(query("q"));
    d.feed(Event::Progress { id: "q".into(), attempt: 0, progress: Progress::Spills(100.0) });
    assert_eq!((d.attempts.len(), d.attempts[0].attempt, d.attempts[0].memory), (1, 1, Some(164.0)));
}

#[test]
fn unanswered_query_is_rejected_by_timers() {
    let mut d = two_engines();
    d.feed(query("q"));
    d.wait(3.0);
    assert!(matches!(d.answers[&RequestId::from("q")], Answer::Rejected(Some(_))));
    assert!(d.attempts.is_empty(), "attempts in flight are cancelled");
    assert!(!d.log.is_empty(), "silent engines are ejected, which is logged");
}
