//! `take-over`: imports the file of the former gossip store.

use crate::error::CommandError;
use dahliaspoke_ctl::{CallError, Client, Reply};
use std::collections::BTreeMap;
use std::path::Path;

/// An entry of the gossip store's file: its version, the replica that wrote it, and its value.
type GossipEntry = (u64, String, String);

/// Writes the value of each key in the file, except for keys that already have a value.
///
/// # Errors
/// If the file cannot be read or parsed, or a call fails for another reason than being refused.
pub fn run(client: &mut Client, path: &Path) -> Result<(), CommandError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CommandError::ReadFile { path: path.into(), error })?;
    let entries: BTreeMap<String, GossipEntry> =
        serde_json::from_str(&text).map_err(|error| CommandError::ParseFile { path: path.into(), error })?;
    for (key, (_version, _origin, value)) in entries {
        match client.call(&["CAS", &key, "0", &value]) {
            Ok(Reply::Status(line)) => println!("{key}: {line}"),
            Ok(other) => return Err(CommandError::UnexpectedReply(other)),
            Err(CallError::Refused(reason)) => println!("{key}: stays as it is: {reason}"),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}
