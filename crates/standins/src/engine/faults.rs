//! Faults of the engine.

use serde::{Deserialize, Serialize};

/// The faults in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor by which tokens take longer; 0 and 1 change nothing.
    pub slow_factor: f64,
    /// No token is generated and no call but `/admin` and `/stats` answered.
    pub freeze: bool,
    /// The process aborts when a request is to get the token of this index.
    pub crash_at_token: Option<u32>,
    /// The process aborts once a request whose prompt contains this runs.
    pub crash_on_prompt: Option<String>,
    /// Answers carry another request's id and content.
    pub crossed: bool,
    /// The events of answers carry another request's id and content, the
    /// header the own id.
    pub crossed_events: bool,
    /// Answers end before the token of this index.
    pub truncate_at_token: Option<u32>,
    /// Truncated answers end with `[DONE]`, without the finishing event.
    pub clean_end: bool,
    /// The token of this index is sent twice.
    pub repeat_token: Option<u32>,
    /// The token of this index is not sent.
    pub skip_token: Option<u32>,
    /// Whether orders with an old fencing number are refused; overrides the setting.
    pub fencing: Option<bool>,
    /// Age of a load report, in milliseconds; overrides the setting.
    pub load_lag_ms: Option<u64>,
    /// The connection is cut before the first token.
    pub drop_before_first_token: bool,
}

impl Faults {
    /// Whether events carry another request's id and content.
    pub(crate) fn cross_events(&self) -> bool {
        self.crossed || self.crossed_events
    }

    /// Factor on the time between two tokens.
    pub(crate) fn pace_factor(&self) -> f64 {
        if self.slow_factor > 0.0 {
            self.slow_factor
        } else {
            1.0
        }
    }
}
