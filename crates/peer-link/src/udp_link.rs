//! The link over a UDP socket.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, OnceLock, RwLock,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use smol::Async;
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TimeMs};

use crate::{
    frame::{DropCause, Frame, Key, FRAME_MAX_BYTES},
    peer_table::PeerTable,
    send_limit::{broadcast_interval_ms, SendLimit},
    Peer, PeerLink, Subscriber, Topic, PAYLOAD_MAX_BYTES,
};

/// Interval of frames that show that this gateway runs, while nothing else is
/// broadcast: several of them within the 10 s after which a peer counts as absent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Topic number of a frame that only shows that its sender runs.
const KEEP_ALIVE: u8 = 0;

/// Delay after an error of the socket, which may persist.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a gateway announces about itself.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// Id of the gateway, the same across restarts.
    pub instance: InstanceId,
    /// Share of a processor core, in thousandths.
    pub strength: u32,
}

/// Address of one run of a gateway, as published in its record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// Address to which frames are sent.
    pub addr: SocketAddr,
    /// Random number of the run.
    pub run: u64,
    /// Start of the run by the gateway's clock, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// The link of one gateway. Sends and receives nothing before it has a key.
pub struct UdpLink {
    socket: Async<std::net::UdpSocket>,
    own: Peer,
    started_unix_ms: u64,
    key: OnceLock<Key>,
    sequence: AtomicU64,
    table: Mutex<PeerTable>,
    send_limit: Mutex<SendLimit>,
    subscribers: RwLock<Vec<(Topic, Arc<dyn Subscriber>)>>,
    /// Time of the last broadcast, in milliseconds since `origin`.
    broadcast_at: AtomicU64,
    origin: Instant,
}

impl UdpLink {
    /// Opens the socket at `addr`, which peers must be able to reach.
    ///
    /// # Errors
    ///
    /// The I/O error if the address can't be bound.
    pub fn bind(identity: OwnIdentity, addr: SocketAddr) -> io::Result<Arc<Self>> {
        let socket = Async::<std::net::UdpSocket>::bind(addr)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Arc::new(Self {
            own: Peer {
                instance: identity.instance.clone(),
                run: rand::random(),
                addr: socket.get_ref().local_addr()?,
                strength: identity.strength,
            },
            socket,
            started_unix_ms: since_epoch.unwrap_or_default().as_millis() as u64,
            key: OnceLock::new(),
            sequence: AtomicU64::new(0),
            table: Mutex::new(PeerTable::new(identity.instance)),
            send_limit: Mutex::default(),
            subscribers: RwLock::default(),
            broadcast_at: AtomicU64::new(0),
            origin: Instant::now(),
        }))
    }

    /// Returns what this gateway publishes in its record.
    pub fn endpoint(&self) -> PeerEndpoint {
        PeerEndpoint {
            addr: self.own.addr,
            run: self.own.run,
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Sets the key, with which the link begins to work. Later calls have no
    /// effect.
    pub fn set_key(&self, key: Key) {
        // A second key would come from a second read of the same object.
        let _ = self.key.set(key);
    }

    /// Records the endpoint that another gateway has published.
    pub fn on_record(&self, gateway: &InstanceId, endpoint: &PeerEndpoint) {
        lock(&self.table).on_record(self.now(), gateway, endpoint);
    }

    /// Records that another gateway publishes no endpoint any more.
    pub fn on_record_removed(&self, gateway: &InstanceId) {
        lock(&self.table).on_record_removed(gateway);
    }

    /// Records which gateways publish an endpoint.
    pub fn retain_records(&self, has_record: impl Fn(&InstanceId) -> bool) {
        lock(&self.table).retain_records(has_record);
    }

    /// Receives frames and passes them to the subscribers. Never returns.
    pub async fn receive(self: Arc<Self>) {
        // One byte more than a frame shows a datagram that is too long.
        let mut buffer = [0; FRAME_MAX_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, addr)) => self.on_datagram(&buffer[..length], addr),
                // Linux reports here that an earlier datagram found no receiver.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    log::warn!("socket of the peer link: {error}");
                    smol::Timer::after(SOCKET_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends keep-alive frames and removes silent peers. Never returns.
    pub async fn maintain(self: Arc<Self>) {
        loop {
            smol::Timer::after(KEEP_ALIVE_INTERVAL / 2).await;
            let now = self.now();
            let removed = lock(&self.table).remove_silent(now);
            for peer in removed {
                emit(&GatewayEvent::PeerRemoved { peer });
            }
            metrics::gauge!("limpetgw_peer_link_peers").set(lock(&self.table).len() as f64);
            let broadcast_at = TimeMs(self.broadcast_at.load(Ordering::Relaxed));
            if now.since(broadcast_at) >= KEEP_ALIVE_INTERVAL.as_millis() as u64 {
                self.broadcast_frame(KEEP_ALIVE, &[]);
            }
        }
    }

    fn on_datagram(&self, datagram: &[u8], addr: SocketAddr) {
        let Some(key) = self.key.get() else {
            return;
        };
        let accepted = Frame::decode(datagram, key).and_then(|frame| {
            let accepted = lock(&self.table).on_frame(self.now(), &frame, addr)?;
            Ok((frame, accepted))
        });
        let (frame, accepted) = match accepted {
            Ok(accepted) => accepted,
            Err(cause) => return count_dropped(cause),
        };
        metrics::counter!("limpetgw_peer_link_frames_total", "direction" => "received")
            .increment(1);
        if accepted.is_first {
            emit(&GatewayEvent::PeerHeard {
                peer: accepted.peer.instance.clone(),
                addr: addr.to_string(),
                run: accepted.peer.run,
            });
        }
        let Some(topic) = Topic::from_number(frame.topic) else {
            return;
        };
        let subscriber = {
            let subscribers = read(&self.subscribers);
            let of_topic = subscribers.iter().find(|(other, _)| *other == topic);
            of_topic.map(|(_, subscriber)| subscriber.clone())
        };
        if let Some(subscriber) = subscriber {
            subscriber.on_frame(&accepted.peer, frame.payload);
        }
    }

    fn broadcast_frame(&self, topic: u8, payload: &[u8]) {
        let addrs = lock(&self.table).addrs();
        if addrs.is_empty() || self.key.get().is_none() {
            return;
        }
        let now = self.now();
        let is_urgent = topic == Topic::Usage as u8 || topic == Topic::Duty as u8;
        if !lock(&self.send_limit).take(now, addrs.len(), is_urgent) {
            return count_unsent("send_limit", addrs.len());
        }
        self.broadcast_at.store(now.0, Ordering::Relaxed);
        self.send_frame(topic, payload, &addrs);
    }

    fn send_frame(&self, topic: u8, payload: &[u8], addrs: &[SocketAddr]) {
        let Some(key) = self.key.get() else {
            return;
        };
        let mut frame = Frame::new(self.own.instance.as_str(), topic, payload);
        frame.run = self.own.run;
        frame.started_unix_ms = self.started_unix_ms;
        frame.strength = self.own.strength;
        frame.sequence = 1 + self.sequence.fetch_add(1, Ordering::Relaxed);
        let encoded = frame.encode(key);
        let Some(datagram) = encoded.filter(|_| payload.len() <= PAYLOAD_MAX_BYTES) else {
            log::warn!("payload of {} bytes exceeds a frame", payload.len());
            return count_unsent("too_long", addrs.len());
        };
        let mut sent = 0;
        for addr in addrs {
            // Does not wait: a full buffer of the socket loses the frame.
            match self.socket.get_ref().send_to(&datagram, addr) {
                Ok(_) => sent += 1,
                Err(_) => count_unsent("socket", 1),
            }
        }
        metrics::counter!("limpetgw_peer_link_frames_total", "direction" => "sent").increment(sent);
    }

    fn now(&self) -> TimeMs {
        TimeMs(self.origin.elapsed().as_millis() as u64)
    }
}

impl PeerLink for UdpLink {
    fn own(&self) -> Peer {
        self.own.clone()
    }

    fn send_to(&self, peer: &InstanceId, topic: Topic, payload: &[u8]) {
        let addr = lock(&self.table).addr(peer);
        if let Some(addr) = addr {
            self.send_frame(topic as u8, payload, &[addr]);
        }
    }

    fn broadcast(&self, topic: Topic, payload: &[u8]) {
        self.broadcast_frame(topic as u8, payload);
    }

    fn peers(&self) -> Vec<Peer> {
        lock(&self.table).peers(self.now())
    }

    fn is_heard(&self, peer: &InstanceId, within_ms: u64) -> bool {
        lock(&self.table).is_heard(self.now(), peer, within_ms)
    }

    fn subscribe(&self, topic: Topic, subscriber: Arc<dyn Subscriber>) {
        let mut subscribers = match self.subscribers.write() {
            Ok(subscribers) => subscribers,
            Err(poisoned) => poisoned.into_inner(),
        };
        subscribers.retain(|(other, _)| *other != topic);
        subscribers.push((topic, subscriber));
    }

    fn broadcast_interval_ms(&self) -> u64 {
        broadcast_interval_ms(lock(&self.table).len())
    }
}

fn count_dropped(cause: DropCause) {
    metrics::counter!("limpetgw_peer_link_frames_dropped_total", "cause" => cause.to_string())
        .increment(1);
}

fn count_unsent(cause: &'static str, frames: usize) {
    metrics::counter!("limpetgw_peer_link_frames_unsent_total", "cause" => cause)
        .increment(frames as u64);
}

/// Locks a mutex and ignores poisoning: no code panics between related updates.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(|poisoned| poisoned.into_inner())
}
