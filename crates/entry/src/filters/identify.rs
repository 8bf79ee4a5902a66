//! Identify: which team sent the request.

use config::Snapshot;
use trillium::Conn;
use types::{ErrorCode, TeamName};

use crate::failure::Failure;

/// Finds the team by its API key.
///
/// # Errors
///
/// `not_configured` before the first configuration, `invalid_api_key` for a
/// missing or unknown key.
pub(crate) fn identify(conn: &Conn, config: &Snapshot) -> Result<TeamName, Failure> {
    if config.generation.0 == 0 {
        return Err(Failure::not_run(
            ErrorCode::NotConfigured,
            "this entry has no configuration yet; try again shortly",
        )
        .retry_after(1_000));
    }
    let header = conn.request_headers().get_str("authorization");
    let Some(api_key) = header.and_then(bearer_token) else {
        return Err(Failure::not_run(
            ErrorCode::InvalidApiKey,
            "send `authorization: Bearer API_KEY`",
        ));
    };
    let team = config.team_of_key(api_key).cloned();
    team.ok_or_else(|| {
        Failure::not_run(
            ErrorCode::InvalidApiKey,
            "no team has this API key; ask your operator for a valid one",
        )
    })
}

fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}
