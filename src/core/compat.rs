//! Former names, and errors as texts, for callers that are not typed yet. All of it goes with the last of them.

use super::{Core, FixedSettingsError, Route};
use crate::net::Time;
use dahliaspoke::policy::Settings;

impl From<FixedSettingsError> for String {
    fn from(error: FixedSettingsError) -> Self {
        error.to_string()
    }
}

impl Core {
    /// [`Core::settings_check`] with a text for an error.
    pub fn fitting(&self) -> impl Fn(&Settings) -> Result<(), String> + 'static {
        let check = self.settings_check();
        move |settings| Ok(check(settings)?)
    }

    /// [`Core::apply_settings`] with a text for an error.
    ///
    /// # Errors
    /// As [`Core::apply_settings`].
    pub fn settings(&mut self, now: Time, settings: Settings, routes: &mut [Route]) -> Result<(), String> {
        Ok(self.apply_settings(now, settings, routes)?)
    }
}
