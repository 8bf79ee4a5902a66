//! The mixed load of chat requests and service calls that the demonstration
//! sends to its cluster.

use std::time::Duration;

use harness::{Cluster, HarnessError, CAFE_KEY, CLINIC_KEY, ENGINE_MODEL, SERVICE_ROUTE};
use standins::load::{Flow, LoadPlan, Phase, RequestKind};

/// Duration of the load.
pub(super) const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Returns a load of short urgent, medium standard and long history chat
/// requests, plus orders that must run at most once and reads.
pub(super) fn mixed_load(cluster: &Cluster) -> Result<LoadPlan, HarnessError> {
    let entries = vec![cluster.entry_addr(0)?.into(), cluster.entry_addr(1)?.into()];
    let flows = vec![
        flow("urgent", CLINIC_KEY, chat(10, 60), 6.0, 500),
        flow("standard", CAFE_KEY, chat(20, 120), 8.0, 2_000),
        flow("history", CAFE_KEY, chat(100, 300), 3.0, 10_000),
        flow("orders", CLINIC_KEY, order(), 4.0, 2_000),
        flow("reads", CAFE_KEY, read(), 4.0, 2_000),
    ];
    Ok(LoadPlan::builder().entries(entries).flows(flows).build())
}

fn flow(name: &str, key: &str, what: RequestKind, rate_per_s: f64, target_ms: u64) -> Flow {
    let is_chat = matches!(what, RequestKind::Chat { .. });
    Flow::builder()
        .name(name)
        .maybe_class(is_chat.then_some(name))
        .api_key(key)
        .what(what)
        .phases(vec![Phase {
            from_ms: 0,
            length_ms: LOAD_DURATION.as_millis() as u64,
            rate_per_s,
        }])
        .target_ms(target_ms)
        .build()
}

fn chat(tokens_min: u32, tokens_max: u32) -> RequestKind {
    RequestKind::Chat {
        model: ENGINE_MODEL.into(),
        stream: true,
        tokens_min,
        tokens_max,
        prompt_bytes: 400,
    }
}

fn order() -> RequestKind {
    RequestKind::Order {
        route: SERVICE_ROUTE.into(),
    }
}

fn read() -> RequestKind {
    RequestKind::Read {
        route: SERVICE_ROUTE.into(),
    }
}
