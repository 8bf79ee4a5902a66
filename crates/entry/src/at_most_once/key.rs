//! Idempotency keys and the claims made with them.

use coord::claim::{claim_name, ClaimRecord, CLAIM_KIND};
use store::Key;
use trillium::Conn;
use types::ErrorCode;

use crate::{app::App, failure::Failure, request::Request, unix_time::unix_ms};

/// Header with the caller's idempotency key, also sent on to a plain service.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key; a longer one is refused as missing.
const KEY_MAX_BYTES: usize = 255;

/// A claim that is not written to the store yet.
pub(crate) struct NewClaim {
    pub(crate) object: Key,
    pub(crate) record: ClaimRecord,
}

impl NewClaim {
    /// Creates the claim for a request on a route. Equal keys of different teams
    /// or routes give different claims.
    pub(crate) fn new(app: &App, request: &Request, route: &str, idempotency_key: &str) -> Self {
        let nonce: u128 = rand::random();
        Self {
            object: Key::new(
                CLAIM_KIND,
                &claim_name(&request.team, route, idempotency_key),
            ),
            record: ClaimRecord {
                nonce: format!("{nonce:032x}"),
                owner: app.settings.instance.clone(),
                content: request.fingerprint,
                created_unix_ms: unix_ms(),
                deadline_ms: request.remaining_ms(app.now()),
                outcome: None,
            },
        }
    }
}

/// Returns the caller's idempotency key: 1 to 255 printable ASCII characters
/// without spaces.
///
/// # Errors
///
/// `idempotency_key_missing` if the header is absent or invalid.
pub(crate) fn parse_idempotency_key(conn: &Conn) -> Result<String, Failure> {
    let header = conn.request_headers().get_str(IDEMPOTENCY_KEY_HEADER);
    let valid = header.filter(|key| {
        (1..=KEY_MAX_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
    });
    valid.map(str::to_owned).ok_or_else(|| {
        Failure::not_run(
            ErrorCode::IdempotencyKeyMissing,
            format!(
                "this route runs each request at most once; send a unique `idempotency-key` header of 1 to {KEY_MAX_BYTES} printable ASCII characters without spaces, and repeat it when you send the request again"
            ),
        )
    })
}
