//! The commands of the admin interface, by HTTP method and path.

use crate::listener::http::codec::HttpError;
use dahliaspoke::policy::EngineId;

const HEALTH_PATH: &str = "/healthcheck";
const STATISTICS_PATH: &str = "/stats";
/// Followed by an engine's id and the action.
const ENGINE_PREFIX: &str = "/worker-groups/";
const START_MAINTENANCE: &str = "maint";
const END_MAINTENANCE: &str = "ready";

/// A command to the admin interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `GET /healthcheck`: whether this process serves clients.
    Health,
    /// `GET /stats`: the statistics as text.
    Statistics,
    /// `POST /worker-groups/ID/maint`: take the engine out of service.
    StartMaintenance(EngineId),
    /// `POST /worker-groups/ID/ready`: return the engine to service.
    EndMaintenance(EngineId),
}

impl Command {
    /// Decodes a command.
    ///
    /// # Errors
    /// The HTTP status for an unknown path (404), or for a method that the path does not support (405).
    pub fn decode(method: &str, path: &str) -> Result<Self, HttpError> {
        let command = Self::from_path(path).ok_or(HttpError(404))?;
        if method == command.method() {
            Ok(command)
        } else {
            Err(HttpError(405))
        }
    }

    fn from_path(path: &str) -> Option<Self> {
        match path {
            HEALTH_PATH => return Some(Command::Health),
            STATISTICS_PATH => return Some(Command::Statistics),
            _ => {}
        }
        let (engine, action) = path.strip_prefix(ENGINE_PREFIX)?.split_once('/')?;
        match action {
            START_MAINTENANCE => Some(Command::StartMaintenance(engine.into())),
            END_MAINTENANCE => Some(Command::EndMaintenance(engine.into())),
            _ => None,
        }
    }

    /// The only method that the command's path supports.
    fn method(&self) -> &'static str {
        match self {
            Command::Health | Command::Statistics => "GET",
            Command::StartMaintenance(_) | Command::EndMaintenance(_) => "POST",
        }
    }
}
