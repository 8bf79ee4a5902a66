//! The processes of a run, and what befalls them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use harness::{HarnessError, Process, ProcessSpec, Programs};
use indexmap::IndexMap;
use serde_json::Value;
use wire_standins::{
    caller::KEY,
    documents::{config, resumable, route, team, ORDERS, PLANS},
    instance::{call, unix_ms, write_object},
};

use crate::{
    callers::{FIRST_TEAM, OTHER_KEY, OTHER_TEAM},
    lock,
    plan::{Fault, Link, Size},
    proxy::Proxy,
    record::{Configured, Happened, Record, Seen, Used},
    SoakError,
};

/// How long a process may take from SIGTERM to its end: the grace period.
const GRACE_MS: u64 = 8_000;
/// Time from the end of a fault until a process counts as back.
const BACK_MS: u64 = 500;
/// How many of a hundred requests an instance's fault befalls.
const FAULTY_PERCENT: u32 = 40;
/// Configurations of a storm, and the pause between them.
const STORM: u32 = 8;
const STORM_PAUSE: Duration = Duration::from_millis(120);
/// The writes of one configuration are tried for so long.
const WRITE_TRIES: u32 = 100;
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// All processes with the links between them.
pub(crate) struct World {
    /// Ends with the others.
    _store: Process,
    store_addr: SocketAddr,
    gateways: Vec<Process>,
    instances: Vec<Process>,
    links: IndexMap<Link, Proxy>,
    version: u64,
    has_route: bool,
    has_key: bool,
    record: Arc<Mutex<Record>>,
    peak_bytes: Vec<u64>,
    size: Size,
}

impl World {
    pub(crate) fn start(size: Size, record: Arc<Mutex<Record>>) -> Result<Self, SoakError> {
        let programs = Programs::from_current_exe()?;
        let store = Process::start("store", standin(&programs, &["store"])?)?;
        let store_addr = addr_of(&store)?;
        let mut world = Self {
            _store: store,
            store_addr,
            gateways: Vec::new(),
            instances: Vec::new(),
            links: IndexMap::new(),
            version: 0,
            has_route: true,
            has_key: true,
            record,
            peak_bytes: vec![0; size.gateways],
            size,
        };
        for number in 0..size.instances() {
            world.start_instance(&programs, number)?;
        }
        world.configure()?;
        for number in 0..size.gateways {
            world.start_gateway(&programs, number)?;
        }
        Ok(world)
    }

    /// Addresses at which callers reach the gateways.
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
        let process = Process::start(&name, standin(programs, &args)?)?;
        proxy.set_target(addr_of(&process)?);
        self.links.insert(link, proxy);
        self.instances.push(process);
        Ok(())
    }

    fn start_gateway(&mut self, programs: &Programs, number: usize) -> Result<(), SoakError> {
        let to_store = Proxy::start(self.store_addr).map_err(SoakError::Proxy)?;
        let spec = ProcessSpec {
            program: programs.limpetgw()?,
            args: [
                "gateway",
                "--instance",
                &format!("gateway-{number}"),
                "--zone",
                "az-1",
                "--store",
                &to_store.addr.to_string(),
                "--balancer-lag-ms",
                "300",
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
        let to_gateway = Proxy::start(addr_of(&process)?).map_err(SoakError::Proxy)?;
        self.links.insert(Link::Store(number), to_store);
        self.links.insert(Link::Callers(number), to_gateway);
        self.gateways.push(process);
        Ok(())
    }

    /// Lets a fault begin. Processes that end for it are back with
    /// [`World::try_end`].
    pub(crate) fn begin(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::StopGateway(number) => self.gateways[number].signal("TERM")?,
            Fault::KillGateway(number) => self.gateways[number].kill()?,
            Fault::PauseGateway(number) => self.gateways[number].signal("STOP")?,
            Fault::HangUpGateway(number) => self.gateways[number].signal("HUP")?,
            Fault::DrainInstance(number) => self.instances[number].signal("TERM")?,
            Fault::KillInstance(number) => self.instances[number].kill()?,
            Fault::PauseInstance(number) => self.instances[number].signal("STOP")?,
            Fault::FaultyInstance(number, mode) => {
                self.set_instance_fault(number, mode, FAULTY_PERCENT);
            }
            Fault::Link(link, fault) => self.links[&link].begin(fault),
            Fault::Store(mode) => self.tell_store(&format!("/admin/mode?to={mode}")),
            Fault::CompactStore => self.tell_store("/admin/compact"),
            Fault::Configure => {
                self.has_route = !self.has_route;
                self.configure()?;
            }
            Fault::ConfigureOften => {
                for _ in 0..STORM {
                    self.has_route = !self.has_route;
                    self.configure()?;
                    std::thread::sleep(STORM_PAUSE);
                }
            }
            Fault::ToggleKey => {
                self.has_key = !self.has_key;
                self.configure()?;
            }
        }
        Ok(())
    }

    /// Ends a fault and notes it; `false` if its process is still stopping.
    pub(crate) fn try_end(&mut self, fault: Fault, from_ms: u64) -> Result<bool, SoakError> {
        match fault {
            Fault::StopGateway(number) => {
                if !try_restart(&mut self.gateways[number], from_ms)? {
                    return Ok(false);
                }
            }
            Fault::DrainInstance(number) => {
                if !try_restart(&mut self.instances[number], from_ms)? {
                    return Ok(false);
                }
            }
            Fault::KillGateway(number) => smol::block_on(self.gateways[number].restart())?,
            Fault::KillInstance(number) => smol::block_on(self.instances[number].restart())?,
            Fault::PauseGateway(number) => self.gateways[number].signal("CONT")?,
            Fault::PauseInstance(number) => self.instances[number].signal("CONT")?,
            Fault::FaultyInstance(number, _) => self.set_instance_fault(number, "none", 0),
            Fault::Link(link, _) => self.links[&link].end(),
            Fault::Store(_) => self.tell_store("/admin/mode?to=normal"),
            Fault::HangUpGateway(_)
            | Fault::CompactStore
            | Fault::Configure
            | Fault::ConfigureOften
            | Fault::ToggleKey => {}
        }
        let to_ms = unix_ms() + BACK_MS;
        lock(&self.record).happened.push(Happened {
            fault,
            from_ms,
            to_ms,
        });
        Ok(true)
    }

    /// Notes the memory that the gateways use now.
    pub(crate) fn sample_memory(&mut self) {
        for (process, peak) in self.gateways.iter().zip(&mut self.peak_bytes) {
            // A gateway that is down uses none.
            *peak = process.rss_bytes().unwrap_or(0).max(*peak);
        }
    }

    /// Takes in what instances and gateways wrote.
    pub(crate) fn collect(&self) {
        let mut record = lock(&self.record);
        for line in self.instances.iter().flat_map(Process::log) {
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            if let Ok(seen) = serde_json::from_value::<Seen>(line["request"].clone()) {
                record.seen.push(seen);
            }
            let draining = &line["draining"];
            if let (Some(instance), Some(at_ms)) =
                (draining["instance"].as_str(), draining["at_ms"].as_u64())
            {
                record.draining.insert(instance.into(), at_ms);
            }
        }
        record.seen.sort_by_key(|seen| seen.at_ms);
        for (gateway, process) in self.gateways.iter().enumerate() {
            record.used.push(Used {
                gateway,
                memory_bytes: self.peak_bytes[gateway],
                log_lines: process.log().len(),
            });
        }
    }

    /// All logs, by process.
    pub(crate) fn logs(&self) -> IndexMap<String, Vec<String>> {
        let all = self.gateways.iter().chain(&self.instances);
        all.map(|process| (process.name().to_owned(), process.log()))
            .collect()
    }

    fn configure(&mut self) -> Result<(), SoakError> {
        self.version += 3;
        let document = self.document();
        let sent_ms = unix_ms();
        for _ in 0..WRITE_TRIES {
            if write_object(self.store_addr, "config", "main", &document).is_ok() {
                lock(&self.record).configured.push(Configured {
                    sent_ms,
                    acked_ms: unix_ms(),
                    has_route: self.has_route,
                    has_key: self.has_key,
                });
                return Ok(());
            }
            std::thread::sleep(WRITE_PAUSE);
        }
        Err(SoakError::StoreAway)
    }

    fn document(&self) -> Value {
        let mut routes = vec![
            route("/look/", "safe", ORDERS, 2),
            route("/cut/", "unsafe", ORDERS, 2),
            resumable(route("/stream/", "stream", PLANS, 2)),
        ];
        if self.has_route {
            routes.push(route("/changing/", "safe", ORDERS, 2));
        }
        let mut teams = vec![team(FIRST_TEAM, KEY)];
        if self.has_key {
            teams.push(team(OTHER_TEAM, OTHER_KEY));
        }
        config(self.version, &routes, &teams)
    }

    /// An instance that is down or stands still has no fault to be set.
    fn set_instance_fault(&self, number: usize, mode: &str, percent: u32) {
        if let Ok(addr) = addr_of(&self.instances[number]) {
            let target = format!("/admin/fault?to={mode}&percent={percent}");
            let _ = call(addr, "POST", &target, "");
        }
    }

    fn tell_store(&self, target: &str) {
        // The store's own process is never harmed, so its answer always comes.
        let _ = call(self.store_addr, "POST", target, "");
    }
}

/// Starts a process again once it has ended by itself, or after its grace
/// period.
fn try_restart(process: &mut Process, from_ms: u64) -> Result<bool, SoakError> {
    if process.is_running() && unix_ms() < from_ms + GRACE_MS {
        return Ok(false);
    }
    smol::block_on(process.restart())?;
    Ok(true)
}

fn standin(programs: &Programs, args: &[&str]) -> Result<ProcessSpec, HarnessError> {
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    ProcessSpec::wire_standin(programs, args)
}

fn addr_of(process: &Process) -> Result<SocketAddr, SoakError> {
    parse_addr(process.addr())
}

fn parse_addr(addr: &str) -> Result<SocketAddr, SoakError> {
    addr.parse().map_err(|_| SoakError::Address(addr.into()))
}
