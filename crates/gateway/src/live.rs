//! Settings that can be changed while the process runs.
//!
//! The settings file is read at startup, on SIGHUP and periodically, because
//! it may be replaced without a signal. If the file can't be read or contains
//! an invalid value, the current settings stay in force.

use std::{path::PathBuf, sync::Arc, time::Duration};

use serde::Deserialize;
use telemetry::{emit, events::GatewayEvent};

use crate::{app::App, duties::DutySettings, settings::RetryBound};

/// Interval at which the file is reloaded without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Largest accepted value of any setting. For times it is one day in seconds;
/// ratios and counts have the same limit.
const SETTING_MAX: f64 = 86_400.0;

const MS_PER_S: f64 = 1_000.0;

/// Contents of the settings file. Missing values keep the command-line values.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct FileSettings {
    /// Retries allowed for each request in the window.
    pub retry_ratio: Option<f64>,
    /// Retries allowed per window in addition to the ratio.
    pub retry_allowance: Option<f64>,
    /// Length of the sliding window of the retry budget, in seconds.
    pub retry_window_s: Option<f64>,
    /// Time from the stop signal until the process is killed, in seconds. The
    /// drain ends before it.
    pub grace_s: Option<f64>,
    /// Time for which an instance that leaves takes requests, in milliseconds.
    pub drain_ms: Option<f64>,
    /// Address of the platform's API for duties; without it there are none.
    pub platform_api: Option<String>,
    /// Names of the duties; unknown ones are ignored.
    #[serde(default)]
    pub duties: DutyNames,
    /// Whether the platform refuses calls with an outdated fencing token.
    pub fence_checked: Option<Flag>,
    /// Duration of the lease of the duties, in milliseconds.
    pub lease_ms: Option<f64>,
    /// Time after a pause or a cut within which calls do not count, in milliseconds.
    pub thaw_ms: Option<f64>,
    /// Length of a usage window, in seconds.
    pub usage_window_s: Option<f64>,
    /// Time after the end of a window at which its report is due, in seconds.
    pub usage_late_s: Option<f64>,
}

/// Names of duties, as a list or as text with commas or blanks between them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum DutyNames {
    /// A list.
    List(Vec<String>),
    /// A text.
    Text(String),
    /// No value.
    #[default]
    None,
}

impl DutyNames {
    fn contains(&self, name: &str) -> bool {
        match self {
            Self::List(names) => names.iter().any(|other| other == name),
            Self::Text(text) => text.split([',', ' ']).any(|other| other == name),
            Self::None => false,
        }
    }
}

/// A truth value, also as a number.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Flag {
    /// A truth value.
    Bool(bool),
    /// A number; 0 is false.
    Number(f64),
}

impl Flag {
    fn is_true(self) -> bool {
        match self {
            Self::Bool(value) => value,
            Self::Number(value) => value != 0.0,
        }
    }
}

/// Reloadable settings in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// Bound of the retry budget of each upstream.
    pub retry_bound: RetryBound,
    /// Time from the stop signal until the process is killed. The drain ends
    /// before it.
    pub grace: Duration,
    /// Time for which an instance that leaves takes requests.
    pub instance_drain: Duration,
}

/// Error in reading or validating the settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The file can't be read or is not valid JSON for [`FileSettings`].
    #[error("cannot read {path}: {reason}")]
    Unreadable {
        /// Path of the settings file, as configured.
        path: PathBuf,
        /// I/O or parse error.
        reason: String,
    },
    /// A value is outside the accepted range.
    #[error("{name}: `{value}` is out of range, expected a number from 0 to {SETTING_MAX}")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Rejected value.
        value: f64,
    },
}

impl LiveSettings {
    /// Returns these settings overridden by the values present in `file`.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError::OutOfRange`] if a value is out of range.
    pub fn with_file(mut self, file: &FileSettings) -> Result<Self, SettingsFileError> {
        if let Some(ratio) = validate("retry_ratio", file.retry_ratio)? {
            self.retry_bound.ratio = ratio;
        }
        if let Some(allowance) = validate("retry_allowance", file.retry_allowance)? {
            self.retry_bound.allowance = allowance;
        }
        if let Some(window_s) = validate("retry_window_s", file.retry_window_s)? {
            self.retry_bound.window_ms = Duration::from_secs_f64(window_s).as_millis() as u64;
        }
        if let Some(grace_s) = validate("grace_s", file.grace_s)? {
            self.grace = Duration::from_secs_f64(grace_s);
        }
        if let Some(drain_ms) = validate("drain_ms", file.drain_ms)? {
            self.instance_drain = Duration::from_secs_f64(drain_ms / MS_PER_S);
        }
        Ok(self)
    }
}

/// Name of the duty to report usage.
const METERING: &str = "metering";

impl FileSettings {
    /// Returns the settings of the duties; `None` if there are none.
    ///
    /// # Errors
    ///
    /// [`SettingsFileError::OutOfRange`] if a value is out of range.
    pub fn duties(&self) -> Result<Option<DutySettings>, SettingsFileError> {
        let Some(platform_api) = &self.platform_api else {
            return Ok(None);
        };
        let mut settings = DutySettings::new(platform_api.as_str().into());
        settings.has_metering = self.duties.contains(METERING);
        settings.is_fence_checked = self.fence_checked.is_some_and(Flag::is_true);
        let ms = |value: f64| Duration::from_secs_f64(value / MS_PER_S);
        if let Some(lease_ms) = validate_positive("lease_ms", self.lease_ms)? {
            settings.lease = ms(lease_ms);
        }
        if let Some(thaw_ms) = validate("thaw_ms", self.thaw_ms)? {
            settings.thaw = ms(thaw_ms);
        }
        if let Some(window_s) = validate_positive("usage_window_s", self.usage_window_s)? {
            settings.usage_window = Duration::from_secs_f64(window_s);
        }
        if let Some(late_s) = validate_positive("usage_late_s", self.usage_late_s)? {
            settings.usage_late = Duration::from_secs_f64(late_s);
        }
        Ok(Some(settings))
    }
}

/// Validates a setting that must not be 0.
fn validate_positive(
    name: &'static str,
    value: Option<f64>,
) -> Result<Option<f64>, SettingsFileError> {
    match value {
        Some(value) if value <= 0.0 => Err(SettingsFileError::OutOfRange { name, value }),
        value => validate(name, value),
    }
}

fn validate(name: &'static str, value: Option<f64>) -> Result<Option<f64>, SettingsFileError> {
    match value {
        Some(value) if !(0.0..=SETTING_MAX).contains(&value) => {
            Err(SettingsFileError::OutOfRange { name, value })
        }
        value => Ok(value),
    }
}

/// Reads and parses a settings file, without checking the range of its values.
///
/// # Errors
///
/// [`SettingsFileError::Unreadable`] if it can't be read or parsed.
pub fn read_settings_file(path: &PathBuf) -> Result<FileSettings, SettingsFileError> {
    let unreadable = |reason: String| SettingsFileError::Unreadable {
        path: path.clone(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))
}

/// Reloads the settings file, if one is configured, and applies its values.
/// Logs the result if a signal triggered the reload, a value changed or the
/// file is invalid.
pub(crate) fn reload(app: &App, signalled: bool) {
    let Some(path) = &app.settings.file else {
        return;
    };
    let before = *app.live.load_full();
    let read = read_settings_file(path)
        .and_then(|file| Ok((app.settings.live.with_file(&file)?, file.duties()?)));
    let (changed, error) = match read {
        Ok((live, duties)) => {
            app.duties.set_settings(duties, &app.settings.instance);
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

/// Reloads the file every [`RELOAD_INTERVAL`]. Never returns.
pub(crate) async fn reload_periodically(app: Arc<App>) {
    loop {
        smol::Timer::after(RELOAD_INTERVAL).await;
        reload(&app, false);
    }
}
