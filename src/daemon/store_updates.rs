//! Changes of the replicated store. Settings and maintenance count at once; the store's endpoints count where none are known
//! here.

use super::Daemon;
use crate::core::FixedSettingsError;
use crate::discovery::endpoint_json::{self, EndpointJsonError};
use crate::discovery::EndpointChanges;
use crate::net::Time;
use crate::store::{self, Store};
use dahliaspoke::policy::{ListScope, Settings};
use dahliaspoke::settings::{object, parse_settings, SettingsError};
use thiserror::Error;

/// Why a value of the store cannot be used.
#[derive(Debug, Error)]
enum StoredValueError {
    /// It is no JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// It is no settings object.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings change what cannot change in service.
    #[error(transparent)]
    FixedSettings(#[from] FixedSettingsError),
    /// It is no list of endpoints.
    #[error(transparent)]
    Endpoints(#[from] EndpointJsonError),
}

/// Decodes settings.
fn decode_settings(text: &str) -> Result<Settings, StoredValueError> {
    let value = serde_json::from_str(text)?;
    Ok(parse_settings(object(&value, "settings")?)?)
}

/// Checks whether a key may hold a text; `fits` says whether settings can count in service.
fn check_value(
    key: &str,
    text: &str,
    fits: impl Fn(&Settings) -> Result<(), FixedSettingsError>,
) -> Result<(), StoredValueError> {
    match key {
        store::SETTINGS_KEY => Ok(fits(&decode_settings(text)?)?),
        store::ENDPOINTS_KEY => Ok(endpoint_json::from_json(text).map(drop)?),
        _ => Ok(()),
    }
}

impl Daemon {
    /// Has the store check values before it proposes them.
    pub(super) fn install_store_check(&mut self) {
        if let Some(store) = &mut self.handlers.store {
            let fits = self.core.settings_check();
            store.set_value_check(Box::new(move |key, text| {
                check_value(key, text, &fits).map_err(|error| error.to_string())
            }));
        }
    }

    /// Applies every key that has changed.
    pub(super) fn apply_store_changes(&mut self, now: Time) {
        while let Some(key) = self.handlers.store.as_mut().and_then(Store::next_changed_key) {
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

    /// What a key of the store holds.
    fn stored_text(&self, key: &str) -> Option<String> {
        self.handlers.store.as_ref().and_then(|store| store.get(key)).map(str::to_string)
    }

    /// The store's settings count from here on.
    fn apply_stored_settings(&mut self, now: Time, text: &str) {
        let version = self.handlers.store.as_ref().map_or(0, |store| store.version(store::SETTINGS_KEY));
        match self.change_settings(now, text) {
            Ok(()) => tracing::info!(at = now, part = "store", "settings of version {version} count"),
            // The coordinator that proposed them has checked them; its classes may be others.
            Err(error) => tracing::info!(at = now, part = "store", "settings do not count here: {error}"),
        }
    }

    fn change_settings(&mut self, now: Time, text: &str) -> Result<(), StoredValueError> {
        let settings = decode_settings(text)?;
        let routes = &mut self.handlers.routes.for_core();
        Ok(self.core.apply_settings(now, settings, routes)?)
    }

    /// The store's endpoints count where none are known here.
    fn apply_stored_endpoints(&mut self, now: Time, text: &str) {
        if !self.endpoints.is_empty() {
            return;
        }
        match endpoint_json::from_json(text) {
            Ok(set) => {
                let endpoints = set.to_vec();
                // Discovery must know of them, or it could not notice that one is gone.
                self.handlers.discovery.reset_to(now, set);
                let changes = EndpointChanges { notified_at: now, endpoints };
                self.apply_endpoint_changes(now, ListScope::Restored, changes);
            }
            Err(error) => tracing::info!(at = now, part = "store", "engines: {error}"),
        }
    }
}
