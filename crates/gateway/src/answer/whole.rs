//! Reads an answer to its true end before any of it is passed on.

use std::future::poll_fn;

use http::HeaderMap;

use crate::upstream::{Answer, Cut};

/// Largest answer that is held whole, in bytes. The answers of plain services
/// have some kilobytes; the smallest machines have 88 MB for everything.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// An instance's whole answer.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotWhole {
    /// It broke off.
    #[error("the answer broke off after {read_bytes} bytes: {cut}")]
    Cut {
        /// Bytes read before.
        read_bytes: usize,
        /// What happened.
        cut: Cut,
    },
    /// It is too large.
    #[error("the answer has more than {ANSWER_MAX_BYTES} bytes")]
    TooLarge,
}

/// Reads the body to its true end.
///
/// # Errors
///
/// [`NotWhole`] if it has none within the bound.
pub(crate) async fn read_whole(answer: &mut Answer) -> Result<Vec<u8>, NotWhole> {
    let mut body = Vec::new();
    while let Some(data) = poll_fn(|cx| answer.poll_data(cx)).await {
        let data = data.map_err(|cut| NotWhole::Cut {
            read_bytes: body.len(),
            cut,
        })?;
        if body.len() + data.len() > ANSWER_MAX_BYTES {
            return Err(NotWhole::TooLarge);
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}
