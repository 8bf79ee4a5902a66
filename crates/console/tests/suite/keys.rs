//! Keys are random, shown once, and stored as digests.

use config::key_digest;
use console::NewKey;

#[test]
fn keys_are_long_different_and_do_not_show_in_debug_output() {
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
