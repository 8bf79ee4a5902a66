//! Contents of `/metrics`: counters, and no secrets.

mod support;

use rstest::rstest;
use support::{fetch_json, run, start_entry, FakeAgent, API_KEY, SECRET};

#[rstest]
fn metrics_count_requests_and_contain_no_secrets() {
    run(async {
        telemetry::init_metrics();
        let agent = FakeAgent::start("a-1", vec![]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;
        fetch_json(entry.chat(false)).await;
        fetch_json(entry.post("/v1/chat/completions", "{")).await;

        let mut conn = entry.get_operator("/metrics").await.unwrap();
        let text = conn.response_body().read_string().await.unwrap();

        for line in [
            "limpetgw_entry_tokens_total 8",
            "limpetgw_entry_attempts_total 1",
            "limpetgw_entry_answers_total{class=\"bench\",attained=\"true\"} 1",
            "limpetgw_entry_refusals_total{code=\"malformed_request\"} 1",
            "limpetgw_entry_in_flight_requests 0",
            "limpetgw_entry_first_token_seconds_count{class=\"bench\"} 1",
        ] {
            assert!(text.contains(line), "{line} is missing in\n{text}");
        }
        for secret in [API_KEY, SECRET, &config::key_digest(API_KEY)] {
            assert!(!text.contains(secret), "{text}");
        }
    });
}
