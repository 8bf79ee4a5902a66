//! The platform's HTTP interface.

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
use crate::serving::{answer_error, answer_json, cut, query_number, read_body, read_json};

/// Longest watch, in milliseconds.
const WATCH_MAX_MS: u64 = 60_000;

/// The whole platform.
#[derive(Debug)]
pub(crate) struct Platform {
    objects: Mutex<Objects>,
    instances: Mutex<Instances>,
    faults: Mutex<Faults>,
    changed: Notify,
    calls: Calls,
    read_rate: Rate,
    write_rate: Rate,
}

/// Calls since the start; a waiting watch counts as one.
#[derive(Debug, Default)]
struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    instances: AtomicU64,
}

/// Calls taken in the current second.
#[derive(Debug)]
struct Rate {
    per_s: u32,
    second: Mutex<(Instant, u32)>,
}

impl Rate {
    fn new(per_s: u32) -> Self {
        Self {
            per_s,
            second: Mutex::new((Instant::now(), 0)),
        }
    }

    fn take(&self) -> bool {
        let now = Instant::now();
        let mut second = lock(&self.second);
        if now.duration_since(second.0) >= Duration::from_secs(1) {
            *second = (now, 0);
        }
        second.1 += 1;
        second.1 <= self.per_s
    }
}

impl Platform {
    pub(crate) fn new(instance_lag: Duration, reads_per_s: u32, writes_per_s: u32) -> Self {
        Self {
            objects: Mutex::default(),
            instances: Mutex::new(Instances::new(instance_lag)),
            faults: Mutex::default(),
            changed: Notify::default(),
            calls: Calls::default(),
            read_rate: Rate::new(reads_per_s),
            write_rate: Rate::new(writes_per_s),
        }
    }

    /// Answers one call.
    pub(crate) async fn answer(&self, conn: Conn) -> Conn {
        let path = conn.path().to_string();
        let segments: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (conn.method(), segments.as_slice()) {
            (Method::Get, ["objects", kind]) => self.list(conn, kind).await,
            (Method::Get, ["objects", kind, name]) => self.get(conn, kind, name).await,
            (Method::Put, ["objects", kind, name]) => self.put(conn, kind, name).await,
            (Method::Delete, ["objects", kind, name]) => self.delete(conn, kind, name).await,
            (Method::Get, ["watch", kind, name]) => self.watch(conn, kind, name).await,
            (Method::Get, ["instances"]) => self.list_instances(conn).await,
            (_, ["admin", what @ ..]) => self.admin(conn, what).await,
            _ => answer_error(conn, 404, "no such route"),
        }
    }

    /// Applies the faults that concern a call before it takes effect.
    ///
    /// # Errors
    ///
    /// The status of the refusal.
    async fn admit(&self, kind: &str, rate: &Rate) -> Result<(), u16> {
        let faults = lock(&self.faults).clone();
        if faults.concern(kind) && faults.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        if lock(&self.faults).refuse(kind) {
            return Err(503);
        }
        if rate.take() {
            Ok(())
        } else {
            Err(429)
        }
    }

    fn loses_answers(&self, kind: &str) -> bool {
        let faults = lock(&self.faults);
        faults.lose_answers && faults.concern(kind)
    }

    async fn list(&self, conn: Conn, kind: &str) -> Conn {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return refuse(conn, status);
        }
        let objects: Vec<Value> = lock(&self.objects)
            .list(kind)
            .map(|(name, object)| json!({"name": name, "version": object.version}))
            .collect();
        answer_json(conn, 200, &json!({"objects": objects}))
    }

    async fn get(&self, conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return refuse(conn, status);
        }
        let object = lock(&self.objects).get(kind, name).cloned();
        match object {
            Some(object) => answer_json(
                conn,
                200,
                &json!({"version": object.version, "value": object.value}),
            ),
            None => answer_error(conn, 404, "no such object"),
        }
    }

    async fn put(&self, mut conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let Some(condition) = condition(&conn) else {
            return answer_error(conn, 400, "bad condition header");
        };
        let body = read_body(&mut conn).await;
        if let Err(status) = self.admit(kind, &self.write_rate).await {
            return refuse(conn, status);
        }
        if body.len() > VALUE_MAX_BYTES {
            return answer_error(conn, 413, "the value is larger than 1 MB");
        }
        let Ok(value) = serde_json::from_slice(&body) else {
            return answer_error(conn, 400, "the value is not JSON");
        };
        let written = lock(&self.objects).put(kind, name, value, condition);
        if written.is_ok() {
            self.changed.wake_all();
        }
        if self.loses_answers(kind) {
            return cut(conn);
        }
        match written {
            Ok(version) => answer_json(conn, 200, &json!({"version": version})),
            Err(conflict) => answer_json(conn, 412, &json!({"version": conflict.version})),
        }
    }

    async fn delete(&self, conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let Some(condition) = condition(&conn) else {
            return answer_error(conn, 400, "bad condition header");
        };
        if let Err(status) = self.admit(kind, &self.write_rate).await {
            return refuse(conn, status);
        }
        let deleted = lock(&self.objects).delete(kind, name, condition);
        if self.loses_answers(kind) {
            return cut(conn);
        }
        match deleted {
            Ok(true) => answer_json(conn, 200, &json!({})),
            Ok(false) => answer_error(conn, 404, "no such object"),
            Err(conflict) => answer_json(conn, 412, &json!({"version": conflict.version})),
        }
    }

    async fn watch(&self, mut conn: Conn, kind: &str, name: &str) -> Conn {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(kind, &self.read_rate).await {
            return refuse(conn, status);
        }
        let after = query_number(&conn, "after").unwrap_or(0);
        let deadline = Instant::now() + watch_timeout(&conn);
        let newer = async {
            loop {
                let waiter = self.changed.waiter();
                if lock(&self.faults).refuse(kind) {
                    return Err(503);
                }
                let object = lock(&self.objects).get(kind, name).cloned();
                if let Some(object) = object.filter(|object| object.version > after) {
                    return Ok(json!({"version": object.version, "value": object.value}));
                }
                if Instant::now() >= deadline {
                    return Err(204);
                }
                waiter.until(deadline).await;
            }
        };
        match conn.cancel_on_disconnect(newer).await {
            Some(Ok(object)) => answer_json(conn, 200, &object),
            Some(Err(status)) => refuse(conn, status),
            None => conn,
        }
    }

    async fn list_instances(&self, mut conn: Conn) -> Conn {
        self.calls.instances.fetch_add(1, Ordering::Relaxed);
        if let Err(status) = self.admit(INSTANCES_KIND, &self.read_rate).await {
            return refuse(conn, status);
        }
        let after = query_number(&conn, "after");
        let deadline = Instant::now() + watch_timeout(&conn);
        let newer = async {
            loop {
                let waiter = self.changed.waiter();
                if lock(&self.faults).refuse(INSTANCES_KIND) {
                    return Err(503);
                }
                if let Some(list) = self.instances_after(after) {
                    return Ok(list);
                }
                if Instant::now() >= deadline {
                    return Err(204);
                }
                waiter.until(self.next_look(deadline)).await;
            }
        };
        match conn.cancel_on_disconnect(newer).await {
            Some(Ok(list)) => answer_json(conn, 200, &list),
            Some(Err(status)) => refuse(conn, status),
            None => conn,
        }
    }

    /// The list, if its version exceeds `after`.
    fn instances_after(&self, after: Option<u64>) -> Option<Value> {
        let frozen = lock(&self.faults).instances_frozen;
        let mut instances = lock(&self.instances);
        if !frozen {
            instances.apply_due(Instant::now());
        }
        if after.is_some_and(|after| instances.version() <= after) {
            return None;
        }
        Some(json!({"version": instances.version(), "instances": instances.lines()}))
    }

    /// When a watcher of the list has to look again without being woken.
    fn next_look(&self, deadline: Instant) -> Instant {
        if lock(&self.faults).instances_frozen {
            return deadline;
        }
        let due = lock(&self.instances).next_due();
        due.map_or(deadline, |due| due.min(deadline))
    }

    async fn admin(&self, mut conn: Conn, what: &[&str]) -> Conn {
        match (conn.method(), what) {
            (Method::Post, ["instances"]) => match read_json::<Value>(&mut conn).await {
                Ok(line) => self.admit_instance(conn, line),
                Err(reason) => answer_error(conn, 400, &reason),
            },
            (Method::Delete, ["instances", instance]) => {
                lock(&self.instances).change((*instance).into(), None, Instant::now());
                self.changed.wake_all();
                answer_json(conn, 200, &json!({}))
            }
            (Method::Get, ["calls"]) => answer_json(
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
                    answer_json(conn, 200, &json!({}))
                }
                Err(reason) => answer_error(conn, 400, &reason),
            },
            _ => answer_error(conn, 404, "no such route"),
        }
    }

    fn admit_instance(&self, conn: Conn, line: Value) -> Conn {
        let Some(instance) = line["instance"].as_str().map(String::from) else {
            return answer_error(conn, 400, "`instance` is missing");
        };
        lock(&self.instances).change(instance, Some(line), Instant::now());
        self.changed.wake_all();
        answer_json(conn, 200, &json!({}))
    }
}

/// The condition in a call's headers; `None` if it can't be read.
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

fn refuse(conn: Conn, status: u16) -> Conn {
    match status {
        204 => conn.with_status(204).halt(),
        429 => answer_error(conn, status, "over the rate"),
        _ => answer_error(conn, status, "the platform is down"),
    }
}
