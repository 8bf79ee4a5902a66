//! Tests of the simulated engine, platform and service as separate processes
//! against the interfaces in `docs/protocols.md`.

use std::time::Duration;

use futures_lite::{future, AsyncReadExt};
use harness::{args, Caller, ChatRequest, HarnessError, Outcome, Process, ProcessSpec, Programs};
use rstest::rstest;
use serde_json::{json, Value};
use trillium_client::{Client, Method};
use trillium_smol::ClientConfig;

type TestResult = Result<(), Box<dyn std::error::Error>>;

fn start(line: &str) -> Result<Process, HarnessError> {
    let programs = Programs::from_current_exe()?;
    Process::start("stand-in", ProcessSpec::standin(&programs, args(line))?)
}

fn http() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true)).without_keepalive()
}

/// Makes a call; returns the status and the JSON body, `null` if it has none.
async fn call(
    method: Method,
    process: &Process,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &Value,
) -> Result<(u16, Value), trillium_client::Error> {
    let mut conn = http()
        .build_conn(method, format!("http://{}{path}", process.addr()))
        .with_body(body.to_string());
    for (name, value) in headers {
        conn = conn.with_request_header(*name, value.to_string());
    }
    let mut conn = conn.await?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn.response_body().read_string().await?;
    Ok((status, serde_json::from_str(&text).unwrap_or(Value::Null)))
}

async fn get(process: &Process, path: &str) -> Result<(u16, Value), trillium_client::Error> {
    call(Method::Get, process, path, &[], &Value::Null).await
}

async fn set_faults(process: &Process, faults: Value) -> TestResult {
    let (status, response) = call(Method::Post, process, "/admin/faults", &[], &faults).await?;
    assert_eq!(status, 200, "{response}");
    Ok(())
}

/// Waits until an engine reports this number of running and waiting requests.
async fn wait_for_load(
    engine: &Process,
    running: u32,
    waiting: u32,
) -> Result<(), trillium_client::Error> {
    loop {
        let (_, load) = get(engine, "/load").await?;
        if load["running"] == running && load["waiting"] == waiting {
            return Ok(());
        }
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

#[rstest]
#[case::streamed("0", true)]
#[case::buffered("0", false)]
#[case::streamed_with_token_interval("1", true)]
#[case::buffered_with_token_interval("1", false)]
fn engine_returns_complete_response(#[case] token_ms: &str, #[case] stream: bool) -> TestResult {
    smol::block_on(async {
        let engine = start(&format!("engine --token-ms {token_ms}"))?;
        let request = ChatRequest {
            stream,
            ..ChatRequest::streamed("how worn are the burrs? [len=30]")
        };

        let reply = Caller::new(engine.addr(), "any").chat(&request).await;

        assert_eq!(reply.outcome, Outcome::Complete { tokens: 30 });
        let (_, stats) = get(&engine, "/stats").await?;
        assert_eq!(stats["tokens_generated"], 30);
        assert_eq!(stats["requests_whole"], 1);
        Ok(())
    })
}

#[rstest]
#[case::crossed(json!({"crossed": true}), "Crossed")]
#[case::truncated(json!({"truncate_at_token": 5}), "Broken")]
#[case::truncated_with_done(json!({"truncate_at_token": 5, "clean_end": true}), "Corrupt")]
#[case::repeated(json!({"repeat_token": 5}), "Corrupt")]
#[case::skipped(json!({"skip_token": 5}), "Corrupt")]
#[case::crashed(json!({"crash_at_token": 5}), "Broken")]
#[case::dropped(json!({"drop_before_first_token": true}), "NoResponse")]
fn caller_detects_engine_faults(#[case] faults: Value, #[case] expected: &str) -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 1")?;
        set_faults(&engine, faults).await?;

        let request = ChatRequest::streamed("motor fault [len=20]");
        let reply = Caller::new(engine.addr(), "any").chat(&request).await;

        let outcome = format!("{:?}", reply.outcome);
        assert!(outcome.starts_with(expected), "{outcome}");
        Ok(())
    })
}

/// Guards against the loss of tokens before an abort: on a loaded CI machine the
/// engine had generated the response before the connection polled it, and the
/// tokens generated before the abort were never sent.
#[test]
fn tokens_generated_before_abort_are_sent() -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 0")?;
        set_faults(&engine, json!({"truncate_at_token": 5})).await?;

        let request = ChatRequest::streamed("motor fault [len=20]");
        let reply = Caller::new(engine.addr(), "any").chat(&request).await;

        let is_expected = matches!(&reply.outcome, Outcome::Broken { tokens: 5, .. });
        assert!(is_expected, "{:?}", reply.outcome);
        Ok(())
    })
}

#[test]
fn resume_returns_remaining_tokens() -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 1")?;
        let request = ChatRequest::streamed("carving plan [len=12]");
        let body = json!({
            "model": "advice",
            "messages": [{"role": "user", "content": request.prompt}],
            "stream": false,
            "resume_from": 7,
        });

        let path = "/v1/chat/completions";
        let (_, response) = call(Method::Post, &engine, path, &[], &body).await?;

        let text = request.expected_completion().text_from(7);
        assert_eq!(response["choices"][0]["message"]["content"], text);
        assert_eq!(response["usage"]["completion_tokens"], 12);
        Ok(())
    })
}

#[test]
fn batch_is_limited_and_queue_is_ordered_by_priority() -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 4 --batch-max 1 --load-lag-ms 0")?;
        let send_chat = |priority: u8, length: u32| {
            let body = json!({
                "model": "advice",
                "messages": [{"role": "user", "content": format!("{priority} [len={length}]")}],
                "priority": priority,
            });
            let engine = &engine;
            async move {
                call(Method::Post, engine, "/v1/chat/completions", &[], &body).await?;
                Ok::<_, trillium_client::Error>(priority)
            }
        };
        // The first request fills the batch while the others are queued.
        let first = send_chat(1, 250);
        let low = async {
            wait_for_load(&engine, 1, 0).await?;
            send_chat(1, 100).await
        };
        let high = async {
            wait_for_load(&engine, 1, 1).await?;
            send_chat(9, 1).await
        };

        let race = future::or(low, high);
        let (_, winner) = future::try_zip(first, race).await?;

        assert_eq!(winner, 9);
        Ok(())
    })
}

#[test]
fn closed_connection_and_cancel_free_batch_slots() -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 5 --batch-max 1 --load-lag-ms 0")?;
        let long = json!({
            "model": "advice",
            "messages": [{"role": "user", "content": "[len=100000]"}],
            "stream": true,
        });
        let url = format!("http://{}/v1/chat/completions", engine.addr());
        let mut running = http().post(url.clone()).with_body(long.to_string()).await?;
        let mut first = [0; 16];
        running.response_body().read_exact(&mut first).await?;
        drop(running);
        let mut running = http()
            .post(url)
            .with_request_header("x-request-id", "r-2")
            .with_body(long.to_string())
            .await?;

        let cancel = json!({"request_id": "r-2"});
        let (_, cancelled) = call(Method::Post, &engine, "/cancel", &[], &cancel).await?;

        assert_eq!(cancelled["cancelled"], 1);
        let rest = running.response_body().read_bytes().await;
        assert!(
            rest.is_err(),
            "the body of a cancelled response must end with an error"
        );
        let (_, stats) = get(&engine, "/stats").await?;
        assert_eq!(stats["cancelled"], 2);
        Ok(())
    })
}

#[test]
fn cache_events_report_stored_blocks_with_gaps() -> TestResult {
    smol::block_on(async {
        let engine = start("engine --token-ms 0 --event-lag-ms 0 --event-gap-every 2")?;
        let prompt = "x".repeat(64 * 6);
        let request = ChatRequest::buffered(format!("{prompt}[len=1]"));

        Caller::new(engine.addr(), "any").chat(&request).await;

        let (_, events) = get(&engine, "/cache-events?after=0").await?;
        let sequences: Vec<_> = events["events"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|event| event["sequence"].as_u64())
            .collect();
        assert_eq!(sequences, [Some(1), Some(3), Some(5)]);
        Ok(())
    })
}

#[rstest]
#[case::with_fencing("--fencing", 409, 1)]
#[case::without_fencing("", 200, 2)]
fn engine_refuses_old_fencing_number_only_with_fencing(
    #[case] flag: &str,
    #[case] status: u16,
    #[case] applied: usize,
) -> TestResult {
    smol::block_on(async {
        let engine = start(&format!("engine {flag}"))?;
        let order = |fencing: u64| json!({"order": "load_model", "name": "m", "fencing": fencing});
        call(Method::Post, &engine, "/orders", &[], &order(12)).await?;

        let (status_of_old, _) = call(Method::Post, &engine, "/orders", &[], &order(11)).await?;

        assert_eq!(status_of_old, status);
        let (_, orders) = get(&engine, "/orders").await?;
        assert_eq!(orders["orders"].as_array().map(Vec::len), Some(applied));
        Ok(())
    })
}

#[test]
fn conditional_writes_check_existence_and_version() -> TestResult {
    smol::block_on(async {
        let platform = start("platform")?;
        let put = |headers: &'static [(&'static str, &'static str)], value: u32| {
            let platform = &platform;
            async move {
                let body = json!(value);
                call(Method::Put, platform, "/objects/k/n", headers, &body).await
            }
        };

        let created = put(&[("if-none-match", "*")], 1).await?;
        let duplicate = put(&[("if-none-match", "*")], 2).await?;
        let replaced = put(&[("if-match", "1")], 3).await?;
        let stale = put(&[("if-match", "1")], 4).await?;

        assert_eq!(created, (200, json!({"version": 1})));
        assert_eq!(duplicate, (412, json!({"version": 1})));
        assert_eq!(replaced, (200, json!({"version": 2})));
        assert_eq!(stale, (412, json!({"version": 2})));
        let object = get(&platform, "/objects/k/n").await?;
        assert_eq!(object, (200, json!({"version": 2, "value": 3})));
        Ok(())
    })
}

#[test]
fn write_with_lost_response_takes_effect() -> TestResult {
    smol::block_on(async {
        let platform = start("platform")?;
        set_faults(&platform, json!({"lose_answers": true, "only_kind": "k"})).await?;

        let lost = call(Method::Put, &platform, "/objects/k/n", &[], &json!(1)).await;
        let other = call(Method::Put, &platform, "/objects/other/n", &[], &json!(1)).await?;

        assert!(lost.is_err());
        assert_eq!(other.0, 200);
        assert_eq!(get(&platform, "/objects/k/n").await?.0, 200);
        Ok(())
    })
}

#[test]
fn watch_returns_on_newer_version_timeout_and_outage() -> TestResult {
    smol::block_on(async {
        let platform = start("platform")?;
        let write = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            call(Method::Put, &platform, "/objects/k/n", &[], &json!("v")).await
        };
        let watch = get(&platform, "/watch/k/n?after=0&timeout_ms=20000");

        let (update, _) = future::try_zip(watch, write).await?;
        let timed_out = get(&platform, "/watch/k/n?after=1&timeout_ms=20").await?;
        let outage = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            set_faults(&platform, json!({"down": true})).await
        };
        let watch = get(&platform, "/watch/k/n?after=1&timeout_ms=20000");
        let (down, _) = future::zip(watch, outage).await;

        assert_eq!(update, (200, json!({"version": 1, "value": "v"})));
        assert_eq!(timed_out.0, 204);
        assert_eq!(down?.0, 503);
        Ok(())
    })
}

#[test]
fn instance_list_is_delayed_and_can_be_frozen() -> TestResult {
    smol::block_on(async {
        let platform = start("platform --instance-lag-ms 1000")?;
        let line = json!({"instance": "a-1", "role": "agent", "zone": "az-1"});
        let count = |list: &Value| list["instances"].as_array().map(Vec::len);
        call(Method::Post, &platform, "/admin/instances", &[], &line).await?;

        let (_, initial) = get(&platform, "/instances").await?;
        let after = format!("/instances?after={}&timeout_ms=20000", initial["version"]);
        let (_, later) = get(&platform, &after).await?;
        set_faults(&platform, json!({"instances_frozen": true})).await?;
        call(
            Method::Delete,
            &platform,
            "/admin/instances/a-1",
            &[],
            &Value::Null,
        )
        .await?;
        let after = format!("/instances?after={}&timeout_ms=1200", later["version"]);
        let (frozen, _) = get(&platform, &after).await?;

        assert_eq!(count(&initial), Some(0));
        assert_eq!(count(&later), Some(1));
        assert_eq!(frozen, 204);
        Ok(())
    })
}

#[test]
fn calls_over_rate_limit_are_refused() -> TestResult {
    smol::block_on(async {
        let platform = start("platform --writes-per-s 1")?;
        let put = || call(Method::Put, &platform, "/objects/k/n", &[], &Value::Null);

        let statuses = [put().await?.0, put().await?.0, put().await?.0];

        // A new window of the rate limit may start between the calls.
        assert!(statuses.contains(&429), "{statuses:?}");
        Ok(())
    })
}

#[test]
fn service_records_runs_in_ledger() -> TestResult {
    smol::block_on(async {
        let service = start("service --work-ms 1")?;
        let headers = [("x-request-id", "r-1"), ("idempotency-key", "k-1")];
        let body = json!({"part": "burr"});

        let (status, response) =
            call(Method::Post, &service, "/orders?x=1", &headers, &body).await?;

        assert_eq!((status, &response["request_id"]), (200, &json!("r-1")));
        assert_eq!(response["path"], "/orders?x=1");
        let (_, ledger) = get(&service, "/ledger").await?;
        let run = &ledger["runs"][0];
        assert_eq!(run["idempotency_key"], "k-1");
        assert_eq!(run["finished"], true);
        Ok(())
    })
}

#[rstest]
#[case::truncated(json!({"truncate": true}))]
#[case::lost_response(json!({"lose_answers": true}))]
fn interrupted_service_response_has_finished_run(#[case] faults: Value) -> TestResult {
    smol::block_on(async {
        let service = start("service --work-ms 1")?;
        set_faults(&service, faults).await?;

        let response = call(Method::Post, &service, "/orders", &[], &Value::Null).await;

        assert!(response.is_err(), "{response:?}");
        let (_, ledger) = get(&service, "/ledger").await?;
        assert_eq!(ledger["runs"][0]["finished"], true);
        Ok(())
    })
}

#[test]
fn unknown_fault_is_rejected() -> TestResult {
    smol::block_on(async {
        let engine = start("engine")?;

        let faults = json!({"slow_factr": 2});
        let (status, _) = call(Method::Post, &engine, "/admin/faults", &[], &faults).await?;

        assert_eq!(status, 400);
        Ok(())
    })
}
