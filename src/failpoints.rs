//! Named points at which a test kills or stops the process in the middle of its work. The daemon's own build has none.

/// Marks a failpoint.
#[cfg(not(feature = "points"))]
pub fn reach(_: &str) {}

/// Marks a failpoint.
#[cfg(feature = "points")]
pub fn reach(name: &str) {
    fail::eval::<(), _>(name, |_| ());
}

/// Without failpoints there is nothing to configure.
#[cfg(not(feature = "points"))]
pub fn configure() {}

/// Configures the failpoints that the environment names: `DAHLIASPOKE_KILL_AT=NAME` kills the process there, and
/// `DAHLIASPOKE_STOP_AT=NAME` stops it; `NAME@3` means the third time that it reaches the point.
#[cfg(feature = "points")]
pub fn configure() {
    active::configure();
}

#[cfg(feature = "points")]
mod active {
    use rustix::process::{getpid, kill_process, Signal};
    use std::sync::atomic::{AtomicUsize, Ordering};

    /// Names the failpoint at which the process is killed.
    const KILL_VARIABLE: &str = "DAHLIASPOKE_KILL_AT";
    /// Names the failpoint at which the process is stopped.
    const STOP_VARIABLE: &str = "DAHLIASPOKE_STOP_AT";

    pub fn configure() {
        configure_from(KILL_VARIABLE, Signal::KILL);
        configure_from(STOP_VARIABLE, Signal::STOP);
    }

    /// Sends `signal` to this process at the failpoint that the variable names.
    fn configure_from(variable: &str, signal: Signal) {
        let Ok(value) = std::env::var(variable) else { return };
        let (name, count) = value.split_once('@').unwrap_or((&value, "1"));
        let count = count.parse().unwrap_or(1usize);
        let reached = AtomicUsize::new(0);
        let on_reached = move || {
            if reached.fetch_add(1, Ordering::SeqCst) + 1 == count {
                send(signal);
            }
        };
        fail::cfg_callback(name, on_reached).unwrap_or_else(|error| println!("{name}: {error}"));
    }

    /// A process that is killed does not come back; one that is stopped goes on from here.
    fn send(signal: Signal) {
        let _ = kill_process(getpid(), signal);
        if signal == Signal::KILL {
            loop {
                std::thread::park();
            }
        }
    }
}
