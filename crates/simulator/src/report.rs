//! What a run came to.

use crate::audit::{Broken, Ramp};
use crate::{seconds, Micros};
use serde::Serialize;

/// Seconds of a window.
const WINDOW: f64 = 10.0;
/// Price of a send to another hall, of work for nobody, of a new connection.
pub const PRICES: (f64, f64, f64) = (0.038, 0.16, 0.03);

/// Requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Requests that came, each counted once however often its client tried.
    pub offered: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served after it.
    pub late: u64,
    /// Turned away at last.
    pub refused: u64,
    /// Failed, or without an answer.
    pub failed: u64,
    /// Worth that came and worth that was served.
    pub priority_weight: (f64, f64),
    /// Quantiles of the time from coming to the answer, of those served (ms): 0.5, 0.9, 0.99.
    pub millis: [f64; 3],
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Half of all the worth served, 0.3 of the worst ten seconds, 0.2 of the worst class, less the prices.
    pub goal: f64,
    /// Share of the worth that was served: in all, in the worst window, in the worst class.
    pub served: [f64; 3],
    /// What is taken off: sends to other halls, work for nobody, new connections.
    pub prices: [f64; 3],
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Attempts for each request.
    pub attempts: f64,
    /// What all sent to a cold engine in one window, where that came nearest to too much.
    pub ramp: Option<Ramp>,
    /// Rules that were broken, and the first of them.
    pub broken: u64,
    /// The first of them.
    pub first: Vec<Broken>,
    /// Events that were played.
    pub events: u64,
    /// Sum over all that happened: two runs that differ anywhere differ here.
    pub sum: u64,
}

/// Collects a run.
#[derive(Default)]
pub struct Tally {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Times to the answer (s) by class.
    pub times: Vec<Vec<f64>>,
    /// Worth that came and was served, by the second it came in.
    pub by_second: Vec<(f64, f64)>,
    /// Attempts, and those to another hall.
    pub attempts: (u64, u64),
    /// New connections.
    pub connections: u64,
    /// Work that came, and work for nobody (ms).
    pub work: (f64, f64),
}

impl Tally {
    /// A request came.
    pub fn came(&mut self, at: Micros, class: usize, priority_weight: f64, work: f64) {
        let second = seconds(at) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, (0.0, 0.0));
        }
        self.by_second[second].0 += priority_weight;
        self.classes[class].offered += 1;
        self.classes[class].priority_weight.0 += priority_weight;
        self.work.0 += work;
    }

    /// A request was served, for that worth.
    pub fn served(&mut self, came: Micros, now: Micros, class: usize, priority_weight: f64, in_time: bool) {
        self.by_second[seconds(came) as usize].1 += priority_weight;
        let figures = &mut self.classes[class];
        figures.priority_weight.1 += priority_weight;
        *if in_time { &mut figures.in_time } else { &mut figures.late } += 1;
        self.times[class].push(seconds(now - came));
    }

    /// The run is over.
    pub fn close(mut self, broken: (u64, Vec<Broken>), ramp: Option<Ramp>, events: u64, sum: u64) -> Report {
        let part = |(all, got): (f64, f64)| if all > 0.0 { got / all } else { 1.0 };
        let add = |a: (f64, f64), b: &(f64, f64)| (a.0 + b.0, a.1 + b.1);
        let whole = part(self.by_second.iter().fold((0.0, 0.0), add));
        let width = (WINDOW as usize).min(self.by_second.len().max(1));
        let windows = self.by_second.windows(width).map(|w| part(w.iter().fold((0.0, 0.0), add)));
        let worst_window = windows.fold(whole, f64::min);
        let worst_class = self.classes.iter().map(|c| part(c.priority_weight)).fold(whole, f64::min);
        for (class, times) in self.classes.iter_mut().zip(&mut self.times) {
            times.sort_by(f64::total_cmp);
            let at = |q: f64| times.get((q * times.len() as f64) as usize).map_or(0.0, |s| s * 1000.0);
            class.millis = [0.5, 0.9, 0.99].map(at);
        }
        let offered = self.classes.iter().map(|c| c.offered).sum::<u64>().max(1) as f64;
        let prices = [
            PRICES.0 * self.attempts.1 as f64 / offered,
            PRICES.1 * self.work.1 / self.work.0.max(1.0),
            PRICES.2 * self.connections as f64 / offered,
        ];
        let goal = 0.5 * whole + 0.3 * worst_window + 0.2 * worst_class - prices.iter().sum::<f64>();
        Report {
            goal,
            served: [whole, worst_window, worst_class],
            prices,
            classes: self.classes,
            attempts: self.attempts.0 as f64 / offered,
            ramp,
            broken: broken.0,
            first: broken.1,
            events,
            sum,
        }
    }
}
