//! What operators may call, by method and path.

use crate::listener::http::codec::HttpError;
use dahliaspoke::policy::EngineId;

const HEALTH_PATH: &str = "/healthcheck";
const STATISTICS_PATH: &str = "/stats";
/// Followed by an engine's id and what is wanted of it.
const ENGINE_PREFIX: &str = "/worker-groups/";
const START_MAINTENANCE: &str = "maint";
const END_MAINTENANCE: &str = "ready";

/// A call to the admin interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `GET /healthcheck`: whether this process takes clients.
    Health,
    /// `GET /stats`: the statistics as text.
    Statistics,
    /// `POST /worker-groups/ID/maint`: take the engine out of service.
    StartMaintenance(EngineId),
    /// `POST /worker-groups/ID/ready`: the engine may serve again.
    EndMaintenance(EngineId),
}

impl Command {
    /// Decodes a call.
    ///
    /// # Errors
    /// The HTTP status for an unknown path (404), or a method that the path does not have (405).
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

    /// The one method that its path has.
    fn method(&self) -> &'static str {
        match self {
            Command::Health | Command::Statistics => "GET",
            Command::StartMaintenance(_) | Command::EndMaintenance(_) => "POST",
        }
    }
}
