//! Stand-ins for the engines of the two services. They are sound: they run what they
//! get, answer it completely and keep their connections.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message},
    record::Record,
    store::{Store, MODEL},
};

/// A request that an engine began to run.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub request_id: String,
}

/// What all engines have run; clones share it.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("unpoisoned").clone()
    }
}

/// One engine.
#[derive(Clone)]
pub struct Engine {
    id: String,
    service: &'static str,
    addr: SocketAddr,
    slots: u32,
    work: Duration,
    record: Record,
    runs: Runs,
}

/// Events of a stream.
const EVENTS: u32 = 30;

impl Engine {
    /// Starts an engine and registers it. `work` is the time that an order takes, or
    /// that passes before each event of a stream.
    pub fn start(
        (id, service): (&str, &'static str),
        (slots, work): (u32, Duration),
        store: &Store,
        (record, runs): (&Record, &Runs),
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Self {
            id: id.into(),
            service,
            addr: listener.local_addr().expect("the bound address"),
            slots,
            work,
            record: record.clone(),
            runs: runs.clone(),
        };
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine.register(store, "ready", 1);
        engine
    }

    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        let spec = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"sierra-a\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\
             \"born\":1775000000000}}",
            self.service, self.addr, self.slots
        );
        store.put("servers", &self.id, &spec);
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let request_id = request.field("x-limpetgw-request-id").unwrap_or_default();
        let expected = request.field("x-limpetgw-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let head =
                "HTTP/1.1 421 Misdirected\r\nX-Limpetgw-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            return connection.write(head.as_bytes());
        }
        self.runs.0.lock().expect("unpoisoned").push(Run {
            at_ms: self.record.now_ms(),
            engine: self.id.clone(),
            request_id: request_id.into(),
        });
        self.record
            .line(&format!("engine {} runs {request_id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Limpetgw-Request-Id: {request_id}\r\n\
             X-Limpetgw-Server-Seal: seal.{request_id}\r\nKeep-Alive: timeout=15\r\n"
        );
        if self.service != MODEL {
            thread::sleep(self.work);
            let body = "done";
            let length = body.len();
            return connection
                .write(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes());
        }
        connection.write(
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .as_bytes(),
        )?;
        for number in 1..=EVENTS {
            thread::sleep(self.work);
            let event = format!("id: {number}\ndata: {request_id}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}
