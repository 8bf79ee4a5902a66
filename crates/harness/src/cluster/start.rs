//! Starts the processes of a fleet.

use indexmap::IndexMap;

use super::{Cluster, Kind, Member, ENGINE_MODEL, ENGINE_UPSTREAM, SERVICE_UPSTREAM};
use crate::{
    http::client,
    process::{Process, ProcessSpec},
    ClusterPlan, HarnessError, Programs,
};

impl Cluster {
    /// Starts the processes, lists them at the platform, puts the plan's
    /// document in force and waits until every entry serves.
    ///
    /// # Errors
    ///
    /// When anything does not come up in time.
    pub async fn start(plan: ClusterPlan) -> Result<Self, HarnessError> {
        let fleet = Self::start_without_waiting(plan).await?;
        if fleet.plan.is_configured {
            fleet.wait_agents_ready(fleet.plan.ready_timeout).await?;
            fleet.wait_ready(fleet.plan.ready_timeout).await?;
        }
        Ok(fleet)
    }

    /// As [`Cluster::start`], without waiting until the entries serve.
    ///
    /// # Errors
    ///
    /// When a process does not come up in time.
    pub async fn start_without_waiting(plan: ClusterPlan) -> Result<Self, HarnessError> {
        let programs = match &plan.programs {
            Some(programs) => programs.clone(),
            None => Programs::from_current_exe()?,
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
        let spec = ProcessSpec::standin(&self.programs, args)?;
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
        let spec = ProcessSpec::standin(&self.programs, args)?;
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
        self.register(&name, "live").await?;
        Ok(index)
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
        self.register(name, "live").await
    }

    fn add(
        &mut self,
        name: &str,
        zone: &str,
        kind: Kind,
        spec: ProcessSpec,
    ) -> Result<(), HarnessError> {
        let process = Process::start(name, spec)?;
        let member = Member {
            process,
            zone: zone.into(),
            kind,
        };
        self.members.insert(name.into(), member);
        Ok(())
    }

    fn product_spec(
        &self,
        role: &str,
        name: &str,
        zone: &str,
    ) -> Result<ProcessSpec, HarnessError> {
        let mut args = vec![role.to_string()];
        args.extend(["--instance".into(), name.into()]);
        args.extend(["--zone".into(), zone.into()]);
        args.extend(["--platform".into(), self.platform_addr().into()]);
        Ok(ProcessSpec {
            program: self.programs.limpetgw()?,
            args,
            envs: vec![("LIMPETGW_PEER_SECRET".into(), self.secret.clone())],
            listen_flag: "--listen",
            operator_flag: None,
        })
    }
}

fn platform_spec(programs: &Programs, plan: &ClusterPlan) -> Result<ProcessSpec, HarnessError> {
    let mut args = vec!["platform".into()];
    args.extend(plan.platform_args.clone());
    ProcessSpec::standin(programs, args)
}
