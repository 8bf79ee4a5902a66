//! Authentication: identifies the team that sent a request.

use config::Snapshot;
use trillium::Conn;
use types::{ErrorCode, TeamName};

use crate::failure::Failure;

/// Finds the team by the API key in the `authorization` header.
///
/// # Errors
///
/// `not_configured` before the first configuration was received,
/// `invalid_api_key` for a missing or unknown key.
pub(crate) fn identify(conn: &Conn, config: &Snapshot) -> Result<TeamName, Failure> {
    if config.generation.0 == 0 {
        return Err(Failure::not_run(
            ErrorCode::NotConfigured,
            "this entry has not received a configuration yet; send the request again after the time in `retry-after`",
        )
        .retry_after(1_000));
    }
    let header = conn.request_headers().get_str("authorization");
    let Some(api_key) = header.and_then(bearer_token) else {
        return Err(Failure::not_run(
            ErrorCode::InvalidApiKey,
            "no API key in the request; send the header `authorization: Bearer API_KEY`",
        ));
    };
    let team = config.team_of_key(api_key).cloned();
    team.ok_or_else(|| {
        Failure::not_run(
            ErrorCode::InvalidApiKey,
            "this API key does not belong to any team; ask your operator for a valid one",
        )
    })
}

fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}
