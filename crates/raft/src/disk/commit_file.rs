//! The file with the last commit index that a member knew. It is no promise, so it is not synced: after a crash of the
//! machine it may be missing, torn or old, which only means that less is known to be committed until the leader says so.

use super::folder::Disk;
use crate::codec::{decode, encode};
use crate::entry::{HardState, LogPosition};
use crate::Id;
use serde::{Deserialize, Serialize};
use std::io;

const FILE_NAME: &str = "commit";
const PART_NAME: &str = "commit.part";

/// The content of the file; the order and types of the fields are the format.
#[derive(Serialize, Deserialize)]
struct CommitRecord {
    /// The log that the index belongs to.
    cluster: u64,
    /// The member that wrote it.
    member: Id,
    /// The last committed entry.
    commit: LogPosition,
}

/// Reads the position of the last entry that was known to be committed; the default if the file is missing, torn or of
/// another member or log.
pub(super) fn read(disk: &mut dyn Disk, owner: &HardState) -> LogPosition {
    let Ok(bytes) = disk.read(FILE_NAME) else { return LogPosition::default() };
    match decode::<CommitRecord>(&bytes) {
        Ok(record) if record.cluster == owner.cluster && record.member == owner.id => record.commit,
        _ => LogPosition::default(),
    }
}

/// Replaces the file.
///
/// # Errors
/// The error of the operating system. The file is unchanged then.
pub(super) fn write(disk: &mut dyn Disk, owner: &HardState, commit: LogPosition) -> io::Result<()> {
    match disk.remove(PART_NAME) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let record = CommitRecord { cluster: owner.cluster, member: owner.id, commit };
    disk.append(PART_NAME, &encode(&record))?;
    disk.rename(PART_NAME, FILE_NAME)
}
