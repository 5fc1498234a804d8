//! Changes in the replicated store. Settings and maintenance are applied at once; endpoints are applied only
//! if this coordinator knows none.

use super::Daemon;
use crate::core::FixedSettingsError;
use crate::discovery::endpoint_json::{self, EndpointJsonError};
use crate::discovery::EndpointChanges;
use crate::net::Time;
use crate::store;
use dahliaspoke::policy::{ListScope, Settings};
use dahliaspoke::settings::{object, parse_settings, SettingsError};
use thiserror::Error;

/// Why a stored value cannot be used.
#[derive(Debug, Error)]
enum StoredValueError {
    /// The value is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The value is not a valid settings object.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings change a value that is fixed while the daemon runs.
    #[error(transparent)]
    FixedSettings(#[from] FixedSettingsError),
    /// The value is not a valid list of endpoints.
    #[error(transparent)]
    Endpoints(#[from] EndpointJsonError),
}

/// Decodes settings.
fn decode_settings(text: &str) -> Result<Settings, StoredValueError> {
    let value = serde_json::from_str(text)?;
    Ok(parse_settings(object(&value, "settings")?)?)
}

/// Checks whether `text` is a valid value of `key`; `check_settings` checks whether settings can be applied
/// at run time.
fn check_value(
    key: &str,
    text: &str,
    check_settings: impl Fn(&Settings) -> Result<(), FixedSettingsError>,
) -> Result<(), StoredValueError> {
    match key {
        store::SETTINGS_KEY => Ok(check_settings(&decode_settings(text)?)?),
        store::ENDPOINTS_KEY => Ok(endpoint_json::from_json(text).map(drop)?),
        _ => Ok(()),
    }
}

impl Daemon {
    /// Makes the store check values before it proposes them.
    pub(super) fn install_value_check(&mut self) {
        if let Some(store) = &mut self.handlers.store {
            let check_settings = self.core.settings_check();
            store.set_value_check(Box::new(move |key, text| {
                check_value(key, text, &check_settings).map_err(|error| error.to_string())
            }));
        }
    }

    /// Applies every key that has changed.
    pub(super) fn apply_store_changes(&mut self, now: Time) {
        while let Some(key) = self.handlers.store.as_mut().and_then(|store| store.next_changed_key(now)) {
            tracing::info!(at = now, part = "store", "{key} has changed");
            if key.is_empty() || key.starts_with(store::MAINTENANCE_PREFIX) {
                self.apply_stored_maintenance(now);
            }
            let Some(text) = self.stored_text(&key) else { continue };
            match key.as_str() {
                store::SETTINGS_KEY => self.apply_stored_settings(now, &text),
                store::ENDPOINTS_KEY => self.apply_stored_endpoints(now, &text),
                _ => {}
            }
        }
    }

    /// The value of a key in the store.
    fn stored_text(&self, key: &str) -> Option<String> {
        self.handlers.store.as_ref().and_then(|store| store.get(key)).map(str::to_string)
    }

    /// Applies the settings in the store.
    fn apply_stored_settings(&mut self, now: Time, text: &str) {
        let version = self.handlers.store.as_ref().map_or(0, |store| store.version(store::SETTINGS_KEY));
        match self.change_settings(now, text) {
            Ok(()) => tracing::info!(at = now, part = "store", "settings of version {version} are applied"),
            // The coordinator that proposed them has checked them, but its classes may differ from this
            // one's.
            Err(error) => tracing::info!(at = now, part = "store", "settings are not applied here: {error}"),
        }
    }

    fn change_settings(&mut self, now: Time, text: &str) -> Result<(), StoredValueError> {
        let settings = decode_settings(text)?;
        let routes = &mut self.handlers.routes.for_core();
        Ok(self.core.apply_settings(now, settings, routes)?)
    }

    /// Applies the endpoints in the store if this coordinator knows none.
    fn apply_stored_endpoints(&mut self, now: Time, text: &str) {
        if !self.endpoints.is_empty() {
            return;
        }
        match endpoint_json::from_json(text) {
            Ok(set) => {
                let endpoints = set.to_vec();
                // Discovery must know the endpoints to detect departures.
                self.handlers.discovery.reset_to(now, set);
                let changes = EndpointChanges { notified_at: now, endpoints };
                self.apply_endpoint_changes(now, ListScope::Restored, changes);
            }
            Err(error) => tracing::info!(at = now, part = "store", "stored engines cannot be used: {error}"),
        }
    }
}
