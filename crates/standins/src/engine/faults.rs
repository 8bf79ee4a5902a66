//! Faults that can be injected into the simulated engine.

use serde::{Deserialize, Serialize};

/// Active faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor by which the time between two tokens is multiplied; 0 and 1 have no
    /// effect.
    pub slow_factor: f64,
    /// Suspends token generation and all calls except `/admin/faults` and
    /// `/stats`.
    pub freeze: bool,
    /// Aborts the process when the token at this index is to be generated.
    pub crash_at_token: Option<u32>,
    /// Aborts the process when a request whose prompt contains this text runs.
    pub crash_on_prompt: Option<String>,
    /// Sends responses with the id and content of another request.
    pub crossed: bool,
    /// Sends events with the id and content of another request, but the correct
    /// `x-request-id` header.
    pub crossed_events: bool,
    /// Ends responses before the token at this index.
    pub truncate_at_token: Option<u32>,
    /// Ends truncated streams with `[DONE]` but without the finish event.
    pub clean_end: bool,
    /// Sends the token at this index twice.
    pub repeat_token: Option<u32>,
    /// Omits the token at this index.
    pub skip_token: Option<u32>,
    /// Whether orders with an old fencing number are refused; overrides
    /// `--fencing`.
    pub fencing: Option<bool>,
    /// Delay of load reports, in milliseconds; overrides `--load-lag-ms`.
    pub load_lag_ms: Option<u64>,
    /// Closes the connection before the first token.
    pub drop_before_first_token: bool,
}

impl Faults {
    /// Returns whether events carry the id and content of another request.
    pub(crate) fn cross_events(&self) -> bool {
        self.crossed || self.crossed_events
    }

    /// Returns the factor by which the time between two tokens is multiplied; 1 if
    /// `slow_factor` is not positive.
    pub(crate) fn interval_factor(&self) -> f64 {
        if self.slow_factor > 0.0 {
            self.slow_factor
        } else {
            1.0
        }
    }
}
