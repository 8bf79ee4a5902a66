//! Quarantine check: refuses request contents that crash their upstreams.

use policy::quarantine::QuarantineStatus;
use types::{ErrorCode, Fingerprint};

use crate::{
    app::{lock, App},
    failure::Failure,
};

/// Checks a request's content. Returns whether it is suspected of a crash, in
/// which case the agent must run it alone.
///
/// # Errors
///
/// `quarantined` while the content is in quarantine; the retry time is the time
/// until the quarantine ends.
pub(crate) fn check_quarantine(app: &App, fingerprint: Fingerprint) -> Result<bool, Failure> {
    let status = lock(&app.suspects).status(app.now(), fingerprint);
    match status {
        QuarantineStatus::Clear => Ok(false),
        QuarantineStatus::Suspect => Ok(true),
        QuarantineStatus::Quarantined { remaining_ms } => {
            let mut failure = Failure::not_run(
                ErrorCode::Quarantined,
                "this content crashed several upstream instances and is in quarantine; change the request, or send it again after the time in `retry-after`",
            );
            failure.retry_after_ms = Some(remaining_ms);
            Err(failure)
        }
    }
}
