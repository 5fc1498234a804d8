//! Prints an account as tables.

use super::{Account, Average, SecondAccount};
use std::fmt;

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [half, most, peak] = self.peaks();
        writeln!(f, "{} coordinators, {} engines", self.coordinators, self.engines.len())?;
        writeln!(
            f,
            "most work at one engine over the mean, by second: half {half:.2}, 95% {most:.2}, peak {peak:.2}"
        )?;
        self.write_engines(f)?;
        self.write_classes(f)?;
        self.write_seconds(f)?;
        if self.malformed_lines > 0 {
            writeln!(f, "{} malformed lines", self.malformed_lines)?;
        }
        Ok(())
    }
}

impl Account {
    fn write_engines(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let count = self.engines.len().max(1) as f64;
        let mean = self.engines.values().map(|engine| engine.work).sum::<f64>() / count;
        writeln!(
            f,
            "{:<20}{:>10}{:>8}{:>14}{:>8}{:>12}",
            "engine", "work s", "/mean", "coordinators", "errors", "met by"
        )?;
        for (id, engine) in &self.engines {
            let errors: u64 = engine.errors.values().sum();
            writeln!(
                f,
                "{id:<20}{:>10.1}{:>8.2}{:>14}{errors:>8}{:>12}",
                engine.work / 1000.0,
                engine.work / mean.max(1e-9),
                engine.coordinators.len(),
                engine.errors.len()
            )?;
        }
        Ok(())
    }

    fn write_classes(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(
            f,
            "{:<8}{:>9}{:>9}{:>17}{:>15}{:>8}",
            "class", "taken", "served", "refused untried", "refused tried", "failed"
        )?;
        for (position, class) in &self.classes {
            writeln!(
                f,
                "{position:<8}{:>9}{:>9}{:>17}{:>15}{:>8}",
                class.accepted, class.served, class.rejected_untried, class.rejected_tried, class.failed
            )?;
        }
        Ok(())
    }

    fn write_seconds(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:<7}{:>7}{:>8}{:>9}", "second", "taken", "refused", "given up")?;
        write!(f, "{:>7}{:>7}{:>7}", "cores", "memory", "disks")?;
        write!(f, "{:>8}{:>8}{:>8}", "spills", "w mem", "w load")?;
        writeln!(f, "{:>10}{:>8}", "bounds ms", "held ms")?;
        let first = self.work.keys().next().copied().unwrap_or_default();
        for (second, account) in &self.seconds {
            write_second(f, second - first, account)?;
        }
        Ok(())
    }
}

fn write_second(f: &mut fmt::Formatter, second: i64, account: &SecondAccount) -> fmt::Result {
    let SecondAccount { accepted, rejected, utilization, abandoned, problems, pool } = account;
    let [cores, memory, disks] = utilization.map(Average::mean);
    write!(f, "{second:<7}{accepted:>7}{rejected:>8}{abandoned:>9}")?;
    write!(f, "{cores:>7.2}{memory:>7.2}{disks:>7.2}")?;
    write!(f, "{:>8}{:>8}{:>8}", problems.spills, problems.memory_waits, problems.load_waits)?;
    writeln!(f, "{:>10.0}{:>8.0}", pool.bounds.mean(), pool.in_flight.mean())
}
