//! Property tests for parsers of external input: event streams, request bodies and
//! request ids.

mod support;

use entry::{chat_body, request_id, EventError, EventSplitter};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use support::agent;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6c69_6d70),
        ..ProptestConfig::default()
    }
}

/// Feeds bytes in chunks whose sizes cycle through `sizes`; returns the released
/// bytes.
fn feed(
    splitter: &mut EventSplitter,
    bytes: &[u8],
    sizes: &[usize],
) -> Result<Vec<u8>, EventError> {
    let mut out = Vec::new();
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let space = splitter.space();
        let count = (*size).min(rest.len()).min(space.len());
        space[..count].copy_from_slice(&rest[..count]);
        rest = &rest[count..];
        let result = splitter.on_bytes_read(count);
        out.extend_from_slice(splitter.ready());
        let ready = splitter.ready().len();
        splitter.consume(ready);
        result?;
    }
    Ok(out)
}

fn stream(from: u32, until: u32) -> Vec<u8> {
    (from..until)
        .flat_map(|index| agent::token("r", index))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    /// A complete response is released byte for byte, for any sizes of the reads.
    #[test]
    fn complete_streams_pass_unchanged(count in 0u32..40, sizes in vec(1usize..700, 1..8)) {
        let bytes = [stream(0, count), agent::ending("r", count)].concat();
        let mut splitter = EventSplitter::new();

        let mut out = feed(&mut splitter, &bytes, &sizes).unwrap();
        splitter.finish().unwrap();
        out.extend_from_slice(splitter.ready());

        prop_assert_eq!(out, bytes);
        prop_assert_eq!(splitter.tokens(), count);
    }

    /// Only complete events are released. A truncated response that resumes at the
    /// next token is completed without missing or repeated tokens.
    #[test]
    fn stream_truncated_at_any_byte_resumes_exactly(
        count in 1u32..20,
        cut_permille in 0usize..1000,
        sizes in vec(1usize..700, 1..8),
    ) {
        let bytes = [stream(0, count), agent::ending("r", count)].concat();
        let cut = bytes.len() * cut_permille / 1000;
        let mut splitter = EventSplitter::new();

        let mut out = feed(&mut splitter, &bytes[..cut], &sizes).unwrap();
        prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
        prop_assert_eq!(splitter.finish(), Err(EventError::Truncated));
        splitter.restart();
        let delivered = splitter.tokens();
        let rest = [stream(delivered, count), agent::ending("r", count)].concat();
        out.extend(feed(&mut splitter, &rest, &sizes).unwrap());
        splitter.finish().unwrap();
        out.extend_from_slice(splitter.ready());

        prop_assert_eq!(out, bytes);
    }

    /// A token that is missing, duplicated or out of order is never released.
    #[test]
    fn out_of_sequence_tokens_are_rejected(
        before in 0u32..10,
        wrong in 0u32..20,
        sizes in vec(1usize..700, 1..8),
    ) {
        prop_assume!(wrong != before);
        let bytes = [stream(0, before), agent::token("r", wrong)].concat();
        let mut splitter = EventSplitter::new();

        let fed = feed(&mut splitter, &bytes, &sizes);

        prop_assert_eq!(fed, Err(EventError::UnexpectedToken { expected: before, found: wrong }));
        prop_assert_eq!(splitter.tokens(), before);
    }

    /// Arbitrary bytes cause no panic, and never count as a complete stream without
    /// the terminator.
    #[test]
    fn arbitrary_bytes_are_never_complete(
        bytes in vec(prop_oneof![Just(b'\n'), Just(b'"'), any::<u8>()], 0..3000),
        sizes in vec(1usize..700, 1..8),
    ) {
        let mut splitter = EventSplitter::new();

        let fed = feed(&mut splitter, &bytes, &sizes);

        if !bytes.windows(14).any(|window| window == b"data: [DONE]\n\n") {
            prop_assert!(fed.is_err() || splitter.finish().is_err());
        }
    }

    /// The text of a token is not mistaken for a marker, since JSON escapes its
    /// quotes.
    #[test]
    fn token_text_is_not_parsed_as_marker(text in "(token_index|finish_reason|\":|\"|\\\\|[0-9]|data: \\[DONE\\]|\n){0,12}") {
        let event = serde_json::json!({
            "token_index": 0,
            "choices": [{"delta": {"content": text}, "finish_reason": null}],
        });
        let bytes = format!("data: {event}\n\n").into_bytes();
        let mut splitter = EventSplitter::new();

        let out = feed(&mut splitter, &bytes, &[64]).unwrap();

        prop_assert_eq!(out, bytes);
        prop_assert_eq!(splitter.tokens(), 1);
    }

    /// Arbitrary bodies give a request or an error message, and cause no panic.
    #[test]
    fn arbitrary_bodies_do_not_panic(body in vec(any::<u8>(), 0..400)) {
        if let Err(message) = chat_body::parse(&body) {
            prop_assert!(!message.is_empty());
        }
    }

    /// Valid bodies are parsed; unknown fields are ignored and left to the engine.
    #[test]
    fn valid_bodies_are_parsed(
        model in "[a-z0-9./-]{1,30}",
        content in ".{0,200}",
        stream in any::<Option<bool>>(),
        max_tokens in any::<Option<u64>>(),
        extra in "[a-z_]{1,12}x",
    ) {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "stream": stream,
            "max_tokens": max_tokens,
            extra: [1, {"a": null}],
        });

        let parsed = chat_body::parse(body.to_string().as_bytes()).unwrap();

        prop_assert_eq!(parsed.model, model);
        prop_assert_eq!(parsed.stream, stream.unwrap_or(false));
        prop_assert_eq!(u64::from(parsed.max_tokens), max_tokens.unwrap_or(0).min(u64::from(u32::MAX)));
        prop_assert_ne!(parsed.prefix_hash, 0);
    }

    /// Any header value gives a request id that is valid in headers and logs.
    #[test]
    fn request_ids_are_printable_ascii(header in any::<Option<String>>()) {
        let id = request_id::from_header(header.as_deref());

        prop_assert!((1..=128).contains(&id.as_str().len()));
        prop_assert!(id.as_str().bytes().all(|byte| byte.is_ascii_graphic()));
    }
}
