//! Text of a JSON response that may contain bytes which are not text.

/// Half of a surrogate pair: an escape that the grammar of JSON allows, and that no
/// string holds.
const UNREADABLE_ESCAPE: &str = "\\ud800";

/// Returns the bytes of a JSON document as text. Each sequence that is not UTF-8 becomes
/// [`UNREADABLE_ESCAPE`], so that the string that contains it can't be decoded, while
/// the rest of the document can.
pub(crate) fn json_text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).unwrap_or_else(|error| {
        let mut text = String::with_capacity(error.as_bytes().len());
        for chunk in error.as_bytes().utf8_chunks() {
            text.push_str(chunk.valid());
            if !chunk.invalid().is_empty() {
                text.push_str(UNREADABLE_ESCAPE);
            }
        }
        text
    })
}
