//! The engine's own fields in a completion request.

use indexmap::IndexMap;
use serde_json::value::RawValue;

/// The caller's body is not a JSON object.
#[derive(Debug, thiserror::Error)]
#[error("the body is not a JSON object: {0}")]
pub(crate) struct BodyFault(#[from] serde_json::Error);

/// The caller's body with the fields that the engine takes from the agent.
/// Whatever the caller wrote in their place is dropped.
pub(crate) fn completion_body(
    caller_body: &[u8],
    engine_priority: u8,
    resume_from: u32,
) -> Result<Vec<u8>, BodyFault> {
    let mut fields: IndexMap<String, &RawValue> = serde_json::from_slice(caller_body)?;
    let priority = RawValue::from_string(engine_priority.to_string())?;
    let resume_from = RawValue::from_string(resume_from.to_string())?;
    let stream = RawValue::from_string("true".into())?;
    fields.insert("stream".into(), &stream);
    fields.insert("priority".into(), &priority);
    fields.insert("resume_from".into(), &resume_from);
    Ok(serde_json::to_vec(&fields)?)
}
