//! An entry of kind `servers` comes from another writer and lacks fields. What listens at
//! its address is a web server of another system, which knows none of the paths.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    ask, config, free_port, head, read_body, read_head, respond, route, Engine, Gateway,
    GatewaySettings, Record, Runs, Store, Verdict,
};

const CLIENTS: usize = 8;
const CLIENT_INTERVAL: Duration = Duration::from_millis(60);
const CALM: Duration = Duration::from_secs(5);
const TROUBLE: Duration = Duration::from_secs(20);

/// How a client's request ended.
struct Ended {
    id: String,
    status: Option<u16>,
    is_sealed: bool,
}

pub fn run(has_trouble: bool, record: &Record, folder: &Path) -> io::Result<Verdict> {
    let store = Store::start()?;
    let routes = [
        route("/orders/", "unsafe", "orders", 1, ""),
        route("/looks/", "safe", "orders", 2, ""),
    ];
    store.create("config", "main", &config(1, &routes, 4 << 20))?;
    let runs = Runs::default();
    let mut engines = Vec::new();
    for number in 0..3 {
        let runs = runs.clone();
        let engine = Engine::start(&format!("i-{number}"), move |request, stream| {
            runs.add(request);
            thread::sleep(Duration::from_millis(30));
            respond(stream, request, 200, "done")
        })?;
        store.create("servers", &engine.id, &engine.entry("orders", 6))?;
        engines.push(engine);
    }
    let web = start_web_server(record.clone())?;
    let settings = GatewaySettings::horma("edge-1");
    let gateway = Gateway::start(&settings, store.addr, folder, free_port(), free_port())?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the gateway does not become ready"));
    }
    let until = Instant::now() + CALM + TROUBLE;
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (ended, front) = (ended.clone(), gateway.front);
        threads.push(thread::spawn(move || send(client, front, until, &ended)));
    }
    thread::sleep(CALM);
    if has_trouble {
        // Lacks `version`, `cold-left-ms`, `seq` and `born`.
        let entry = format!(
            "{{\"service\":\"orders\",\"addr\":\"{web}\",\"zone\":\"zone-a\",\"slots\":6,\
             \"state\":\"ready\"}}"
        );
        store.create("servers", "w-1", &entry)?;
        record.add(format!("another writer creates servers/w-1: {entry}"));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let ended = ended.lock().unwrap();
    let is_own = |ended: &&Ended| {
        let is_denial = ended
            .status
            .is_some_and(|status| (300..500).contains(&status));
        is_denial && !matches!(ended.status, Some(408 | 421 | 429)) && !ended.is_sealed
    };
    let denied: Vec<&Ended> = ended.iter().filter(is_own).collect();
    for ended in denied.iter().take(20) {
        let ran = runs.of(&ended.id).len();
        record.add(format!(
            "request {}: status {:?} without the seal of an engine; run {ran} times",
            ended.id, ended.status
        ));
    }
    let served = ended
        .iter()
        .filter(|ended| ended.status == Some(200) && ended.is_sealed);
    let allowed = 5 + ended.len() / 500;
    record.add(format!(
        "requests: {}, served: {}, ended with a 3xx or 4xx that no engine gave: {}, allowed: {allowed}",
        ended.len(),
        served.count(),
        denied.len()
    ));
    if ended.len() < 200 {
        return Err(io::Error::other("too few requests"));
    }
    Ok(match denied.len() > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn send(client: usize, front: SocketAddr, until: Instant, ended: &Mutex<Vec<Ended>>) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("c{client}n{number}");
        let request = match number % 2 {
            0 => head("GET", "/looks/1", &id, ""),
            _ => head("POST", "/orders/1", &id, "Content-Length: 3\r\n") + "cut",
        };
        let answer = ask(front, &request, Duration::from_secs(8));
        let answer = answer.ok().flatten().filter(|message| message.is_complete);
        let result = Ended {
            id,
            status: answer.as_ref().map(|message| message.status()),
            is_sealed: answer.is_some_and(|m| m.header("x-limpetgw-server-seal").is_some()),
        };
        ended.lock().unwrap().push(result);
        thread::sleep(CLIENT_INTERVAL);
    }
}

/// Starts a web server that answers each request with 404 and its page.
fn start_web_server(record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let asked = Arc::new(Mutex::new(0));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let (record, asked) = (record.clone(), asked.clone());
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = io::BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    read_body(&mut reader, &mut request);
                    let mut asked = asked.lock().unwrap();
                    *asked += 1;
                    if *asked <= 5 {
                        record.add(format!("the web server got: {}", request.first_line));
                    }
                    drop(asked);
                    let page = "<h1>Not found</h1>\n";
                    let text = format!(
                        "HTTP/1.1 404 Not Found\r\nContent-Type: text/html\r\n\
                         Content-Length: {}\r\n\r\n{page}",
                        page.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(addr)
}
