//! Body of a completion request with the fields that the agent sets.

use indexmap::IndexMap;
use serde_json::value::RawValue;

/// Error for a caller's body that is not a JSON object.
#[derive(Debug, thiserror::Error)]
#[error("the body is not a JSON object: {0}")]
pub(crate) struct InvalidBody(#[from] serde_json::Error);

/// Returns the caller's body with `stream`, `priority` and `resume_from` set by
/// the agent; values of the caller for these fields are overwritten.
pub(crate) fn completion_body(
    caller_body: &[u8],
    engine_priority: u8,
    resume_from: u32,
) -> Result<Vec<u8>, InvalidBody> {
    let mut fields: IndexMap<String, &RawValue> = serde_json::from_slice(caller_body)?;
    let priority = RawValue::from_string(engine_priority.to_string())?;
    let resume_from = RawValue::from_string(resume_from.to_string())?;
    let stream = RawValue::from_string("true".into())?;
    fields.insert("stream".into(), &stream);
    fields.insert("priority".into(), &priority);
    fields.insert("resume_from".into(), &resume_from);
    Ok(serde_json::to_vec(&fields)?)
}
