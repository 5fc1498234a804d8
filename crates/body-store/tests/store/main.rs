//! The store over disks that fail on purpose. No verdict depends on how long something takes: the test's own clock says when a
//! write hangs, and the disk waits for the test.

mod demotion;
mod faulty_disks;
mod fixture;
mod random_histories;
mod replays;
mod storage;
mod unknown_length;
