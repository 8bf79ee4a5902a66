//! Tests of the pure parts of the relay.

use futures_lite::AsyncReadExt;
use proptest::prelude::*;
use rstest::rstest;

use super::{pipe::pipe, EventCheck, Mismatch, Progress};

/// Fixed, so that every run reaches the same verdict.
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

/// The events of a whole answer.
fn answer(from: u32, count: u32) -> Vec<String> {
    let mut events: Vec<String> = (from..from + count).map(token).collect();
    events.push(usage(from + count));
    events.push("data: [DONE]\n\n".into());
    events
}

/// Checks bytes that come in pieces; the checked bytes and the verdict.
fn check(from: u32, pieces: &[&[u8]]) -> (String, Result<(), Mismatch>) {
    let mut check = EventCheck::new("r-1".into(), from);
    let mut checked = Vec::new();
    let pushed = pieces
        .iter()
        .try_for_each(|piece| check.push(piece, &mut checked));
    let verdict = pushed.and_then(|()| check.end());
    (String::from_utf8(checked).unwrap(), verdict)
}

proptest! {
    #![proptest_config(property_config())]

    #[test]
    fn an_answer_passes_however_it_is_split(
        from in 0_u32..5,
        count in 0_u32..12,
        piece_bytes in 1_usize..200,
    ) {
        let text = answer(from, count).concat();
        let pieces: Vec<&[u8]> = text.as_bytes().chunks(piece_bytes).collect();

        let (checked, verdict) = check(from, &pieces);

        prop_assert_eq!(verdict, Ok(()));
        prop_assert_eq!(checked, text);
    }

    #[test]
    fn an_answer_with_an_event_lost_doubled_or_swapped_does_not_pass(
        count in 2_u32..12,
        place in 0_usize..13,
        change in 0_u8..3,
        piece_bytes in 1_usize..200,
    ) {
        let mut events = answer(0, count);
        let place = place % (events.len() - 1);
        match change {
            0 => drop(events.remove(place)),
            1 => events.insert(place, events[place].clone()),
            _ => events.swap(place, place + 1),
        }
        let text = events.concat();
        let pieces: Vec<&[u8]> = text.as_bytes().chunks(piece_bytes).collect();

        let (checked, verdict) = check(0, &pieces);

        prop_assert!(verdict.is_err());
        prop_assert!(!checked.ends_with("[DONE]\n\n"));
        let whole = answer(0, count).concat();
        prop_assert!(whole.starts_with(&checked), "only the answer's own beginning is passed on");
    }

    #[test]
    fn a_cut_answer_does_not_pass(
        count in 0_u32..12,
        kept_events in 0_usize..14,
        extra_bytes in prop_oneof![Just(0_usize), 1_usize..20],
    ) {
        let events = answer(0, count);
        let kept_events = kept_events % events.len();
        let next = &events[kept_events];
        let extra = &next[..extra_bytes.min(next.len() - 1)];
        let kept = events[..kept_events].concat() + extra;

        let (_, verdict) = check(0, &[kept.as_bytes()]);

        prop_assert!(verdict.is_err());
    }

    #[test]
    fn any_bytes_are_taken_without_a_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..8)) {
        let mut check = EventCheck::new("r-1".into(), 0);
        let mut checked = Vec::new();
        for piece in &pieces {
            if check.push(piece, &mut checked).is_err() {
                break;
            }
        }
        prop_assert_ne!(check.progress(), Progress::Done);
    }

    #[test]
    fn a_pipe_passes_whole_events(counts in prop::collection::vec(1_usize..40, 1..20), room in 300_usize..9000) {
        let events: Vec<String> = counts.iter().map(|&count| "x".repeat(count * 7) + "\n\n").collect();
        let read = smol::block_on(async {
            let (mut writer, mut reader) = pipe(());
            for event in &events {
                writer.write(event.as_bytes()).await.unwrap();
            }
            writer.finish();
            let mut chunks = Vec::new();
            let mut buffer = vec![0; room];
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
#[case::nothing("\n\n")]
fn what_carries_nothing_is_not_passed_on(#[case] event: &str) {
    let text = format!("{event}{}", answer(0, 1).concat());

    let (checked, verdict) = check(0, &[text.as_bytes()]);

    assert_eq!(verdict, Ok(()));
    assert_eq!(checked, answer(0, 1).concat());
}

#[test]
fn half_an_event_before_a_pause_is_forgotten() {
    let mut check = EventCheck::new("r-1".into(), 0);
    let mut checked = Vec::new();
    let half = format!("{}{}", token(0), &token(1)[..20]);

    check.push(half.as_bytes(), &mut checked).unwrap();
    check.restart();
    let rest = answer(1, 2).concat();
    check.push(rest.as_bytes(), &mut checked).unwrap();

    assert_eq!(check.end(), Ok(()));
    assert_eq!(String::from_utf8(checked).unwrap(), answer(0, 3).concat());
}

#[test]
fn an_endless_event_is_refused() {
    let piece = vec![b'x'; 1 << 20];

    let (_, verdict) = check(0, &[&piece, &piece]);

    assert_eq!(verdict, Err(Mismatch::TooLarge));
}

#[test]
fn a_pipe_holds_up_its_writer_and_breaks_with_it() {
    smol::block_on(async {
        let (mut writer, mut reader) = pipe(());
        let piece = vec![b'x'; 40 << 10];
        writer.write(&piece).await.unwrap();
        writer.write(&piece).await.unwrap();

        let third = futures_lite::future::poll_once(writer.write(&piece)).await;
        drop(writer);
        let mut taken = Vec::new();
        let end = reader.read_to_end(&mut taken).await;

        assert!(third.is_none(), "the reader is behind");
        assert!(end.is_err(), "no clean end");
        assert_eq!(taken.len(), 2 * piece.len());
    });
}
