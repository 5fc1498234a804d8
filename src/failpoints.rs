//! Failpoints at which a test kills or stops the process. They are compiled in only with the feature
//! `points`.

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

/// Configures the failpoints named by the environment: `DAHLIASPOKE_KILL_AT=NAME` kills the process at a
/// failpoint, and `DAHLIASPOKE_STOP_AT=NAME` stops it; `NAME@3` means the third time that the failpoint is
/// reached.
#[cfg(feature = "points")]
pub fn configure() {
    active::configure();
}

#[cfg(feature = "points")]
mod active {
    use rustix::process::{getpid, kill_process, Signal};
    use std::sync::atomic::{AtomicUsize, Ordering};

    /// The environment variable with the failpoint at which the process is killed.
    const KILL_VARIABLE: &str = "DAHLIASPOKE_KILL_AT";
    /// The environment variable with the failpoint at which the process is stopped.
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

    /// Returns only after SIGSTOP, once the process is continued. SIGKILL may take a moment to take effect,
    /// and the process must not run on until then.
    fn send(signal: Signal) {
        let _ = kill_process(getpid(), signal);
        if signal == Signal::KILL {
            loop {
                std::thread::park();
            }
        }
    }
}
