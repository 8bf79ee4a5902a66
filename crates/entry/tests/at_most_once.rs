//! Requests that run at most once. The tests count the dispatches that the
//! agents received.

mod support;

use std::{
    sync::{atomic::Ordering, Arc},
    time::{Duration, Instant},
};

use coord::claim::{claim_name, ClaimRecord, CLAIM_KIND};
use rstest::rstest;
use serde_json::Value;
use shared_state::SharedState;
use smol::{io::AsyncWriteExt, net::TcpStream, Timer};
use store::{Condition, Key, ObjectStore};
use support::{
    agent, chat_body, document, error_of, fetch_json, fetch_stream, run, start_entry_named,
    FakeAgent, FakeStore, Piece, Reaction, TestEntry, API_KEY, OTHER_KEY,
};
use trillium_client::Conn;
use types::{ErrorCode, Fingerprint, Generation, Verdict};

const ORDER: &str = r#"{"part":"burr","count":2}"#;

fn receipt(number: u32) -> Reaction {
    Reaction::Respond(vec![Piece::Bytes(
        format!(r#"{{"order":{number}}}"#).into_bytes(),
    )])
}

fn refusal(verdict: Verdict) -> Reaction {
    Reaction::Refuse(ErrorCode::UpstreamFailed, verdict)
}

/// Two entries that share a store and the same agents.
struct Fleet {
    entries: [TestEntry; 2],
    agents: Vec<FakeAgent>,
    store: Arc<FakeStore>,
}

async fn fleet_of(upstream: &str, reactions: Vec<Reaction>) -> Fleet {
    let agents = FakeAgent::group(2, reactions).await;
    let store = Arc::new(FakeStore::default());
    let instances: Vec<_> = agents
        .iter()
        .map(|agent| agent.instance(upstream))
        .collect();
    let entry = |name: &'static str| {
        let snapshot = config::Snapshot::new(Generation(1), document());
        let shared = SharedState::fixed(snapshot, instances.clone());
        start_entry_named(name, shared, store.clone())
    };
    Fleet {
        entries: [entry("entry-1").await, entry("entry-2").await],
        agents,
        store,
    }
}

async fn fleet(reactions: Vec<Reaction>) -> Fleet {
    fleet_of("orders", reactions).await
}

impl Fleet {
    fn order(&self, entry: usize, key: &str, body: &'static str) -> Conn {
        self.entries[entry]
            .post("/services/orders/place?urgent=1", body)
            .with_request_header("idempotency-key", key.to_owned())
    }

    fn dispatch_count(&self) -> usize {
        self.agents
            .iter()
            .map(|agent| agent.dispatches().len())
            .sum()
    }

    fn claims(&self) -> Vec<ClaimRecord> {
        let objects = self.store.objects();
        objects
            .into_values()
            .map(|object| serde_json::from_value(object.value).unwrap())
            .collect()
    }
}

/// Polls a condition until it holds; fails with `what` after 10 s.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(10), "{what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

fn code_and_verdict(code: &str, verdict: &str) -> (String, String) {
    (code.to_owned(), verdict.to_owned())
}

#[rstest]
fn repeated_submission_gets_stored_response_from_any_entry() {
    run(async {
        let fleet = fleet(vec![receipt(7), receipt(8)]).await;

        let first = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let again = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let elsewhere = fetch_json(fleet.order(1, "k-1", ORDER)).await;

        assert_eq!(first.0, 200, "{}", first.1);
        assert_eq!(first.1["order"], 7);
        assert_eq!(again, first);
        assert_eq!(elsewhere, first);
        assert_eq!(fleet.dispatch_count(), 1);
        let (meta, body) = fleet
            .agents
            .iter()
            .flat_map(|agent| agent.dispatches())
            .next()
            .unwrap();
        assert_eq!(body, ORDER.as_bytes());
        let expected = rpc::Target::Call {
            method: "POST".into(),
            path: "/place?urgent=1".into(),
            content_type: Some("application/json".into()),
            idempotency_key: Some("k-1".into()),
        };
        assert_eq!(meta.target, expected);
        assert!(!meta.idempotent);
    });
}

#[rstest]
fn key_is_required_only_for_at_most_once_calls() {
    run(async {
        let fleet = fleet(vec![receipt(1), receipt(2)]).await;
        let entry = &fleet.entries[0];

        let (status, body) = fetch_json(entry.post("/services/orders/place", ORDER)).await;
        let read = fetch_json(entry.get("/services/orders/place/7")).await;
        let other = fetch_json(entry.post("/services/orders/search", ORDER)).await;

        assert_eq!(status, 400);
        assert_eq!(
            error_of(&body),
            code_and_verdict("idempotency_key_missing", "not_run")
        );
        assert_eq!(read.0, 200);
        assert_eq!(other.0, 200);
        assert_eq!(fleet.store.writes.load(Ordering::SeqCst), 0);
    });
}

#[rstest]
fn key_reused_with_another_body_is_refused() {
    run(async {
        let fleet = fleet(vec![receipt(7), receipt(8)]).await;
        fetch_json(fleet.order(0, "k-1", ORDER)).await;

        let (status, body) = fetch_json(fleet.order(1, "k-1", "{\"part\":\"motor\"}")).await;

        assert_eq!(status, 422);
        assert_eq!(
            error_of(&body),
            code_and_verdict("idempotency_key_reused", "not_run")
        );
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn teams_do_not_share_keys() {
    run(async {
        let fleet = fleet(vec![receipt(7), receipt(8)]).await;
        let of_clinic = fleet
            .order(0, "k-1", ORDER)
            .without_request_header("authorization")
            .with_request_header("authorization", format!("Bearer {OTHER_KEY}"));

        fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let (status, _) = fetch_json(of_clinic).await;

        assert_eq!(status, 200);
        assert_eq!(fleet.dispatch_count(), 2);
    });
}

#[rstest]
fn submission_during_run_returns_in_progress() {
    run(async {
        let slow = Reaction::Respond(vec![Piece::WaitMs(500), Piece::Bytes(b"{}".to_vec())]);
        let fleet = fleet(vec![slow, receipt(8)]).await;
        let meanwhile = async {
            wait_until("the first submission was not dispatched", || {
                fleet.dispatch_count() == 1
            })
            .await;
            fetch_json(fleet.order(1, "k-1", ORDER)).await
        };

        let (first, second) =
            futures_lite::future::zip(fetch_json(fleet.order(0, "k-1", ORDER)), meanwhile).await;

        assert_eq!(first.0, 200);
        assert_eq!(second.0, 409);
        assert_eq!(
            error_of(&second.1),
            code_and_verdict("in_progress", "may_have_run")
        );
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

/// Guards against two runs for concurrent submissions with one key through both
/// entries: exactly one runs, the others get its response or a conflict.
#[rstest]
fn concurrent_submissions_run_once() {
    run(async {
        for round in 0..10 {
            let fleet = fleet(vec![receipt(1), receipt(2)]).await;

            let orders = (0..6).map(|n| fetch_json(fleet.order(n % 2, "k-1", ORDER)));
            let mut tasks: Vec<_> = orders.map(Box::pin).collect();
            let mut statuses = Vec::new();
            for task in &mut tasks {
                // The first poll submits the request, so that all run concurrently.
                if let Some((status, _)) = futures_lite::future::poll_once(task).await {
                    statuses.push(status);
                }
            }
            for task in tasks {
                statuses.push(task.await.0);
            }

            assert_eq!(fleet.dispatch_count(), 1, "round {round}");
            assert!(statuses.iter().all(|status| [200, 409].contains(status)));
            assert!(statuses.contains(&200));
        }
    });
}

#[rstest]
#[case::old_claim(0, "outcome_unknown")]
#[case::recent_claim(u64::MAX, "in_progress")]
fn claim_of_crashed_owner_is_never_run(#[case] created_unix_ms: u64, #[case] code: &str) {
    run(async {
        let fleet = fleet(vec![receipt(1)]).await;
        let body = ORDER.as_bytes();
        let record = ClaimRecord {
            nonce: "of-a-dead-entry".into(),
            owner: "entry-0".into(),
            content: Fingerprint::of("fitters POST orders/place?urgent=1", body),
            created_unix_ms,
            deadline_ms: 1,
            outcome: None,
        };
        let name = claim_name(&"fitters".into(), "orders", "k-1");
        let value = serde_json::to_value(&record).unwrap();
        let key = Key::new(CLAIM_KIND, &name);
        fleet
            .store
            .put(&key, &value, Condition::Absent)
            .await
            .unwrap();

        let (status, body) = fetch_json(fleet.order(0, "k-1", ORDER)).await;

        assert_eq!(status, 409, "{body}");
        assert_eq!(error_of(&body), code_and_verdict(code, "may_have_run"));
        assert_eq!(fleet.dispatch_count(), 0);
    });
}

#[rstest]
fn store_outage_returns_not_run() {
    run(async {
        let fleet = fleet(vec![receipt(1)]).await;
        fleet.store.down.store(true, Ordering::SeqCst);

        let (status, body) = fetch_json(fleet.order(0, "k-1", ORDER)).await;

        assert_eq!(status, 503);
        assert_eq!(
            error_of(&body),
            code_and_verdict("store_unavailable", "not_run")
        );
        assert!(body["error"]["retry_after_ms"].is_u64());
        assert_eq!(fleet.dispatch_count(), 0);
        fleet.store.down.store(false, Ordering::SeqCst);
        assert_eq!(fetch_json(fleet.order(1, "k-1", ORDER)).await.0, 200);
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
#[case::claim(1)]
#[case::claim_and_outcome(2)]
fn lost_store_responses_are_recovered(#[case] lost: u64) {
    run(async {
        let fleet = fleet(vec![receipt(7), receipt(8)]).await;
        fleet.store.lose_responses.store(lost, Ordering::SeqCst);

        let first = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let again = fetch_json(fleet.order(1, "k-1", ORDER)).await;

        assert_eq!(first.0, 200, "{}", first.1);
        assert_eq!(again, first);
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn request_is_dispatched_again_after_not_run() {
    run(async {
        let fleet = fleet(vec![refusal(Verdict::NotRun), receipt(7)]).await;

        let (status, body) = fetch_json(fleet.order(0, "k-1", ORDER)).await;

        assert_eq!(status, 200, "{body}");
        assert_eq!(fleet.dispatch_count(), 2);
    });
}

#[rstest]
fn key_is_reusable_after_not_run() {
    run(async {
        let reactions = vec![
            refusal(Verdict::NotRun),
            refusal(Verdict::NotRun),
            receipt(7),
        ];
        let fleet = fleet(reactions).await;

        let refused = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let again = fetch_json(fleet.order(1, "k-1", ORDER)).await;

        assert_eq!(error_of(&refused.1).1, "not_run", "{}", refused.1);
        assert_eq!(again.0, 200, "{}", again.1);
    });
}

#[rstest]
#[case::refused(refusal(Verdict::MayHaveRun))]
#[case::garbage(Reaction::Garbage)]
#[case::truncated(Reaction::Respond(vec![Piece::Bytes(b"{\"or".to_vec()), Piece::Disconnect]))]
fn request_that_may_have_run_is_never_rerun(#[case] reaction: Reaction) {
    run(async {
        let fleet = fleet(vec![reaction, receipt(7)]).await;

        let first = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let again = fetch_json(fleet.order(1, "k-1", ORDER)).await;

        assert_eq!(error_of(&first.1).1, "may_have_run", "{}", first.1);
        assert_eq!(
            error_of(&again.1),
            code_and_verdict("outcome_unknown", "may_have_run")
        );
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn response_is_stored_after_caller_disconnects() {
    run(async {
        let slow = Reaction::Respond(vec![
            Piece::WaitMs(300),
            Piece::Bytes(b"{\"order\":7}".to_vec()),
        ]);
        let fleet = fleet(vec![slow, receipt(8)]).await;
        let head = format!(
            "POST /services/orders/place?urgent=1 HTTP/1.1\r\nhost: x\r\nidempotency-key: k-1\r\ncontent-type: application/json\r\nauthorization: Bearer {API_KEY}\r\ncontent-length: {}\r\n\r\n{ORDER}",
            ORDER.len()
        );
        let mut caller = TcpStream::connect(fleet.entries[0].running.addr)
            .await
            .unwrap();
        caller.write_all(head.as_bytes()).await.unwrap();
        wait_until("the request was not dispatched", || {
            fleet.dispatch_count() == 1
        })
        .await;

        drop(caller);

        wait_until("the claim was not settled", || {
            fleet.claims().iter().any(|claim| claim.outcome.is_some())
        })
        .await;
        let (status, response) = fetch_json(fleet.order(1, "k-1", ORDER)).await;
        assert_eq!(status, 200);
        assert_eq!(response["order"], 7);
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn oversized_response_is_stored_as_digest() {
    run(async {
        let large = vec![b'x'; 70_000];
        let digest = blake3::hash(&large).to_hex().to_string();
        let fleet = fleet(vec![Reaction::Respond(vec![Piece::Bytes(large)])]).await;

        let (status, _) = fetch_json(fleet.order(0, "k-1", ORDER)).await;
        let (again_status, again) = fetch_json(fleet.order(1, "k-1", ORDER)).await;

        assert_eq!(status, 200);
        assert_eq!(again_status, 409);
        assert_eq!(error_of(&again), code_and_verdict("outcome_unknown", "ran"));
        assert!(again.to_string().contains(&digest), "{again}");
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn non_idempotent_model_is_claimed() {
    run(async {
        let fleet = fleet_of("carving-once", vec![]).await;
        let chat = |entry: usize, stream: bool, key: &'static str| {
            fleet.entries[entry]
                .post("/v1/chat/completions", chat_body("m-once", stream))
                .with_request_header("idempotency-key", key)
        };

        let completion = fetch_json(chat(0, false, "k-1")).await;
        let completion_again = fetch_json(chat(1, false, "k-1")).await;
        let (_, events, clean) = fetch_stream(chat(0, true, "k-2")).await;
        let (_, events_again, _) = fetch_stream(chat(1, true, "k-2")).await;

        assert_eq!(completion.0, 200, "{}", completion.1);
        assert_eq!(completion_again, completion);
        assert!(clean);
        assert_eq!(support::indices(&events), (0..8).collect::<Vec<_>>());
        assert_eq!(events_again, events);
        assert_eq!(fleet.dispatch_count(), 2);
    });
}

#[rstest]
fn truncated_response_of_non_idempotent_model_is_not_delivered() {
    run(async {
        let mut pieces = agent::tokens("r", 0, 3);
        pieces.push(Piece::Disconnect);
        let fleet = fleet_of("carving-once", vec![Reaction::Respond(pieces)]).await;
        let conn = fleet.entries[0]
            .post("/v1/chat/completions", chat_body("m-once", true))
            .with_request_header("idempotency-key", "k-1");

        let (status, body): (u16, Value) = fetch_json(conn).await;

        assert_eq!(status, 502, "{body}");
        assert_eq!(
            error_of(&body),
            code_and_verdict("upstream_failed", "may_have_run")
        );
        assert_eq!(fleet.dispatch_count(), 1);
    });
}

#[rstest]
fn expired_claims_are_deleted_and_recent_ones_kept() {
    run(async {
        const HOUR: Duration = Duration::from_secs(3_600);
        let store = Arc::new(FakeStore::default());
        let now_unix_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        let ages = [("old", 2 * HOUR), ("young", HOUR / 2)];
        for (age, number) in ages.iter().flat_map(|age| (0..5).map(move |n| (age, n))) {
            let record = ClaimRecord {
                nonce: "n".into(),
                owner: "entry-0".into(),
                content: Fingerprint::of("", b""),
                created_unix_ms: now_unix_ms - age.1.as_millis() as u64,
                deadline_ms: 1,
                outcome: None,
            };
            let key = Key::new(CLAIM_KIND, &format!("{}-{number}", age.0));
            let value = serde_json::to_value(&record).unwrap();
            store.put(&key, &value, Condition::Absent).await.unwrap();
        }
        let claims: Arc<dyn ObjectStore> = store.clone();

        let old_claims_remain = || {
            store
                .objects()
                .keys()
                .any(|key| key.name.starts_with("old"))
        };
        for _ in 0..200 {
            if !old_claims_remain() {
                break;
            }
            entry::sweep_expired_claims(&claims, HOUR, 64, Duration::ZERO).await;
        }

        assert!(!old_claims_remain());
        assert_eq!(store.objects().len(), 5);
    });
}

#[rstest]
fn drain_waits_for_run_after_caller_disconnects() {
    run(async {
        let slow = Reaction::Respond(vec![Piece::WaitMs(700), Piece::Bytes(b"{}".to_vec())]);
        let fleet = fleet(vec![slow]).await;
        let order = fleet.order(0, "k-1", ORDER);
        let submitted = futures_lite::future::or(
            async {
                fetch_json(order).await;
            },
            wait_until("the request was not dispatched", || {
                fleet.dispatch_count() == 1
            }),
        );
        submitted.await;
        let Fleet {
            entries: [entry, _other],
            store,
            ..
        } = fleet;

        entry.running.drain_handle().drain();
        entry.running.finished().await;

        let settled = store.objects().into_values().any(|object| {
            let record: ClaimRecord = serde_json::from_value(object.value).unwrap();
            record.outcome.is_some()
        });
        assert!(settled);
    });
}
