//! Starts the processes of a run, injects faults into them and records their
//! effects.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use harness::{HarnessError, Process, ProcessSpec, Programs};
use indexmap::IndexMap;
use serde_json::{json, Value};
use wire_standins::{
    caller::KEY,
    documents::{config, resumable, route, team, ORDERS, PLANS},
    instance::{call, unix_ms, write_object},
};

use crate::{
    callers::{DEFAULT_TEAM, OTHER_KEY, OTHER_TEAM},
    lock,
    plan::{ClusterSize, Fault, Link},
    proxy::Proxy,
    record::{ConfigWrite, GatewayUsage, InjectedFault, InstanceEvent, Record},
    SoakError,
};

/// Time from SIGTERM after which a process that is still running is restarted.
const GRACE_PERIOD_MS: u64 = 3_000;
/// Time that a process needs to recover, added to the recorded end of each
/// fault.
const RECOVERY_MARGIN_MS: u64 = 500;
/// Share of an instance's requests that a fault affects.
const INSTANCE_FAULT_PERCENT: u32 = 40;
/// Number of configurations that [`Fault::ConfigureOften`] writes.
const CONFIG_STORM_WRITES: u32 = 8;
/// Pause after each write of [`Fault::ConfigureOften`].
const CONFIG_STORM_GAP: Duration = Duration::from_millis(120);
/// Maximum number of attempts to write a configuration.
const CONFIG_WRITE_ATTEMPTS: u32 = 100;
/// Longest body of a request, in bytes.
const BODY_MAX_BYTES: u64 = 16 << 20;
/// Entry in the list of instances whose zone no text can hold.
const UNREADABLE_ENTRY: &str = r#"{"metadata": {"name": "of-another-program", "stays": true},
    "spec": {"service": "orders", "addr": "127.0.0.1:9", "zone": "\ud83d", "state": "ready"}}"#;
/// Pause after a failed attempt to write a configuration.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(100);

/// All processes of a run and the proxies between them.
pub(crate) struct Cluster {
    /// Held only to keep the store running until the cluster is dropped.
    _store: Process,
    store_addr: SocketAddr,
    gateways: Vec<Process>,
    instances: Vec<Process>,
    links: IndexMap<Link, Proxy>,
    version: u64,
    has_route: bool,
    has_key: bool,
    has_unreadable_parts: bool,
    record: Arc<Mutex<Record>>,
    peak_memory_bytes: Vec<u64>,
    size: ClusterSize,
}

impl Cluster {
    pub(crate) fn start(size: ClusterSize, record: Arc<Mutex<Record>>) -> Result<Self, SoakError> {
        let programs = Programs::from_current_exe()?;
        let store = Process::start("store", standin_spec(&programs, &["store"])?)?;
        let store_addr = process_addr(&store)?;
        let mut cluster = Self {
            _store: store,
            store_addr,
            gateways: Vec::new(),
            instances: Vec::new(),
            links: IndexMap::new(),
            version: 0,
            has_route: true,
            has_key: true,
            has_unreadable_parts: false,
            record,
            peak_memory_bytes: vec![0; size.gateways],
            size,
        };
        for number in 0..size.instances() {
            cluster.start_instance(&programs, number)?;
        }
        cluster.write_config()?;
        for number in 0..size.gateways {
            cluster.start_gateway(&programs, number)?;
        }
        Ok(cluster)
    }

    /// Returns the addresses of the proxies through which callers reach the
    /// gateways.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        (0..self.size.gateways)
            .map(|gateway| self.links[&Link::Callers(gateway)].addr)
            .collect()
    }

    fn start_instance(&mut self, programs: &Programs, number: usize) -> Result<(), SoakError> {
        let service = match number < self.size.engines {
            true => PLANS,
            false => ORDERS,
        };
        let link = Link::Instance(number);
        let proxy = match self.links.get(&link) {
            Some(proxy) => proxy.clone(),
            None => Proxy::start(self.store_addr).map_err(SoakError::Proxy)?,
        };
        let (name, advertise) = (format!("i-{number}"), proxy.addr.to_string());
        let store = self.store_addr.to_string();
        let args = [
            "instance",
            "--name",
            &name,
            "--service",
            service,
            "--store",
            &store,
            "--advertise",
            &advertise,
        ];
        let process = Process::start(&name, standin_spec(programs, &args)?)?;
        proxy.set_target(process_addr(&process)?);
        self.links.insert(link, proxy);
        self.instances.push(process);
        Ok(())
    }

    fn start_gateway(&mut self, programs: &Programs, number: usize) -> Result<(), SoakError> {
        let store_proxy = Proxy::start(self.store_addr).map_err(SoakError::Proxy)?;
        let spec = ProcessSpec {
            program: programs.limpetgw()?,
            args: [
                "gateway",
                "--instance",
                &format!("gateway-{number}"),
                "--zone",
                "az-1",
                "--store",
                &store_proxy.addr.to_string(),
                "--balancer-lag-ms",
                "300",
                "--grace-s",
                &(GRACE_PERIOD_MS / 1_000).to_string(),
                "--threads",
                "1",
            ]
            .map(String::from)
            .to_vec(),
            envs: vec![("LIMPETGW_LOG_FORMAT".into(), "json".into())],
            listen_flag: "--listen",
            operator_flag: Some("--operator-listen"),
        };
        let process = Process::start(&format!("gateway-{number}"), spec)?;
        let gateway_proxy = Proxy::start(process_addr(&process)?).map_err(SoakError::Proxy)?;
        self.links.insert(Link::Store(number), store_proxy);
        self.links.insert(Link::Callers(number), gateway_proxy);
        self.gateways.push(process);
        Ok(())
    }

    /// Injects a fault. A process that it ends is restarted by
    /// [`Cluster::try_clear`].
    pub(crate) fn inject(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::StopGateway(number) => self.gateways[number].signal("TERM")?,
            Fault::KillGateway(number) => self.gateways[number].kill()?,
            Fault::PauseGateway(number) => self.gateways[number].signal("STOP")?,
            Fault::HangUpGateway(number) => self.gateways[number].signal("HUP")?,
            Fault::DrainInstance(number) => self.instances[number].signal("TERM")?,
            Fault::KillInstance(number) => self.instances[number].kill()?,
            Fault::PauseInstance(number) => self.instances[number].signal("STOP")?,
            Fault::FaultyInstance(number, mode) => {
                self.set_instance_fault(number, mode, INSTANCE_FAULT_PERCENT);
            }
            Fault::Link(link, fault) => self.links[&link].inject(fault),
            Fault::Store(mode) => self.post_to_store(&format!("/admin/mode?to={mode}")),
            Fault::CompactStore => self.post_to_store("/admin/compact"),
            Fault::RestoreStore => self.post_to_store("/admin/copy"),
            Fault::Configure => {
                self.has_route = !self.has_route;
                self.write_config()?;
            }
            Fault::ConfigureOften => {
                for _ in 0..CONFIG_STORM_WRITES {
                    self.has_route = !self.has_route;
                    self.write_config()?;
                    std::thread::sleep(CONFIG_STORM_GAP);
                }
            }
            Fault::ToggleKey | Fault::ToggleKeyBesideUnreadableParts => {
                self.has_key = !self.has_key;
                self.has_unreadable_parts = fault == Fault::ToggleKeyBesideUnreadableParts;
                self.write_config()?;
            }
            // The store may be down.
            Fault::UnreadableEntry => {
                let _ = call(
                    self.store_addr,
                    "POST",
                    "/objects/servers",
                    UNREADABLE_ENTRY,
                );
            }
        }
        Ok(())
    }

    /// Ends a fault and records it. Returns `false`, and does neither, while
    /// the affected process is still shutting down.
    pub(crate) fn try_clear(&mut self, fault: Fault, from_ms: u64) -> Result<bool, SoakError> {
        match fault {
            Fault::StopGateway(number) => {
                if !restart_if_stopped(&mut self.gateways[number], from_ms)? {
                    return Ok(false);
                }
            }
            Fault::DrainInstance(number) => {
                if !restart_if_stopped(&mut self.instances[number], from_ms)? {
                    return Ok(false);
                }
            }
            Fault::KillGateway(number) => smol::block_on(self.gateways[number].restart())?,
            Fault::KillInstance(number) => smol::block_on(self.instances[number].restart())?,
            Fault::PauseGateway(number) => self.gateways[number].signal("CONT")?,
            Fault::PauseInstance(number) => self.instances[number].signal("CONT")?,
            Fault::FaultyInstance(number, _) => self.set_instance_fault(number, "none", 0),
            Fault::Link(link, _) => self.links[&link].clear(),
            Fault::Store(_) => self.post_to_store("/admin/mode?to=normal"),
            Fault::RestoreStore => {
                self.post_to_store("/admin/restore");
                self.put_config()?;
            }
            Fault::HangUpGateway(_)
            | Fault::CompactStore
            | Fault::Configure
            | Fault::ConfigureOften
            | Fault::ToggleKey
            | Fault::ToggleKeyBesideUnreadableParts
            | Fault::UnreadableEntry => {}
        }
        let to_ms = unix_ms() + RECOVERY_MARGIN_MS;
        lock(&self.record).happened.push(InjectedFault {
            fault,
            from_ms,
            to_ms,
        });
        Ok(true)
    }

    /// Updates the peak memory use of each gateway.
    pub(crate) fn sample_memory(&mut self) {
        for (process, peak) in self.gateways.iter().zip(&mut self.peak_memory_bytes) {
            // A gateway that is down has no resident memory.
            *peak = process.rss_bytes().unwrap_or(0).max(*peak);
        }
    }

    /// Adds the events and resource usage from the logs of instances and
    /// gateways to the record.
    pub(crate) fn collect(&self) {
        let mut record = lock(&self.record);
        for line in self.instances.iter().flat_map(Process::log) {
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            if let Ok(event) = serde_json::from_value::<InstanceEvent>(line["request"].clone()) {
                record.seen.push(event);
            }
            let draining = &line["draining"];
            if let (Some(instance), Some(at_ms)) =
                (draining["instance"].as_str(), draining["at_ms"].as_u64())
            {
                record.draining.insert(instance.into(), at_ms);
            }
        }
        record.seen.sort_by_key(|event| event.at_ms);
        for (gateway, process) in self.gateways.iter().enumerate() {
            record.used.push(GatewayUsage {
                gateway,
                memory_bytes: self.peak_memory_bytes[gateway],
                log_lines: process.log().len(),
            });
        }
    }

    /// Returns the log lines of each gateway and instance, by process name.
    pub(crate) fn logs(&self) -> IndexMap<String, Vec<String>> {
        let all = self.gateways.iter().chain(&self.instances);
        all.map(|process| (process.name().to_owned(), process.log()))
            .collect()
    }

    fn write_config(&mut self) -> Result<(), SoakError> {
        self.version += 3;
        let sent_ms = unix_ms();
        self.put_config()?;
        lock(&self.record).configured.push(ConfigWrite {
            sent_ms,
            acked_ms: unix_ms(),
            has_route: self.has_route,
            has_key: self.has_key,
        });
        Ok(())
    }

    /// Writes the present configuration, once more if it was written before.
    fn put_config(&self) -> Result<(), SoakError> {
        let config_document = self.config_document();
        for _ in 0..CONFIG_WRITE_ATTEMPTS {
            if write_object(self.store_addr, "config", "main", &config_document).is_ok() {
                return Ok(());
            }
            std::thread::sleep(CONFIG_RETRY_DELAY);
        }
        Err(SoakError::StoreUnavailable)
    }

    fn config_document(&self) -> Value {
        let mut routes = vec![
            route("/look/", "safe", ORDERS, 2),
            route("/cut/", "unsafe", ORDERS, 2),
            resumable(route("/stream/", "stream", PLANS, 2)),
        ];
        if self.has_route {
            routes.push(route("/changing/", "safe", ORDERS, 2));
        }
        let mut teams = vec![team(DEFAULT_TEAM, KEY)];
        if self.has_key {
            teams.push(team(OTHER_TEAM, OTHER_KEY));
        }
        if self.has_unreadable_parts {
            let mut ranked = route("/ranked/", "safe", ORDERS, 2);
            ranked["priority"] = json!(300);
            routes.push(ranked);
            routes.push(json!({"prefix": "/unreadable/", "kind": {}}));
            teams.push(json!({"name": 1}));
        }
        let mut document = config(self.version, &routes, &teams);
        document["limits"]["max-body-bytes"] = json!(BODY_MAX_BYTES);
        document
    }

    /// Sets the fault mode of an instance. Errors are ignored, because an
    /// instance that is down or suspended cannot be configured.
    fn set_instance_fault(&self, number: usize, mode: &str, percent: u32) {
        if let Ok(addr) = process_addr(&self.instances[number]) {
            let target = format!("/admin/fault?to={mode}&percent={percent}");
            let _ = call(addr, "POST", &target, "");
        }
    }

    fn post_to_store(&self, target: &str) {
        // Faults never stop the store process or its admin calls, so the call
        // succeeds.
        let _ = call(self.store_addr, "POST", target, "");
    }
}

/// Restarts a process that has exited or whose grace period has passed.
/// Returns `false` if it is still shutting down.
fn restart_if_stopped(process: &mut Process, from_ms: u64) -> Result<bool, SoakError> {
    if process.is_running() && unix_ms() < from_ms + GRACE_PERIOD_MS {
        return Ok(false);
    }
    smol::block_on(process.restart())?;
    Ok(true)
}

fn standin_spec(programs: &Programs, args: &[&str]) -> Result<ProcessSpec, HarnessError> {
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    ProcessSpec::wire_standin(programs, args)
}

fn process_addr(process: &Process) -> Result<SocketAddr, SoakError> {
    parse_addr(process.addr())
}

fn parse_addr(addr: &str) -> Result<SocketAddr, SoakError> {
    addr.parse()
        .map_err(|_| SoakError::InvalidAddress(addr.into()))
}
