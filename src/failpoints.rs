//! Named points at which a test ends or stops the program in the middle of its work. In the daemon's build there are none.

/// Comes to a point.
#[cfg(not(feature = "points"))]
pub fn reach(_: &str) {}

/// Comes to a point.
#[cfg(feature = "points")]
pub fn reach(name: &str) {
    fail::eval::<(), _>(name, |_| ());
}

/// Without the points there is nothing to set.
#[cfg(not(feature = "points"))]
pub fn set() {}

/// Sets what the environment says, to end there or to stop: `point`, or `point@3` for the third time that the program
/// comes there.
#[cfg(feature = "points")]
pub fn set() {
    use rustix::process::Signal;
    use std::sync::atomic::{AtomicUsize, Ordering};
    for (variable, signal) in [("DAHLIASPOKE_KILL_AT", Signal::KILL), ("DAHLIASPOKE_STOP_AT", Signal::STOP)] {
        let Ok(said) = std::env::var(variable) else { continue };
        let (name, times) = said.split_once('@').unwrap_or((&said, "1"));
        let times = times.parse().unwrap_or(1usize);
        let come = AtomicUsize::new(0);
        let met = move || {
            if come.fetch_add(1, Ordering::SeqCst) + 1 == times {
                // One that is killed does not come back; one that is stopped goes on from here.
                let _ = rustix::process::kill_process(rustix::process::getpid(), signal);
                if signal == Signal::KILL {
                    loop {
                        std::thread::park();
                    }
                }
            }
        };
        fail::cfg_callback(name, met).unwrap_or_else(|e| println!("{name}: {e}"));
    }
}
