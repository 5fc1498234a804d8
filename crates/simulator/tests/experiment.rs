//! Experiments: verdicts, plays that are taken up again, files that are none.

use dahliaspoke_simulator::experiment::{Difference, Experiment, MeanInterval};
use std::sync::atomic::{AtomicUsize, Ordering};

const FILE: &str = r#"
title = "Small"
seeds = 3
policies = ["module", "random"]
baseline = "module"
vary = { key = "load", values = [0.5, 1.2] }
scenario = { seconds = 4.0, engines = 3, coordinators = 2 }
"#;

#[test]
fn an_interval_is_students() {
    // Mean 3, standard deviation sqrt(2.5), t(4) = 2.7764 at 97.5 %.
    let MeanInterval { mean, half_width: half } = MeanInterval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!((mean - 3.0).abs() < 1e-12 && (half - 2.7764 * (0.5f64).sqrt()).abs() < 1e-3, "{half}");
    assert!(MeanInterval::of(&[1.0]).half_width.is_infinite());
}

#[test]
fn a_verdict_needs_an_interval_without_0() {
    let verdict = |pairs: &[(f64, f64)]| Difference::of(pairs).verdict();
    assert_eq!(verdict(&[(0.5, 0.6), (0.4, 0.5), (0.6, 0.71)]), "better");
    assert_eq!(verdict(&[(0.6, 0.5), (0.5, 0.4), (0.71, 0.6)]), "worse");
    assert_eq!(verdict(&[(0.5, 0.6), (0.5, 0.4), (0.5, 0.5)]), "cannot tell");
    assert_eq!(verdict(&[(0.1, 0.9)]), "cannot tell", "one play says nothing");
}

#[test]
fn finished_runs_are_not_played_again_and_an_incomplete_row_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let experiment = Experiment::read(FILE).expect("an experiment");
    let played = AtomicUsize::new(0);
    let count = |_, _| {
        played.fetch_add(1, Ordering::SeqCst);
    };
    let first = experiment.run(folder.path(), 4, count).expect("played");
    assert_eq!(played.load(Ordering::SeqCst), 12);
    let path = folder.path().join("rows.jsonl");
    let text = std::fs::read_to_string(&path).expect("there");
    std::fs::write(&path, &text[..text.len() - 30]).expect("cut");
    assert_eq!(
        experiment.run(folder.path(), 1, count).expect("played"),
        first,
        "the same from any number of cores"
    );
    assert_eq!(played.load(Ordering::SeqCst), 13);
    // Another text is another experiment.
    let other = Experiment::read(&FILE.replace("engines = 3", "engines = 4")).expect("an experiment");
    assert_ne!(other.run(folder.path(), 4, count).expect("played"), first);
    assert_eq!(played.load(Ordering::SeqCst), 25);
    let plot = std::fs::read_to_string(folder.path().join("plot.svg")).expect("there");
    assert!(plot.starts_with("<svg") && plot.contains("Random"));
    assert_eq!(std::fs::read_to_string(folder.path().join("rows.csv")).expect("there").lines().count(), 13);
}

#[test]
fn an_invalid_file_is_reported() {
    let bad = |from: &str, to: &str| Experiment::read(&FILE.replace(from, to)).expect_err("bad").to_string();
    assert_eq!(bad("seeds = 3", "seeds = \"x\""), "line 3: invalid type: string \"x\", expected u64");
    assert!(bad("engines = 3", "egines = 3").contains("unknown field `egines`"));
    assert_eq!(
        bad("baseline = \"module\"", "baseline = \"oracle\""),
        "baseline: it is not among the policies"
    );
    assert_eq!(bad("[0.5, 1.2]", "[\"a\"]"), "vary: \"a\" is not a number");
}
