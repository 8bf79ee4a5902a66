//! Settings that may change while the process runs.
//!
//! They come from a file that is read at the start, on SIGHUP and now and then,
//! since it may change without a signal. A file that can't be read, or holds
//! what is not allowed, changes nothing.

use std::{path::PathBuf, sync::Arc, time::Duration};

use serde::Deserialize;
use telemetry::{emit, events::GatewayEvent};

use crate::{app::App, settings::RetryBound};

/// How often the file is read without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// Largest ratio, allowance or time that is allowed; a day in seconds.
const VALUE_MAX: f64 = 86_400.0;

/// What the file holds. What it leaves out stays as the flags say.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct FileSettings {
    /// Attempts beyond the first for each request of the window.
    pub retry_ratio: Option<f64>,
    /// Attempts beyond those.
    pub retry_allowance: Option<f64>,
    /// Length of the window, in seconds.
    pub retry_window_s: Option<f64>,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: Option<f64>,
}

/// Settings in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// Bound on attempts beyond the first.
    pub retry_bound: RetryBound,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}

/// The settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// It can't be read.
    #[error("can't read {path}: {reason}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// A value is not allowed.
    #[error("{name}: `{value}` is not allowed: a number from 0 to {VALUE_MAX}")]
    Value {
        /// Its name.
        name: &'static str,
        /// The value.
        value: f64,
    },
}

impl LiveSettings {
    /// These settings with what a file says in their place.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError::Value`] for a value that is not allowed.
    pub fn with_file(mut self, file: &FileSettings) -> Result<Self, SettingsFileError> {
        if let Some(ratio) = checked("retry_ratio", file.retry_ratio)? {
            self.retry_bound.ratio = ratio;
        }
        if let Some(allowance) = checked("retry_allowance", file.retry_allowance)? {
            self.retry_bound.allowance = allowance;
        }
        if let Some(window_s) = checked("retry_window_s", file.retry_window_s)? {
            self.retry_bound.window_ms = Duration::from_secs_f64(window_s).as_millis() as u64;
        }
        if let Some(grace_s) = checked("grace_s", file.grace_s)? {
            self.grace = Duration::from_secs_f64(grace_s);
        }
        Ok(self)
    }
}

fn checked(name: &'static str, value: Option<f64>) -> Result<Option<f64>, SettingsFileError> {
    match value {
        Some(value) if !(0.0..=VALUE_MAX).contains(&value) => {
            Err(SettingsFileError::Value { name, value })
        }
        value => Ok(value),
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// [`SettingsFileError::Unreadable`] if it is not there or not as agreed.
pub fn read_settings_file(path: &PathBuf) -> Result<FileSettings, SettingsFileError> {
    let unreadable = |reason: String| SettingsFileError::Unreadable {
        path: path.clone(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))
}

/// Reads the file again and puts what has changed in force.
pub(crate) fn reread(app: &App, signalled: bool) {
    let Some(path) = &app.settings.file else {
        return;
    };
    let before = *app.live.load_full();
    let read = read_settings_file(path).and_then(|file| app.settings.live.with_file(&file));
    let (changed, error) = match read {
        Ok(live) => {
            app.live.store(Arc::new(live));
            (live != before, None)
        }
        Err(error) => (false, Some(error.to_string())),
    };
    if changed {
        app.on_retry_bound_changed();
    }
    if signalled || changed || error.is_some() {
        emit(&GatewayEvent::SettingsReread {
            signalled,
            changed,
            error: error.unwrap_or_default(),
        });
    }
}

/// Reads the file now and then.
pub(crate) async fn reread_now_and_then(app: Arc<App>) {
    loop {
        smol::Timer::after(REREAD_INTERVAL).await;
        reread(&app, false);
    }
}
