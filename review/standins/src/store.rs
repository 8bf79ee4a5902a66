//! The platform's store: objects by kind and name, lists and watches.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::Result,
    http::{Message, Reader},
};

struct Event {
    kind: String,
    revision: u64,
    object: String,
    removed: bool,
}

struct State {
    revision: u64,
    /// Serialized objects by kind and name.
    objects: BTreeMap<(String, String), String>,
    events: Vec<Event>,
}

/// Clones share the state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 7,
            objects: BTreeMap::new(),
            events: Vec::new(),
        };
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object. The change is acknowledged on return.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        state.revision += 1;
        let revision = state.revision;
        let object = object_text(name, revision, spec);
        state
            .objects
            .insert((kind.into(), name.into()), object.clone());
        state.events.push(Event {
            kind: kind.into(),
            revision,
            object,
            removed: false,
        });
        changed.notify_all();
    }

    /// Removes an object. The change is acknowledged on return.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event {
            kind: kind.into(),
            revision,
            object,
            removed: true,
        });
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(reading);
        while let Ok(Some(call)) = reader.read() {
            let (status, body) = self.handle(&call);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} Any\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let mut names = path.trim_start_matches("/objects/").split('/');
        let kind = names.next().unwrap_or_default();
        let name = names.next();
        match (call.word(0), name) {
            ("GET", None) => self.read(kind, query),
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, String::new())
            }
            ("POST", None) => self.write(kind, &call.body, false),
            ("PUT", Some(_)) => self.write(kind, &call.body, true),
            _ => (404, String::new()),
        }
    }

    fn write(&self, kind: &str, body: &[u8], must_exist: bool) -> (u16, String) {
        let body = String::from_utf8_lossy(body);
        let parts = body
            .split_once("\"name\":\"")
            .zip(body.split_once("\"spec\":"));
        let Some(((_, name), (_, spec))) = parts else {
            return (400, String::new());
        };
        let name = name.split('"').next().unwrap_or_default();
        let spec = &spec[..spec.len() - 1];
        let key = (kind.to_owned(), name.to_owned());
        let exists = self.state(|state| state.objects.contains_key(&key));
        match (must_exist, exists) {
            (true, false) => (404, String::new()),
            (false, true) => (409, String::new()),
            _ => {
                self.put(kind, name, spec);
                (200, String::new())
            }
        }
    }

    fn state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.shared.0.lock().expect("unpoisoned"))
    }

    fn read(&self, kind: &str, query: &str) -> (u16, String) {
        let value = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let (_, text) = pairs.find(|(key, _)| *key == name)?;
            text.parse().ok()
        };
        let Some(after) = value("watch") else {
            return (200, self.state(|state| list_text(state, kind)));
        };
        let until = Instant::now() + Duration::from_millis(value("wait-ms").unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("unpoisoned");
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        event.removed, event.object
                    )
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                let as_of = state.revision;
                return (200, format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"));
            }
            let waited = changed.wait_timeout(state, until - now);
            state = waited.expect("unpoisoned").0;
        }
    }
}

fn list_text(state: &State, kind: &str) -> String {
    let objects = state.objects.iter().filter(|((other, _), _)| other == kind);
    let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();
    let (items, as_of) = (items.join(","), state.revision);
    format!("{{\"items\":[{items}],\"truncated\":false,\"as-of\":{as_of}}}")
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"create-revision\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}
