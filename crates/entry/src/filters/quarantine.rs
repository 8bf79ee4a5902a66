//! Check quarantine: contents that crash their upstream are refused.

use policy::quarantine::Standing;
use types::{ErrorCode, Fingerprint};

use crate::{
    app::{lock, App},
    failure::Failure,
};

/// Checks a content; returns whether it is a suspect that must run alone.
///
/// # Errors
///
/// `quarantined` while the content is refused.
pub(crate) fn check_quarantine(app: &App, fingerprint: Fingerprint) -> Result<bool, Failure> {
    let status = lock(&app.suspects).standing(app.now(), fingerprint);
    match status {
        Standing::Clear => Ok(false),
        Standing::Suspect => Ok(true),
        Standing::Quarantined { remaining_ms } => {
            let mut failure = Failure::not_run(
                ErrorCode::Quarantined,
                "this content crashed several upstream instances and is refused for a time; change the request",
            );
            failure.retry_after_ms = Some(remaining_ms);
            Err(failure)
        }
    }
}
