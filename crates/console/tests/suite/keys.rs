//! Tests that API keys are random and secret and match their digests.

use config::key_digest;
use console::NewKey;

#[test]
fn keys_are_long_unique_and_hidden_in_debug_output() {
    let (one, other) = (
        NewKey::random("clinic".into()),
        NewKey::random("clinic".into()),
    );

    assert_ne!(one.key(), other.key());
    assert!(one.key().len() >= 64);
    assert_eq!(one.digest(), key_digest(one.key()));
    assert!(!format!("{one:?}").contains(one.key()));
    assert!(one.to_text().contains(one.key()) && one.to_text().contains(&one.digest()));
}
