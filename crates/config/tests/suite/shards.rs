//! Tests that documents are restored from their shards, that altered shards
//! are rejected, and that generations increase.

use std::sync::Arc;

use crate::common::{document_with_teams, documents, proptest_config, valid_document};
use config::{
    assemble_document, assemble_document_reusing, canonical_text, split_document, Document, Head,
    SessionEntry, ShardError, ShardedDocument, SHARD_MAX_BYTES,
};
use proptest::prelude::*;
use serde_json::json;
use types::Generation;

fn head_of(sharded: &ShardedDocument) -> Head {
    Head::next(
        None,
        Generation(0),
        session_entry("s-1"),
        sharded.parts.clone(),
    )
}

fn session_entry(session: &str) -> SessionEntry {
    SessionEntry {
        session: session.into(),
        submitter: "ana".into(),
        generation: Generation(0),
        submitted_unix_ms: 0,
    }
}

#[test]
fn canonical_text_has_sorted_keys() {
    let value = serde_json::from_str(r#"{"b": 1, "a": {"d": [2, {"z": 0, "y": 1}], "c": 3}}"#);

    let text = canonical_text(&value.expect("the text is valid JSON"));

    assert_eq!(text, r#"{"a":{"c":3,"d":[2,{"y":1,"z":0}]},"b":1}"#);
}

#[test]
fn change_to_one_of_many_teams_changes_one_small_shard() {
    let teams: Vec<String> = (0..13_000).map(|index| format!("team-{index}")).collect();
    let before = document_with_teams(&teams, &[500]);
    let mut after = before.clone();
    Arc::make_mut(&mut after.teams["team-4711"]).weight = 7;

    let (before, after) = (split_document(&before), split_document(&after));

    let (before, after) = (
        before.expect("every part fits a shard"),
        after.expect("every part fits a shard"),
    );
    let changed: Vec<usize> = after
        .shards
        .iter()
        .filter(|(digest, _)| !before.shards.contains_key(*digest))
        .map(|(_, text)| text.len())
        .collect();
    assert_eq!(changed.len(), 1, "exactly one shard changes");
    assert!(
        changed[0] < SHARD_MAX_BYTES / 10,
        "the changed shard has {} bytes",
        changed[0]
    );
    assert!(head_of(&after).to_value().to_string().len() < 15_000);
}

#[test]
fn teams_of_unchanged_parts_are_shared_with_the_old_document() {
    let teams: Vec<String> = (0..2_000).map(|index| format!("team-{index}")).collect();
    let old = document_with_teams(&teams, &[500]);
    let mut new = old.clone();
    Arc::make_mut(&mut new.teams["team-47"]).weight = 7;
    new.teams.shift_remove("team-48");
    let (old_sharded, new_sharded) = (split_document(&old), split_document(&new));
    let (old_sharded, new_sharded) = (
        old_sharded.expect("every part fits a shard"),
        new_sharded.expect("every part fits a shard"),
    );

    let assembled = assemble_document_reusing(
        &head_of(&new_sharded),
        &new_sharded.shards,
        &head_of(&old_sharded),
        &old,
    );

    let assembled = assembled.expect("the document is valid");
    assert_eq!(assembled, new);
    let is_shared = |(name, team): &(&_, &Arc<_>)| {
        old.teams
            .get(*name)
            .is_some_and(|own| Arc::ptr_eq(own, team))
    };
    let shared = assembled.teams.iter().filter(is_shared).count();
    assert!(shared > 1_900 * 95 / 100, "{shared} of 2,000 are shared");
}

#[test]
fn duplicate_team_of_unchanged_part_is_rejected() {
    let teams: Vec<String> = (0..200).map(|index| format!("team-{index}")).collect();
    let old = document_with_teams(&teams, &[500]);
    let old_sharded = split_document(&old).expect("every part fits a shard");
    let mut new_sharded = old_sharded.clone();
    let part = |index: usize| {
        new_sharded
            .parts
            .get_index(index)
            .map(|(part, _)| part.clone())
    };
    let (unchanged, altered) = (
        part(2).expect("the document has a part 2"),
        part(3).expect("the document has a part 3"),
    );
    // The altered part gets the teams of the unchanged part, so that both parts
    // define them. The added `limits` section gives it a new digest, so that it
    // is parsed and not reused from the old document.
    let text = new_sharded.shards[&new_sharded.parts[&unchanged]].clone();
    let mut value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    value["limits"] = json!({});
    let text = canonical_text(&value);
    let digest = config::digest_of(&text);
    new_sharded.parts.insert(altered, digest.clone());
    new_sharded.shards.insert(digest, text.into());

    let result = assemble_document_reusing(
        &head_of(&new_sharded),
        &new_sharded.shards,
        &head_of(&old_sharded),
        &old,
    );

    assert!(
        matches!(result, Err(ShardError::DuplicateName { .. })),
        "{result:?}"
    );
}

#[test]
fn oversized_part_is_rejected() {
    let mut document =
        Document::parse(&valid_document().to_string()).expect("the document is valid");
    let adapter = "a".repeat(120);
    document.upstreams["carving"].adapters = (0..8_000)
        .map(|index| format!("{adapter}{index}"))
        .collect();

    let result = split_document(&document);

    assert!(matches!(result, Err(ShardError::TooLarge { .. })));
}

#[test]
fn invalid_document_is_rejected_even_if_digests_match() {
    let mut document =
        Document::parse(&valid_document().to_string()).expect("the document is valid");
    Arc::make_mut(&mut document.teams["clinic"])
        .classes
        .push("nobody".into());
    let sharded = split_document(&document).expect("every part fits a shard");

    let result = assemble_document(&head_of(&sharded), &sharded.shards);

    assert!(matches!(result, Err(ShardError::Invalid(_))), "{result:?}");
}

proptest! {
    #![proptest_config(proptest_config(64))]

    /// Reusing the teams of any other document gives the same result as
    /// assembling the document from its shards alone.
    #[test]
    fn reusing_teams_does_not_change_the_document(old in documents(), new in documents()) {
        let (old_sharded, new_sharded) = (split_document(&old).unwrap(), split_document(&new).unwrap());
        let (old_head, new_head) = (head_of(&old_sharded), head_of(&new_sharded));

        let direct = assemble_document(&new_head, &new_sharded.shards);
        let reused = assemble_document_reusing(&new_head, &new_sharded.shards, &old_head, &old);

        prop_assert_eq!(direct, reused);
    }

    /// A reassembled document equals the original, and the shards do not depend
    /// on the order of the items.
    #[test]
    fn documents_round_trip_through_shards(document in documents()) {
        let sharded = split_document(&document).expect("every part fits a shard");
        let mut reversed = document.clone();
        reversed.teams.reverse();
        reversed.classes.reverse();

        let restored = assemble_document(&head_of(&sharded), &sharded.shards).expect("the document is valid");

        prop_assert_eq!(&restored, &document);
        prop_assert_eq!(split_document(&reversed).expect("every part fits a shard").parts, sharded.parts);
    }

    /// A missing shard and any altered byte are detected.
    #[test]
    fn altered_and_missing_shards_are_rejected(
        document in documents(),
        pick in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        new_byte in any::<u8>(),
    ) {
        let sharded = split_document(&document).expect("every part fits a shard");
        let head = head_of(&sharded);
        let (digest, text) = sharded.shards.get_index(pick.index(sharded.shards.len()))
            .map(|(digest, text)| (digest.clone(), text.to_string()))
            .expect("the document has shards");

        let mut missing = sharded.shards.clone();
        missing.shift_remove(&digest);
        let rejected = assemble_document(&head, &missing);
        prop_assert!(matches!(rejected, Err(ShardError::Missing { .. })), "{:?}", rejected);

        let mut bytes = text.clone().into_bytes();
        let position = position.index(bytes.len());
        bytes[position] = new_byte % 0x60 + 0x20;
        let altered = String::from_utf8(bytes).expect("ASCII");
        let mut tampered = sharded.shards.clone();
        tampered.insert(digest, altered.as_str().into());
        let result = assemble_document(&head, &tampered);
        prop_assert_eq!(result.is_ok(), altered == text);
    }

    /// The generation of each head is greater than that of its parent and than
    /// the `floor` passed to [`Head::next`]. Each head records at most
    /// [`config::SESSIONS_KEPT`] submissions, in the order of their generations.
    #[test]
    fn generations_increase(floors in prop::collection::vec(0_u64..300, 1..150)) {
        let mut head: Option<Head> = None;
        for (index, floor) in floors.iter().enumerate() {
            let session = format!("s-{index}");
            let next = Head::next(
                head.as_ref(), Generation(*floor), session_entry(&session), Default::default());

            prop_assert!(next.generation > Generation(*floor));
            prop_assert_eq!(next.generation_of(&session), Some(next.generation));
            if let Some(parent) = &head {
                prop_assert!(next.generation > parent.generation);
                prop_assert_eq!(next.parent.clone(), Some(parent.digest()));
            }
            prop_assert!(next.sessions.len() <= config::SESSIONS_KEPT);
            let generations: Vec<_> = next.sessions.iter().map(|entry| entry.generation).collect();
            prop_assert!(generations.is_sorted());
            head = Some(next);
        }
    }
}

#[test]
fn shard_with_unknown_field_is_rejected() {
    let document = Document::parse(&valid_document().to_string()).expect("the document is valid");
    let mut sharded = split_document(&document).expect("every part fits a shard");
    let text = json!({"colours": {}}).to_string();
    let digest = config::digest_of(&text);
    sharded.parts.insert("colours".into(), digest.clone());
    sharded.shards.insert(digest, text.into());

    let result = assemble_document(&head_of(&sharded), &sharded.shards);

    assert!(matches!(result, Err(ShardError::Malformed { .. })));
}
