//! Tests of the event validator and the pipe.

use futures_lite::AsyncReadExt;
use proptest::prelude::*;
use rstest::rstest;

use super::{pipe::pipe, EventValidator, Progress, ResponseError};

/// Uses a fixed seed, so that every run tests the same cases.
fn property_config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn token(index: u32) -> String {
    format!(
        r#"data: {{"id":"r-1","token_index":{index},"choices":[{{"delta":{{"content":"w"}}}}]}}"#
    ) + "\n\n"
}

fn usage(count: u32) -> String {
    format!(r#"data: {{"id":"r-1","choices":[],"usage":{{"completion_tokens":{count}}}}}"#) + "\n\n"
}

/// Returns the events of a complete response with `count` tokens.
fn response(from: u32, count: u32) -> Vec<String> {
    let mut events: Vec<String> = (from..from + count).map(token).collect();
    events.push(usage(from + count));
    events.push("data: [DONE]\n\n".into());
    events
}

/// Validates bytes received in pieces; returns the valid bytes and the result.
fn validate(from: u32, pieces: &[&[u8]]) -> (String, Result<(), ResponseError>) {
    let mut validator = EventValidator::new("r-1".into(), from);
    let mut checked = Vec::new();
    let pushed = pieces
        .iter()
        .try_for_each(|piece| validator.push(piece, &mut checked));
    let result = pushed.and_then(|()| validator.end());
    (String::from_utf8(checked).unwrap(), result)
}

proptest! {
    #![proptest_config(property_config())]

    #[test]
    fn valid_response_passes_for_any_split(
        from in 0_u32..5,
        count in 0_u32..12,
        piece_bytes in 1_usize..200,
    ) {
        let text = response(from, count).concat();
        let pieces: Vec<&[u8]> = text.as_bytes().chunks(piece_bytes).collect();

        let (checked, result) = validate(from, &pieces);

        prop_assert_eq!(result, Ok(()));
        prop_assert_eq!(checked, text);
    }

    #[test]
    fn response_with_lost_duplicate_or_swapped_event_is_rejected(
        count in 2_u32..12,
        position in 0_usize..13,
        change in 0_u8..3,
        piece_bytes in 1_usize..200,
    ) {
        let mut events = response(0, count);
        let position = position % (events.len() - 1);
        match change {
            0 => drop(events.remove(position)),
            1 => events.insert(position, events[position].clone()),
            _ => events.swap(position, position + 1),
        }
        let text = events.concat();
        let pieces: Vec<&[u8]> = text.as_bytes().chunks(piece_bytes).collect();

        let (checked, result) = validate(0, &pieces);

        prop_assert!(result.is_err());
        prop_assert!(!checked.ends_with("[DONE]\n\n"));
        let complete = response(0, count).concat();
        prop_assert!(complete.starts_with(&checked), "only valid leading events are forwarded");
    }

    #[test]
    fn truncated_response_is_rejected(
        count in 0_u32..12,
        kept_events in 0_usize..14,
        extra_bytes in prop_oneof![Just(0_usize), 1_usize..20],
    ) {
        let events = response(0, count);
        let kept_events = kept_events % events.len();
        let next = &events[kept_events];
        let extra = &next[..extra_bytes.min(next.len() - 1)];
        let truncated = events[..kept_events].concat() + extra;

        let (_, result) = validate(0, &[truncated.as_bytes()]);

        prop_assert!(result.is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..8)) {
        let mut validator = EventValidator::new("r-1".into(), 0);
        let mut checked = Vec::new();
        for piece in &pieces {
            if validator.push(piece, &mut checked).is_err() {
                break;
            }
        }
        prop_assert_ne!(validator.progress(), Progress::Done);
    }

    #[test]
    fn pipe_forwards_complete_events(counts in prop::collection::vec(1_usize..40, 1..20), max_len in 300_usize..9000) {
        let events: Vec<String> = counts.iter().map(|&count| "x".repeat(count * 7) + "\n\n").collect();
        let read = smol::block_on(async {
            let (mut writer, mut reader) = pipe(());
            for event in &events {
                writer.write(event.as_bytes()).await.unwrap();
            }
            writer.finish();
            let mut chunks = Vec::new();
            let mut buffer = vec![0; max_len];
            loop {
                let count = reader.read(&mut buffer).await.unwrap();
                if count == 0 {
                    return chunks;
                }
                chunks.push(String::from_utf8(buffer[..count].to_vec()).unwrap());
            }
        });
        prop_assert!(read.iter().all(|chunk| chunk.ends_with("\n\n")));
        prop_assert_eq!(read.concat(), events.concat());
    }
}

#[rstest]
#[case::comment(": keep-alive\n\n")]
#[case::empty("\n\n")]
fn empty_events_and_comments_are_dropped(#[case] event: &str) {
    let text = format!("{event}{}", response(0, 1).concat());

    let (checked, result) = validate(0, &[text.as_bytes()]);

    assert_eq!(result, Ok(()));
    assert_eq!(checked, response(0, 1).concat());
}

#[test]
fn restart_discards_partial_event() {
    let mut validator = EventValidator::new("r-1".into(), 0);
    let mut checked = Vec::new();
    let partial = format!("{}{}", token(0), &token(1)[..20]);

    validator.push(partial.as_bytes(), &mut checked).unwrap();
    validator.restart();
    let rest = response(1, 2).concat();
    validator.push(rest.as_bytes(), &mut checked).unwrap();

    assert_eq!(validator.end(), Ok(()));
    assert_eq!(String::from_utf8(checked).unwrap(), response(0, 3).concat());
}

#[test]
fn oversized_event_is_rejected() {
    let piece = vec![b'x'; 1 << 20];

    let (_, result) = validate(0, &[&piece, &piece]);

    assert_eq!(result, Err(ResponseError::TooLarge));
}

#[test]
fn full_pipe_blocks_writer_and_dropped_writer_breaks_body() {
    smol::block_on(async {
        let (mut writer, mut reader) = pipe(());
        let piece = vec![b'x'; 40 << 10];
        writer.write(&piece).await.unwrap();
        writer.write(&piece).await.unwrap();

        let third = futures_lite::future::poll_once(writer.write(&piece)).await;
        drop(writer);
        let mut received = Vec::new();
        let end = reader.read_to_end(&mut received).await;

        assert!(
            third.is_none(),
            "the third write is blocked by unread bytes"
        );
        assert!(end.is_err(), "the body must not end without an error");
        assert_eq!(received.len(), 2 * piece.len());
    });
}
