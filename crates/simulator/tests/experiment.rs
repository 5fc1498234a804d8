//! Experiments: verdicts, resumed runs, invalid files.

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
fn a_mean_interval_uses_students_t_distribution() {
    // Mean 3, standard deviation sqrt(2.5), t(4) = 2.7764 at 97.5 %.
    let MeanInterval { mean, half_width: half } = MeanInterval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!((mean - 3.0).abs() < 1e-12 && (half - 2.7764 * (0.5f64).sqrt()).abs() < 1e-3, "{half}");
    assert!(MeanInterval::of(&[1.0]).half_width.is_infinite());
}

#[test]
fn a_difference_is_better_or_worse_only_if_its_interval_excludes_0() {
    let verdict = |pairs: &[(f64, f64)]| Difference::of(pairs).verdict();
    assert_eq!(verdict(&[(0.5, 0.6), (0.4, 0.5), (0.6, 0.71)]), "better");
    assert_eq!(verdict(&[(0.6, 0.5), (0.5, 0.4), (0.71, 0.6)]), "worse");
    assert_eq!(verdict(&[(0.5, 0.6), (0.5, 0.4), (0.5, 0.5)]), "cannot tell");
    assert_eq!(verdict(&[(0.1, 0.9)]), "cannot tell", "a single run gives no verdict");
}

#[test]
fn finished_runs_are_reused_and_incomplete_rows_are_run_again() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let experiment = Experiment::read(FILE).expect("a valid experiment");
    let run_count = AtomicUsize::new(0);
    let count = |_, _| {
        run_count.fetch_add(1, Ordering::SeqCst);
    };
    let first = experiment.run(folder.path(), 4, count).expect("the experiment runs");
    assert_eq!(run_count.load(Ordering::SeqCst), 12);
    let path = folder.path().join("rows.jsonl");
    let text = std::fs::read_to_string(&path).expect("the file exists");
    std::fs::write(&path, &text[..text.len() - 30]).expect("the file is truncated");
    assert_eq!(
        experiment.run(folder.path(), 1, count).expect("the experiment runs"),
        first,
        "the result does not depend on the number of jobs"
    );
    assert_eq!(run_count.load(Ordering::SeqCst), 13);
    // A different text is a different experiment.
    let other = Experiment::read(&FILE.replace("engines = 3", "engines = 4")).expect("a valid experiment");
    assert_ne!(other.run(folder.path(), 4, count).expect("the experiment runs"), first);
    assert_eq!(run_count.load(Ordering::SeqCst), 25);
    let plot = std::fs::read_to_string(folder.path().join("plot.svg")).expect("the file exists");
    assert!(plot.starts_with("<svg") && plot.contains("Random"));
    assert_eq!(
        std::fs::read_to_string(folder.path().join("rows.csv")).expect("the file exists").lines().count(),
        13
    );
}

#[test]
fn an_invalid_file_is_reported() {
    let read_error = |from: &str, to: &str| {
        Experiment::read(&FILE.replace(from, to)).expect_err("the file is invalid").to_string()
    };
    assert_eq!(read_error("seeds = 3", "seeds = \"x\""), "line 3: invalid type: string \"x\", expected u64");
    assert!(read_error("engines = 3", "egines = 3").contains("unknown field `egines`"));
    assert_eq!(
        read_error("baseline = \"module\"", "baseline = \"oracle\""),
        "baseline: it is not among the policies"
    );
    assert_eq!(read_error("[0.5, 1.2]", "[\"a\"]"), "vary: \"a\" is not a number");
}
