//! The fleet: all processes by name.

use std::time::{Duration, Instant, SystemTime};

use config::Document;
use indexmap::IndexMap;
use platform::{HttpPlatform, Instance};
use serde_json::{json, Value};
use shared_state::{SessionId, Submission};
use standins::{
    caller::{Caller, Question},
    engine::Stats,
    service::{Ledger, LedgerLine, Run},
};
use trillium_client::{Client, Method};
use types::Generation;

use crate::{
    http::{call, call_json, client},
    plan::CLINIC_KEY,
    process::{Process, Spec},
    FleetPlan, HarnessError, Programs,
};

/// Name of the engines' upstream.
pub const ENGINE_UPSTREAM: &str = "advice";
/// The model that the engines serve.
pub const ENGINE_MODEL: &str = "advice";
/// Name of the plain services' upstream.
pub const SERVICE_UPSTREAM: &str = "booking";
/// Public route of the plain services.
pub const SERVICE_ROUTE: &str = "booking";

/// Pause between two looks at something awaited.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Patience of a trial question.
const TRIAL_LIMIT: Duration = Duration::from_secs(2);
/// The question that shows that an entry serves; one token.
const TRIAL_PROMPT: &str = "ready? [len=1]";

/// A running fleet; all its processes end with it.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    programs: Programs,
    secret: String,
    platform: Process,
    /// Every process but the platform, in the order of their start.
    members: IndexMap<String, Member>,
    http: Client,
}

/// A process with its line in the platform's instance list.
#[derive(Debug)]
struct Member {
    process: Process,
    zone: String,
    kind: Kind,
}

/// What a process of a fleet is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Kind {
    Entry,
    Agent { upstream: String },
    Engine,
    Service,
}

impl Fleet {
    /// Starts the processes, lists them at the platform, puts the plan's
    /// document in force and waits until every entry serves.
    ///
    /// # Errors
    ///
    /// When anything does not come up in time.
    pub async fn start(plan: FleetPlan) -> Result<Self, HarnessError> {
        let fleet = Self::start_unready(plan).await?;
        if fleet.plan.is_configured {
            fleet.wait_ready(fleet.plan.ready_limit).await?;
        }
        Ok(fleet)
    }

    /// As [`Fleet::start`], without waiting until the entries serve.
    ///
    /// # Errors
    ///
    /// When a process does not come up in time.
    pub async fn start_unready(plan: FleetPlan) -> Result<Self, HarnessError> {
        let programs = match &plan.programs {
            Some(programs) => programs.clone(),
            None => Programs::beside_current()?,
        };
        let platform = Process::start("platform", platform_spec(&programs, &plan)?)?;
        let mut fleet = Self {
            plan,
            programs,
            secret: format!("{:032x}", rand::random::<u128>()),
            platform,
            members: IndexMap::new(),
            http: client(),
        };
        if fleet.plan.is_configured {
            fleet.submit(fleet.plan.document.clone()).await?;
        }
        for _ in 0..fleet.plan.engines {
            fleet.add_engine().await?;
        }
        for _ in 0..fleet.plan.services {
            fleet.add_service().await?;
        }
        for _ in 0..fleet.plan.entries {
            fleet.add_entry().await?;
        }
        Ok(fleet)
    }

    /// Starts and lists one more engine with its agent; the engine's number.
    ///
    /// # Errors
    ///
    /// When a process does not come up in time.
    pub async fn add_engine(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Engine);
        let zone = self.zone(index);
        let mut args = vec!["engine".into()];
        args.extend(["--instance".into(), format!("engine-{index}")]);
        args.extend(["--model".into(), ENGINE_MODEL.into()]);
        args.extend(self.plan.engine_args.clone());
        let spec = Spec::standin(&self.programs, args)?;
        self.add(&format!("engine-{index}"), &zone, Kind::Engine, spec)?;
        let upstream_addr = self.process(&format!("engine-{index}"))?.addr().to_string();
        self.add_agent(
            &format!("agent-{index}"),
            ENGINE_UPSTREAM,
            &upstream_addr,
            &zone,
        )
        .await?;
        Ok(index)
    }

    /// Starts and lists one more plain service with its agent; its number.
    ///
    /// # Errors
    ///
    /// When a process does not come up in time.
    pub async fn add_service(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Service);
        let zone = self.zone(index);
        let mut args = vec!["service".into()];
        args.extend(["--instance".into(), format!("service-{index}")]);
        args.extend(self.plan.service_args.clone());
        let spec = Spec::standin(&self.programs, args)?;
        self.add(&format!("service-{index}"), &zone, Kind::Service, spec)?;
        let upstream_addr = self
            .process(&format!("service-{index}"))?
            .addr()
            .to_string();
        let agent = format!("service-agent-{index}");
        self.add_agent(&agent, SERVICE_UPSTREAM, &upstream_addr, &zone)
            .await?;
        Ok(index)
    }

    /// Starts and lists one more entry; its number.
    ///
    /// # Errors
    ///
    /// When it does not come up in time.
    pub async fn add_entry(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Entry);
        let name = format!("entry-{index}");
        let zone = self.zone(index);
        let mut spec = self.product_spec("entry", &name, &zone)?;
        spec.args.extend(self.plan.entry_args.clone());
        spec.operator_flag = Some("--operator-listen");
        self.add(&name, &zone, Kind::Entry, spec)?;
        self.list(&name, "live").await?;
        Ok(index)
    }

    /// A process by its name, `platform` included.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn process(&self, name: &str) -> Result<&Process, HarnessError> {
        if name == self.platform.name() {
            return Ok(&self.platform);
        }
        let member = self.members.get(name);
        member
            .map(|member| &member.process)
            .ok_or_else(|| HarnessError::UnknownName(name.into()))
    }

    /// A process by its name, to signal or restart it.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, HarnessError> {
        if name == self.platform.name() {
            return Ok(&mut self.platform);
        }
        let member = self.members.get_mut(name);
        member
            .map(|member| &mut member.process)
            .ok_or_else(|| HarnessError::UnknownName(name.into()))
    }

    /// Names of all processes but the platform, in the order of their start.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// The address of an entry for callers.
    ///
    /// # Errors
    ///
    /// When there is no such entry.
    pub fn entry_addr(&self, index: usize) -> Result<&str, HarnessError> {
        Ok(self.process(&format!("entry-{index}"))?.addr())
    }

    /// The platform's address.
    pub fn platform_addr(&self) -> &str {
        self.platform.addr()
    }

    /// The secret of internal calls.
    pub fn secret(&self) -> &str {
        &self.secret
    }

    /// A caller of team `clinic` at an entry. If there is no such entry,
    /// every call goes unanswered.
    pub fn caller(&self, entry: usize) -> Caller {
        self.caller_with_key(entry, CLINIC_KEY)
    }

    /// A caller with an API key of its own choice at an entry.
    pub fn caller_with_key(&self, entry: usize, api_key: &str) -> Caller {
        let nowhere = "127.0.0.1:1";
        Caller::new(self.entry_addr(entry).unwrap_or(nowhere), api_key)
    }

    /// Kills a process, as a crash would.
    ///
    /// # Errors
    ///
    /// When there is none of this name.
    pub fn kill(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.kill()
    }

    /// Stops a process in its tracks (SIGSTOP).
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn freeze(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("STOP")
    }

    /// Lets a stopped process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn thaw(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("CONT")
    }

    /// Asks a process to shut down gracefully (SIGTERM). Wait for its end
    /// with [`Process::wait_exit`].
    ///
    /// # Errors
    ///
    /// When there is none of this name, or it has ended.
    pub fn terminate(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.signal("TERM")
    }

    /// Starts a process again at the same addresses, after killing it if it
    /// still runs. Its faults are those of its arguments again.
    ///
    /// # Errors
    ///
    /// When it does not come up in time.
    pub async fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        self.process_mut(name)?.restart().await
    }

    /// Starts every engine and service that has crashed again; their names.
    ///
    /// # Errors
    ///
    /// When one does not come up in time.
    pub async fn restart_crashed(&mut self) -> Result<Vec<String>, HarnessError> {
        let mut restarted = Vec::new();
        for (name, member) in &mut self.members {
            let is_upstream = matches!(member.kind, Kind::Engine | Kind::Service);
            if is_upstream && !member.process.is_running() {
                member.process.restart().await?;
                restarted.push(name.clone());
            }
        }
        Ok(restarted)
    }

    /// Replaces the faults of a stand-in; `faults` is JSON, `{}` clears them.
    ///
    /// # Errors
    ///
    /// When the stand-in does not know a fault, or does not answer.
    pub async fn set_faults(&self, name: &str, faults: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/faults", self.process(name)?.addr());
        call_json(&self.http, Method::Post, &url, Some(faults.into())).await?;
        Ok(())
    }

    /// Puts an agent or entry on the platform's list, as `live` or `leaving`.
    ///
    /// # Errors
    ///
    /// When there is none of this name or the platform does not answer.
    pub async fn list(&self, name: &str, state: &str) -> Result<(), HarnessError> {
        let unknown = || HarnessError::UnknownName(name.into());
        let member = self.members.get(name).ok_or_else(unknown)?;
        let (role, upstream) = match &member.kind {
            Kind::Entry => ("entry", None),
            Kind::Agent { upstream } => ("agent", Some(upstream)),
            Kind::Engine | Kind::Service => return Err(unknown()),
        };
        let mut line = json!({
            "instance": name,
            "role": role,
            "zone": member.zone,
            "addr": member.process.internal_addr(),
            "state": state,
        });
        if let Some(upstream) = upstream {
            line["upstream"] = upstream.as_str().into();
        }
        self.list_line(&line).await
    }

    /// Lists one more live agent that is in truth the agent `of`, so that a
    /// few processes look like many.
    ///
    /// # Errors
    ///
    /// When there is none of this name or the platform does not answer.
    pub async fn list_alias(
        &self,
        instance: &str,
        of: &str,
        upstream: &str,
    ) -> Result<(), HarnessError> {
        let line = json!({
            "instance": instance,
            "role": "agent",
            "upstream": upstream,
            "zone": self.zone(0),
            "addr": self.process(of)?.internal_addr(),
            "state": "live",
        });
        self.list_line(&line).await
    }

    async fn list_line(&self, line: &Value) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances", self.platform_addr());
        call_json(&self.http, Method::Post, &url, Some(line.to_string())).await?;
        Ok(())
    }

    /// Adds a line to the instance list that belongs to no process of the fleet.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn list_instance(&self, instance: &Instance) -> Result<(), HarnessError> {
        // A struct of names: serialization can't fail.
        let line = serde_json::to_value(instance).unwrap_or_default();
        self.list_line(&line).await
    }

    /// Takes a process off the platform's list.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn unlist(&self, name: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances/{name}", self.platform_addr());
        call_json(&self.http, Method::Delete, &url, None).await?;
        Ok(())
    }

    /// Submits a document as an operator's session does; its generation.
    ///
    /// # Errors
    ///
    /// When it is not taken, or it is not known whether it was.
    pub async fn submit(&self, document: Document) -> Result<Generation, HarnessError> {
        let refused = |reason: String| HarnessError::Config(reason);
        let store = HttpPlatform::new(self.platform_addr());
        let base = shared_state::read_head(&store)
            .await
            .map_err(|error| refused(error.to_string()))?
            .map_or(Generation(0), |stored| stored.head.generation);
        let submission = Submission::builder()
            .document(document)
            .session(SessionId::new(base, rand::random()))
            .submitter("harness".into())
            .submitted_unix_ms(unix_ms())
            .build();
        let submitted = shared_state::submit(&store, &submission)
            .await
            .map_err(|error| refused(error.to_string()))?;
        Ok(submitted.generation)
    }

    /// Counters of an engine since its last start.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn stats(&self, engine: &str) -> Result<Stats, HarnessError> {
        let url = format!("http://{}/stats", self.process(engine)?.addr());
        let stats = call_json(&self.http, Method::Get, &url, None).await?;
        serde_json::from_value(stats).map_err(|error| HarnessError::Call {
            url,
            reason: error.to_string(),
        })
    }

    /// Calls that the platform has counted: `reads`, `writes`, `watches`, `instances`.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn platform_calls(&self) -> Result<Value, HarnessError> {
        let url = format!("http://{}/admin/calls", self.platform_addr());
        call_json(&self.http, Method::Get, &url, None).await
    }

    /// The text that a process answers to a GET, such as `/metrics` on the
    /// internal address of an entry or agent, with the status.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn get_internal(
        &self,
        name: &str,
        path: &str,
    ) -> Result<(u16, String), HarnessError> {
        let url = format!("http://{}{path}", self.process(name)?.internal_addr());
        let answer = call(&self.http, Method::Get, &url, None).await?;
        Ok((answer.status, answer.body))
    }

    /// The runs of all plain services, crashed processes included.
    pub fn ledger(&mut self) -> Ledger {
        let mut runs = Vec::new();
        for member in self.members.values_mut() {
            if member.kind == Kind::Service {
                add_runs(member.process.ledger(), &mut runs);
            }
        }
        Ledger { runs }
    }

    /// Waits until every entry has answered a trial question whole.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TooLate`].
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + limit;
        for index in 0..self.count(&Kind::Entry) {
            self.wait_entry_ready(index, deadline, limit).await?;
        }
        Ok(())
    }

    async fn wait_entry_ready(
        &self,
        index: usize,
        deadline: Instant,
        limit: Duration,
    ) -> Result<(), HarnessError> {
        let caller = self.caller(index).with_patience(TRIAL_LIMIT);
        let url = format!("http://{}/readyz", self.entry_addr(index)?);
        loop {
            let seen = if self.plan.engines > 0 {
                let reply = caller.ask(&Question::whole(TRIAL_PROMPT)).await;
                if reply.outcome.is_whole() {
                    return Ok(());
                }
                format!("{:?} {}", reply.outcome, reply.body)
            } else {
                match call(&self.http, Method::Get, &url, None).await {
                    Ok(answer) if answer.status == 200 => return Ok(()),
                    Ok(answer) => format!("status {}", answer.status),
                    Err(error) => error.to_string(),
                }
            };
            if Instant::now() >= deadline {
                return Err(HarnessError::TooLate {
                    what: format!("entry-{index} serving"),
                    limit_ms: limit.as_millis(),
                    seen,
                });
            }
            smol::Timer::after(POLL_PAUSE).await;
        }
    }

    async fn add_agent(
        &mut self,
        name: &str,
        upstream: &str,
        upstream_addr: &str,
        zone: &str,
    ) -> Result<(), HarnessError> {
        let mut spec = self.product_spec("agent", name, zone)?;
        spec.args.extend(["--upstream".into(), upstream.into()]);
        spec.args
            .extend(["--upstream-addr".into(), upstream_addr.into()]);
        spec.args.extend(self.plan.agent_args.clone());
        let kind = Kind::Agent {
            upstream: upstream.into(),
        };
        self.add(name, zone, kind, spec)?;
        self.list(name, "live").await
    }

    fn add(&mut self, name: &str, zone: &str, kind: Kind, spec: Spec) -> Result<(), HarnessError> {
        let process = Process::start(name, spec)?;
        let member = Member {
            process,
            zone: zone.into(),
            kind,
        };
        self.members.insert(name.into(), member);
        Ok(())
    }

    fn product_spec(&self, role: &str, name: &str, zone: &str) -> Result<Spec, HarnessError> {
        let mut args = vec![role.to_string()];
        args.extend(["--instance".into(), name.into()]);
        args.extend(["--zone".into(), zone.into()]);
        args.extend(["--platform".into(), self.platform_addr().into()]);
        Ok(Spec {
            program: self.programs.limpetgw()?,
            args,
            envs: vec![("LIMPETGW_PEER_SECRET".into(), self.secret.clone())],
            listen_flag: "--listen",
            operator_flag: None,
        })
    }

    fn zone(&self, index: usize) -> String {
        format!("az-{}", index % self.plan.zones.max(1) + 1)
    }

    fn count(&self, kind: &Kind) -> usize {
        self.members
            .values()
            .filter(|member| member.kind == *kind)
            .count()
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

fn platform_spec(programs: &Programs, plan: &FleetPlan) -> Result<Spec, HarnessError> {
    let mut args = vec!["platform".into()];
    args.extend(plan.platform_args.clone());
    Spec::standin(programs, args)
}

/// Adds the runs of one service; a line of a known run replaces it.
fn add_runs(lines: &[LedgerLine], runs: &mut Vec<Run>) {
    let mut known: IndexMap<usize, usize> = IndexMap::new();
    for line in lines {
        if line.run.finished {
            if let Some(place) = known.get(&line.number) {
                runs[*place] = line.run.clone();
                continue;
            }
        }
        // A restarted service counts from 0 again.
        known.insert(line.number, runs.len());
        runs.push(line.run.clone());
    }
}
