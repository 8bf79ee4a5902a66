//! Stand-in for the platform's store: objects, lists and watches over HTTP/1.1.
//!
//! An object's `spec` is kept and handed out as the bytes that its writer sent.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, HOST, KEY};

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<Event>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("the bound address"),
            shared: Arc::default(),
        };
        store.shared.0.lock().expect("unpoisoned").revision = 100;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, spec, false);
    }

    fn change(&self, kind: &str, name: &str, spec: &str, removed: bool) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        match removed {
            true => state.objects.remove(&key),
            false => state.objects.insert(key, (revision, spec.to_owned())),
        };
        state.events.push(Event {
            revision,
            kind: kind.into(),
            name: name.into(),
            spec: spec.into(),
            removed,
        });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(call)) = connection.read() {
            let (status, body) = self.handle(&call);
            let response = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (u16, String) {
        let mut words = call.start.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let names: Vec<&str> = path.split('/').skip(2).collect();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match (method, names.as_slice()) {
            ("GET", [kind]) => match parameter(query, "watch") {
                Some(after) => {
                    let wait_ms = parameter(query, "wait-ms").unwrap_or(0);
                    (200, self.watch(kind, after, Duration::from_millis(wait_ms)))
                }
                None => (200, self.list(kind)),
            },
            ("GET", [kind, name]) => match self.get(kind, name) {
                Some((revision, spec)) => (200, object(name, revision, &spec)),
                None => (404, "{}".into()),
            },
            ("POST", [kind]) => {
                let name = written_name(&body);
                match self.get(kind, &name) {
                    Some((revision, spec)) => (409, object(&name, revision, &spec)),
                    None => {
                        self.put(kind, &name, written_spec(&body));
                        (200, "{}".into())
                    }
                }
            }
            ("PUT", [kind, name]) => match self.get(kind, name) {
                Some(_) => {
                    self.put(kind, name, written_spec(&body));
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            ("DELETE", [kind, name]) => match self.get(kind, name) {
                Some((_, spec)) => {
                    self.change(kind, name, &spec, true);
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            },
            _ => (400, "{}".into()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        let state = self.shared.0.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).cloned()
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().expect("unpoisoned");
        let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let (items, as_of) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"truncated\":false,\"as-of\":{as_of}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    let object = object(&event.name, event.revision, &event.spec);
                    format!("{{\"removed\":{},\"object\":{object}}}", event.removed)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"as-of\":{as_of}}}");
            }
            state = changed.wait_timeout(state, left).expect("unpoisoned").0;
        }
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.find(|(other, _)| *other == name)?.1.parse().ok()
}

/// The name in a written object, whose members are in alphabetical order.
fn written_name(body: &str) -> String {
    let after = body.split("\"name\":\"").nth(1).unwrap_or_default();
    after.split('"').next().unwrap_or_default().to_owned()
}

/// The specification in a written object, its last member.
fn written_spec(body: &str) -> &str {
    let after = body
        .split_once("\"spec\":")
        .map_or("{}", |(_, after)| after);
    after.strip_suffix('}').unwrap_or(after)
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"create-revision\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Names of the services in [`config`].
pub const ORDERS: &str = "puwu68b";
pub const MODEL: &str = "huse39a";

/// A configuration with an `unsafe` route `/order/`, a resumable stream `/ask/` and a
/// stream `/plan/`, with the limits of the small deployments.
pub fn config(version: u64) -> String {
    config_with(version, 1, KEY)
}

/// The same with another rank of the routes and the tenant, and another key.
pub fn config_with(version: u64, rank: u32, key: &str) -> String {
    let route = |prefix: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"r-{kind}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"priority\":{rank},\"service\":\"{service}\",\"public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "/order/",
            "unsafe",
            ORDERS,
            "\"timeout-ms\":1200,\"slo-ms\":150,\"attempts\":1",
        ),
        route(
            "/ask/",
            "stream",
            MODEL,
            "\"timeout-ms\":10000,\"slo-ms\":1500,\"attempts\":2,\"sticky\":true,\
             \"can-resume\":true,\"itl-target-ms\":800",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{MODEL}\",\
         \"health-path\":\"/healthz\",\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv-capacity\":659492,\"kv-token-bytes\":18432,\
         \"link-mbps\":180000.0,\"stride\":4,\"most\":12}}}},{{\"name\":\"{ORDERS}\",\
         \"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{key}\"],\"priority\":{rank}}}]}}",
        routes.join(",")
    )
}
