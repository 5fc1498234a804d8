//! Tests of the store on disks with injected faults. No result depends on real time: write timeouts
//! follow a simulated clock, and the disk is controlled by the test.

mod demotion;
mod faulty_disks;
mod fixture;
mod random_histories;
mod replays;
mod storage;
mod unknown_length;
