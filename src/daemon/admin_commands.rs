//! Executes the commands received by the admin interface.

use super::maintenance::MaintenanceChange;
use super::shutdown::ShutdownState;
use super::Daemon;
use crate::admin::{AdminInterface, Command, Response};
use crate::net::Time;

impl Daemon {
    /// Executes and answers every command received.
    pub(super) fn answer_commands(&mut self, now: Time) {
        while let Some(call) = self.handlers.admin.as_mut().and_then(AdminInterface::next_call) {
            let response = self.execute(now, call.command);
            if let Some(admin) = &mut self.handlers.admin {
                admin.respond(now, call.connection, &response);
            }
        }
    }

    fn execute(&mut self, now: Time, command: Command) -> Response {
        match command {
            Command::Health if self.shutdown != ShutdownState::Serving => Response::ShuttingDown,
            Command::Health => Response::Healthy,
            Command::Statistics => Response::Statistics(self.statistics(now)),
            Command::StartMaintenance(engine) => {
                self.change_maintenance(now, engine, MaintenanceChange::Start)
            }
            Command::EndMaintenance(engine) => self.change_maintenance(now, engine, MaintenanceChange::End),
        }
    }
}
