//! HTTP interface of the simulated platform.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Mutex,
    },
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use trillium::{Conn, Method};

use super::{
    faults::{Faults, INSTANCES_KIND},
    instances::Instances,
    notify::{lock, Notify},
    objects::{Condition, Objects, VALUE_MAX_BYTES},
};
use crate::serving::{
    abort_connection, query_number, read_body, read_json, respond_error, respond_json,
};

/// Maximum duration of a watch, in milliseconds.
const WATCH_MAX_MS: u64 = 60_000;

/// State of the simulated platform: objects, instance list, faults and limits.
#[derive(Debug)]
pub(crate) struct Platform {
    objects: Mutex<Objects>,
    instances: Mutex<Instances>,
    faults: Mutex<Faults>,
    changed: Notify,
    calls: CallCounters,
    read_rate: RateLimiter,
    write_rate: RateLimiter,
}

/// Calls since the start by type; a waiting watch counts as one call.
#[derive(Debug, Default)]
struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    instances: AtomicU64,
}

/// Limits calls per second, counted in fixed windows of one second.
#[derive(Debug)]
struct RateLimiter {
    per_s: u32,
    window: Mutex<(Instant, u32)>,
}

impl RateLimiter {
    fn new(per_s: u32) -> Self {
        Self {
            per_s,
            window: Mutex::new((Instant::now(), 0)),
        }
    }

    fn try_acquire(&self) -> bool {
        let now = Instant::now();
        let mut window = lock(&self.window);
        if now.duration_since(window.0) >= Duration::from_secs(1) {
            *window = (now, 0);
        }
        window.1 += 1;
        window.1 <= self.per_s
    }
}

impl Platform {
    pub(crate) fn new(instance_lag: Duration, reads_per_s: u32, writes_per_s: u32) -> Self {
        Self {
            objects: Mutex::default(),
            instances: Mutex::new(Instances::new(instance_lag)),
            faults: Mutex::default(),
            changed: Notify::default(),
            calls: CallCounters::default(),
            read_rate: RateLimiter::new(reads_per_s),
            write_rate: RateLimiter::new(writes_per_s),
        }
    }

    /// Handles one call to the object, watch, instance list or admin interface.
    pub(crate) async fn handle(&self, conn: Conn) -> Conn {
        let path = conn.path().to_string();
        let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (conn.method(), segments.as_slice()) {
            (Method::Get, ["objects", kind]) => self.list(conn, kind).await,
            (Method::Get, ["objects", kind, name]) => self.get(conn, kind, name).await,
            (Method::Put, ["objects", kind, name]) => self.put(conn, kind, name).await,
            (Method::Delete, ["objects", kind, name]) => self.delete(conn, kind, name).await,
            (Method::Get, ["watch", kind, name]) => self.watch(conn, kind, name).await,
            (Method::Get, ["instances"]) => self.list_instances(conn).await,
            (_, ["admin", rest @ ..]) => self.admin(conn, rest).await,
            _ => respond_error(conn, 404, "unknown route"),
        }
    }

    /// Applies the configured delay, outage and rate limit to a call before it
    /// takes effect.
    ///
    /// # Errors
    ///
    /// Returns 503 during an outage and 429 above the rate limit.
    async fn admit(&self, kind: &str, rate: &RateLimiter) -> Result<(), u16> {
        let faults = lock(&self.faults).clone();
        if faults.applies_to(kind) && faults.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        if lock(&self.faults).refuses(kind) {
            return Err(503);
        }
        if rate.try_acquire() {
            Ok(())
        } else {
            Err(429)
        }
    }

    fn drops_response(&self, kind: &str) -> bool {
        let faults = lock(&self.faults);
        faults.lose_answers && faults.applies_to(kind)
    }

    async fn list(&self, conn: Conn, kind: &str) -> Conn {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return respond_status(conn, status);
        }
        let objects: Vec<Value> = lock(&self.objects)
            .list(kind)
            .map(|(name, object)| json!({"name": name, "version": object.version}))
            .collect();
        respond_json(conn, 200, &json!({"objects": objects}))
    }

    async fn get(&self, conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return respond_status(conn, status);
        }
        let object = lock(&self.objects).get(kind, name).cloned();
        match object {
            Some(object) => respond_json(
                conn,
                200,
                &json!({"version": object.version, "value": object.value}),
            ),
            None => respond_error(conn, 404, "no such object"),
        }
    }

    async fn put(&self, mut conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let Some(condition) = condition(&conn) else {
            return respond_error(conn, 400, "the if-match header is not a version number");
        };
        let body = read_body(&mut conn).await;
        if let Err(status) = self.admit(kind, &self.write_rate).await {
            return respond_status(conn, status);
        }
        if body.len() > VALUE_MAX_BYTES {
            return respond_error(conn, 413, "the value exceeds the limit of 1 MiB");
        }
        let Ok(value) = serde_json::from_slice(&body) else {
            return respond_error(conn, 400, "the value is not JSON");
        };
        let written = lock(&self.objects).put(kind, name, value, condition);
        if written.is_ok() {
            self.changed.wake_all();
        }
        if self.drops_response(kind) {
            return abort_connection(conn);
        }
        match written {
            Ok(version) => respond_json(conn, 200, &json!({"version": version})),
            Err(conflict) => respond_json(conn, 412, &json!({"version": conflict.version})),
        }
    }

    async fn delete(&self, conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let Some(condition) = condition(&conn) else {
            return respond_error(conn, 400, "the if-match header is not a version number");
        };
        if let Err(status) = self.admit(kind, &self.write_rate).await {
            return respond_status(conn, status);
        }
        let deleted = lock(&self.objects).delete(kind, name, condition);
        if self.drops_response(kind) {
            return abort_connection(conn);
        }
        match deleted {
            Ok(true) => respond_json(conn, 200, &json!({})),
            Ok(false) => respond_error(conn, 404, "no such object"),
            Err(conflict) => respond_json(conn, 412, &json!({"version": conflict.version})),
        }
    }

    async fn watch(&self, mut conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return respond_status(conn, status);
        }
        let after = query_number(&conn, "after").unwrap_or(0);
        let deadline = Instant::now() + watch_timeout(&conn);
        let wait = async {
            loop {
                let waiter = self.changed.waiter();
                if lock(&self.faults).refuses(kind) {
                    return Err(503);
                }
                let object = lock(&self.objects).get(kind, name).cloned();
                if let Some(object) = object.filter(|object| object.version > after) {
                    return Ok(json!({"version": object.version, "value": object.value}));
                }
                if Instant::now() >= deadline {
                    return Err(204);
                }
                waiter.wait_until(deadline).await;
            }
        };
        match conn.cancel_on_disconnect(wait).await {
            Some(Ok(object)) => respond_json(conn, 200, &object),
            Some(Err(status)) => respond_status(conn, status),
            None => conn,
        }
    }

    async fn list_instances(&self, mut conn: Conn) -> Conn {
        self.calls.instances.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(INSTANCES_KIND, &self.read_rate).await {
            return respond_status(conn, status);
        }
        let after = query_number(&conn, "after");
        let deadline = Instant::now() + watch_timeout(&conn);
        let wait = async {
            loop {
                let waiter = self.changed.waiter();
                if lock(&self.faults).refuses(INSTANCES_KIND) {
                    return Err(503);
                }
                if let Some(list) = self.instances_after(after) {
                    return Ok(list);
                }
                if Instant::now() >= deadline {
                    return Err(204);
                }
                waiter.wait_until(self.next_check(deadline)).await;
            }
        };
        match conn.cancel_on_disconnect(wait).await {
            Some(Ok(list)) => respond_json(conn, 200, &list),
            Some(Err(status)) => respond_status(conn, status),
            None => conn,
        }
    }

    /// Returns the instance list if `after` is absent or lower than the version of
    /// the list.
    fn instances_after(&self, after: Option<u64>) -> Option<Value> {
        let frozen = lock(&self.faults).instances_frozen;
        let mut instances = lock(&self.instances);
        if !frozen {
            instances.apply_due(Instant::now());
        }
        if after.is_some_and(|after| instances.version() <= after) {
            return None;
        }
        Some(json!({"version": instances.version(), "instances": instances.records()}))
    }

    /// Returns when a watch of the instance list must check it again without a
    /// notification: when the next pending change becomes visible.
    fn next_check(&self, deadline: Instant) -> Instant {
        if lock(&self.faults).instances_frozen {
            return deadline;
        }
        let due = lock(&self.instances).next_due();
        due.map_or(deadline, |due| due.min(deadline))
    }

    async fn admin(&self, mut conn: Conn, rest: &[&str]) -> Conn {
        match (conn.method(), rest) {
            (Method::Post, ["instances"]) => match read_json::<Value>(&mut conn).await {
                Ok(record) => self.add_instance(conn, record),
                Err(reason) => respond_error(conn, 400, &reason),
            },
            (Method::Delete, ["instances", instance]) => {
                lock(&self.instances).schedule_change((*instance).into(), None, Instant::now());
                self.changed.wake_all();
                respond_json(conn, 200, &json!({}))
            }
            (Method::Get, ["calls"]) => respond_json(
                conn,
                200,
                &json!({
                    "reads": self.calls.reads.load(Ordering::Relaxed),
                    "writes": self.calls.writes.load(Ordering::Relaxed),
                    "watches": self.calls.watches.load(Ordering::Relaxed),
                    "instances": self.calls.instances.load(Ordering::Relaxed),
                }),
            ),
            (Method::Post, ["faults"]) => match read_json::<Faults>(&mut conn).await {
                Ok(faults) => {
                    *lock(&self.faults) = faults;
                    self.changed.wake_all();
                    respond_json(conn, 200, &json!({}))
                }
                Err(reason) => respond_error(conn, 400, &reason),
            },
            _ => respond_error(conn, 404, "unknown route"),
        }
    }

    fn add_instance(&self, conn: Conn, record: Value) -> Conn {
        let Some(instance) = record["instance"].as_str().map(String::from) else {
            return respond_error(conn, 400, "the field `instance` is missing or not a string");
        };
        lock(&self.instances).schedule_change(instance, Some(record), Instant::now());
        self.changed.wake_all();
        respond_json(conn, 200, &json!({}))
    }
}

/// Returns the condition in the `if-match` or `if-none-match` header; `None` if
/// the version is not a number.
fn condition(conn: &Conn) -> Option<Condition> {
    let headers = conn.request_headers();
    if headers.get_str("if-none-match") == Some("*") {
        return Some(Condition::Absent);
    }
    match headers.get_str("if-match") {
        None => Some(Condition::Always),
        Some(version) => version.parse().ok().map(Condition::Version),
    }
}

fn watch_timeout(conn: &Conn) -> Duration {
    Duration::from_millis(
        query_number(conn, "timeout_ms")
            .unwrap_or(WATCH_MAX_MS)
            .min(WATCH_MAX_MS),
    )
}

fn respond_status(conn: Conn, status: u16) -> Conn {
    match status {
        204 => conn.with_status(204).halt(),
        429 => respond_error(conn, status, "call rate limit exceeded"),
        _ => respond_error(conn, status, "the platform is unavailable (injected fault)"),
    }
}
