//! Experiments: scenarios, policies and seeds in one file; runs spread over cores; paired differences with
//! confidence intervals, and a verdict.
//!
//! Runs are paired by value and seed: the same traffic, decided twice. A difference is told as better or worse
//! only where the interval of its mean leaves 0 out.

use crate::policy::PolicyKind;
use crate::report::Report;
use crate::scenario::Scenario;
use crate::world;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;

/// An experiment, as its file has it (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it asks, in a sentence: the title of its plot.
    pub title: String,
    /// Seeds 1 to this.
    pub seeds: u64,
    /// Who decides.
    pub policies: Vec<PolicyKind>,
    /// Whom the others are compared with.
    pub baseline: PolicyKind,
    /// What is varied.
    pub vary: Vary,
    /// What is played, but for that.
    pub scenario: toml::Table,
}

/// One value of a scenario, in its turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vary {
    /// Its key.
    pub key: String,
    /// Its values.
    pub values: Vec<toml::Value>,
}

/// One run's result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Names the program that played it, and the scenario with its varied value: rows of another program or of
    /// another text are not taken up again.
    pub play: u64,
    /// The varied value.
    pub value: f64,
    /// Who decided.
    pub policy: PolicyKind,
    /// The draw.
    pub seed: u64,
    /// What it came to.
    pub goal: f64,
    /// Share of the worth served.
    pub served: f64,
    /// Worst ten seconds.
    pub window: f64,
    /// Worst class.
    pub class: f64,
    /// Attempts for each request.
    pub attempts: f64,
    /// Rules broken.
    pub broken: u64,
}

/// How one policy compares with the baseline at one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Plays of each.
    pub plays: usize,
    /// Mean of the differences of the goal.
    pub mean: f64,
    /// Half of the 95 % interval of that mean; infinite for fewer than two plays.
    pub half: f64,
}

impl Difference {
    /// Of paired goals.
    #[must_use]
    pub fn of(pairs: &[(f64, f64)]) -> Self {
        let differences: Vec<f64> = pairs.iter().map(|(base, other)| other - base).collect();
        let (mean, half) = interval(&differences);
        Self { plays: pairs.len(), mean, half }
    }

    /// In a word.
    #[must_use]
    pub fn verdict(&self) -> &'static str {
        if self.mean - self.half > 0.0 {
            "better"
        } else if self.mean + self.half < 0.0 {
            "worse"
        } else {
            "cannot tell"
        }
    }
}

/// Mean, and half of its 95 % interval after Student.
#[must_use]
pub fn interval(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let quantile = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
    (mean, quantile * (variance / count).sqrt())
}

struct Play {
    scenario: Scenario,
    id: u64,
    value: f64,
    policy: PolicyKind,
    seed: u64,
}

/// A sum over bytes that names them (FNV-1a).
fn name(bytes: &[u8]) -> u64 {
    let mix = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Names this program: another build may play the same text otherwise.
fn program() -> u64 {
    let text = std::env::current_exe().and_then(std::fs::read);
    text.map_or(0, |text| name(&text))
}

impl Experiment {
    /// Reads a file's text.
    ///
    /// # Errors
    /// Where it is none, or one of its scenarios is none.
    pub fn read(text: &str) -> Result<Self, String> {
        let experiment: Self = crate::toml_file::from_toml(text).map_err(|e| e.to_string())?;
        experiment.plays(0)?; // only whether each is one
        if !experiment.policies.contains(&experiment.baseline) {
            return Err("baseline: it is not among the policies".into());
        }
        Ok(experiment)
    }

    fn plays(&self, program: u64) -> Result<Vec<Play>, String> {
        let mut plays = Vec::new();
        for value in &self.vary.values {
            let number = match value {
                toml::Value::Integer(number) => *number as f64,
                toml::Value::Float(number) => *number,
                _ => return Err(format!("vary: {value} is no number")),
            };
            let mut table = self.scenario.clone();
            table.insert(self.vary.key.clone(), value.clone());
            let text = table.to_string();
            let scenario =
                Scenario::read(&text).map_err(|e| format!("scenario, {} = {value}: {e}", self.vary.key))?;
            for policy in &self.policies {
                for seed in 1..=self.seeds {
                    let (scenario, id, policy) = (scenario.clone(), program ^ name(text.as_bytes()), *policy);
                    plays.push(Play { scenario, id, value: number, policy, seed });
                }
            }
        }
        Ok(plays)
    }

    /// Plays what has not been played, so many at a time, and writes all into the folder: `rows.jsonl` as they
    /// come, then `rows.csv`, `plot.svg` and `result.md`. Returns what `result.md` holds.
    ///
    /// # Errors
    /// Where the folder cannot be written.
    pub fn run(
        &self,
        folder: &Path,
        jobs: usize,
        progress: impl Fn(usize, usize) + Sync,
    ) -> Result<String, String> {
        let told = |e: std::io::Error| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(told)?;
        let path = folder.join("rows.jsonl");
        let mut rows = read_rows(&path);
        let plays = self.plays(program())?;
        let is =
            |row: &Row, play: &Play| (row.play, row.policy, row.seed) == (play.id, play.policy, play.seed);
        rows.retain(|row| plays.iter().any(|play| is(row, play)));
        let missing: Vec<&Play> = plays.iter().filter(|play| !rows.iter().any(|row| is(row, play))).collect();
        // What was cut off in the middle of a line, or is of another text, goes.
        let mut file = File::create(&path).map_err(told)?;
        rows.iter().try_for_each(|row| write_row(&mut file, row)).map_err(told)?;
        drop(file);
        let mut file = OpenOptions::new().append(true).open(&path).map_err(told)?;
        let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let (send, come) = channel();
        std::thread::scope(|scope| {
            for _ in 0..jobs.clamp(1, missing.len().max(1)) {
                let (send, next, done, missing, progress) = (send.clone(), &next, &done, &missing, &progress);
                scope.spawn(move || {
                    while let Some(play) = missing.get(next.fetch_add(1, Ordering::SeqCst)) {
                        let report = world::play(&play.scenario, play.policy, play.seed);
                        progress(done.fetch_add(1, Ordering::SeqCst) + 1, missing.len());
                        if send.send(row(play, &report)).is_err() {
                            return;
                        }
                    }
                });
            }
            drop(send);
            for row in come {
                write_row(&mut file, &row).map_err(told)?;
                rows.push(row);
            }
            Ok::<(), String>(())
        })?;
        rows.sort_by(|a, b| {
            let key = |r: &Row| (r.policy as u8, r.seed);
            a.value.total_cmp(&b.value).then(key(a).cmp(&key(b)))
        });
        // In their order, whichever ended first.
        let mut file = File::create(&path).map_err(told)?;
        rows.iter().try_for_each(|row| write_row(&mut file, row)).map_err(told)?;
        std::fs::write(folder.join("rows.csv"), csv(&rows)).map_err(told)?;
        self.plot(&folder.join("plot.svg"), &rows).map_err(|e| format!("plot: {e}"))?;
        let text = self.result(&rows);
        std::fs::write(folder.join("result.md"), &text).map_err(told)?;
        Ok(text)
    }

    fn goals(&self, rows: &[Row]) -> BTreeMap<(u64, u8), (f64, PolicyKind, Vec<f64>)> {
        let mut goals: BTreeMap<(u64, u8), (f64, PolicyKind, Vec<f64>)> = BTreeMap::new();
        for row in rows {
            // Values are not negative, so their bits are in their order.
            let cell = goals.entry((row.value.to_bits(), row.policy as u8)).or_insert((
                row.value,
                row.policy,
                vec![],
            ));
            cell.2.push(row.goal);
        }
        goals
    }

    fn result(&self, rows: &[Row]) -> String {
        let goals = self.goals(rows);
        let mut text =
            format!("# {}\n\nGoal by {}; {} seeds each.\n\n", self.title, self.vary.key, self.seeds);
        let _ = writeln!(
            text,
            "| {} | policy | goal | against {:?} | verdict | plays | rules broken |",
            self.vary.key, self.baseline
        );
        text += "| --- | --- | --- | --- | --- | --- | --- |\n";
        for ((value, _), (number, policy, own)) in &goals {
            let (mean, half) = interval(own);
            let broken: u64 =
                rows.iter().filter(|r| r.policy == *policy && r.value == *number).map(|r| r.broken).sum();
            let base = &goals.get(&(*value, self.baseline as u8)).map_or(&[][..], |cell| &cell.2);
            let pairs: Vec<(f64, f64)> = base.iter().copied().zip(own.iter().copied()).collect();
            let difference = Difference::of(&pairs);
            let (against, verdict) = if *policy == self.baseline {
                (String::new(), "")
            } else {
                (format!("{:+.3} ± {:.3}", difference.mean, difference.half), difference.verdict())
            };
            let plays = difference.plays;
            let _ = writeln!(
                text,
                "| {number} | {policy:?} | {mean:.3} ± {half:.3} | {against} | {verdict} | {plays} | {broken} |"
            );
        }
        text
    }

    fn plot(&self, path: &Path, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
        let goals = self.goals(rows);
        let values: Vec<f64> = goals.values().map(|cell| cell.0).collect();
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max).max(least + 1e-9);
        // Where values span more than a power of ten, equal factors are equal ways.
        let wide = least > 0.0 && most / least > 10.0;
        let place = |value: f64| if wide { value.log10() } else { value };
        let low = goals.values().flat_map(|c| &c.2).copied().fold(0.0, f64::min);
        let area = SVGBackend::new(path, (860, 520)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(56)
            .build_cartesian_2d(place(least)..place(most), low..1.0)?;
        let label = |at: &f64| if wide { format!("{:.0}", 10f64.powf(*at)) } else { format!("{at:.2}") };
        chart.configure_mesh().x_desc(&self.vary.key).y_desc("goal").x_label_formatter(&label).draw()?;
        for (number, policy) in self.policies.iter().enumerate() {
            let color = Palette99::pick(number).mix(0.9);
            let own: Vec<(f64, f64, f64)> = goals
                .values()
                .filter(|cell| cell.1 == *policy)
                .map(|cell| {
                    let (mean, half) = interval(&cell.2);
                    (place(cell.0), mean, if half.is_finite() { half } else { 0.0 })
                })
                .collect();
            chart
                .draw_series(LineSeries::new(own.iter().map(|p| (p.0, p.1)), color.stroke_width(2)))?
                .label(format!("{policy:?}"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
            chart.draw_series(own.iter().map(|p| Circle::new((p.0, p.1), 3, color.filled())))?;
            let bars = own.iter().map(|p| PathElement::new([(p.0, p.1 - p.2), (p.0, p.1 + p.2)], color));
            chart.draw_series(bars)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

fn row(play: &Play, report: &Report) -> Row {
    let [served, window, class] = report.served.into();
    Row {
        play: play.id,
        value: play.value,
        policy: play.policy,
        seed: play.seed,
        goal: report.goal,
        served,
        window,
        class,
        attempts: report.attempts,
        broken: report.violation_count,
    }
}

fn write_row(file: &mut File, row: &Row) -> std::io::Result<()> {
    let mut line = serde_json::to_string(row).map_err(std::io::Error::other)?;
    line.push('\n');
    file.write_all(line.as_bytes())
}

/// Rows of an earlier call; a line that is not whole is passed over.
fn read_rows(path: &Path) -> Vec<Row> {
    let Ok(file) = File::open(path) else { return Vec::new() };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    lines.filter_map(|line| serde_json::from_str(&line).ok()).collect()
}

fn csv(rows: &[Row]) -> String {
    let mut text = String::from("value,policy,seed,goal,served,window,class,attempts,broken\n");
    for r in rows {
        let _ = writeln!(
            text,
            "{},{:?},{},{:.6},{:.6},{:.6},{:.6},{:.4},{}",
            r.value, r.policy, r.seed, r.goal, r.served, r.window, r.class, r.attempts, r.broken
        );
    }
    text
}
