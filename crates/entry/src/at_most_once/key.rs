//! The idempotency key of a request, and the claim object that goes with it.

use coord::claim::{claim_name, ClaimRecord, CLAIM_KIND};
use store::Key;
use trillium::Conn;
use types::ErrorCode;

use crate::{app::App, failure::Failure, request::Request, unix_time::unix_ms};

/// Header that names a call that must not be repeated.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// What a claim is made with.
pub(crate) struct NewClaim {
    pub(crate) object: Key,
    pub(crate) record: ClaimRecord,
}

impl NewClaim {
    /// Makes the claim of a request on a route. Claims of different teams or
    /// routes never meet.
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

/// The caller's idempotency key.
///
/// # Errors
///
/// `idempotency_key_missing` when there is none that can be used.
pub(crate) fn parse_idempotency_key(conn: &Conn) -> Result<String, Failure> {
    let header = conn.request_headers().get_str(IDEMPOTENCY_KEY_HEADER);
    let usable = header.filter(|key| {
        (1..=KEY_MAX_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
    });
    usable.map(str::to_owned).ok_or_else(|| {
        Failure::not_run(
            ErrorCode::IdempotencyKeyMissing,
            format!(
                "this route runs each request at most once; send a unique `idempotency-key` of at most {KEY_MAX_BYTES} printable characters, and the same one when you send the request again"
            ),
        )
    })
}
