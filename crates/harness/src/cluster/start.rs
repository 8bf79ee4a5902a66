//! Starts the processes of a cluster and registers them at the platform.

use indexmap::IndexMap;

use super::{Cluster, Kind, Member, ENGINE_MODEL, ENGINE_UPSTREAM, SERVICE_UPSTREAM};
use crate::{
    http::client,
    process::{Process, ProcessSpec},
    ClusterPlan, HarnessError, Programs,
};

impl Cluster {
    /// Starts and registers the processes, submits the document of the plan and
    /// waits until all agents and entries are ready. Without a submitted document
    /// it does not wait.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or is not ready in time.
    pub async fn start(plan: ClusterPlan) -> Result<Self, HarnessError> {
        let cluster = Self::start_without_waiting(plan).await?;
        if cluster.plan.is_configured {
            cluster
                .wait_agents_ready(cluster.plan.ready_timeout)
                .await?;
            cluster.wait_ready(cluster.plan.ready_timeout).await?;
        }
        Ok(cluster)
    }

    /// Does the same as [`Cluster::start`] but does not wait for readiness.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start in time.
    pub async fn start_without_waiting(plan: ClusterPlan) -> Result<Self, HarnessError> {
        let programs = match &plan.programs {
            Some(programs) => programs.clone(),
            None => Programs::from_current_exe()?,
        };
        let platform = Process::start("platform", platform_spec(&programs, &plan)?)?;
        let mut cluster = Self {
            plan,
            programs,
            secret: format!("{:032x}", rand::random::<u128>()),
            platform,
            members: IndexMap::new(),
            http: client(),
        };
        if cluster.plan.is_configured {
            cluster.submit(cluster.plan.document.clone()).await?;
        }
        for _ in 0..cluster.plan.engines {
            cluster.add_engine().await?;
        }
        for _ in 0..cluster.plan.services {
            cluster.add_service().await?;
        }
        for _ in 0..cluster.plan.entries {
            cluster.add_entry().await?;
        }
        Ok(cluster)
    }

    /// Starts one more engine with its agent and registers the agent; returns the
    /// number of the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start in time.
    pub async fn add_engine(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Engine);
        let zone = self.zone(index);
        let mut args = vec!["engine".into()];
        args.extend(["--instance".into(), format!("engine-{index}")]);
        args.extend(["--model".into(), ENGINE_MODEL.into()]);
        args.extend(self.plan.engine_args.clone());
        let spec = ProcessSpec::standin(&self.programs, args)?;
        self.start_member(&format!("engine-{index}"), &zone, Kind::Engine, spec)?;
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

    /// Starts one more plain service with its agent and registers the agent;
    /// returns the number of the service.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start in time.
    pub async fn add_service(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Service);
        let zone = self.zone(index);
        let mut args = vec!["service".into()];
        args.extend(["--instance".into(), format!("service-{index}")]);
        args.extend(self.plan.service_args.clone());
        let spec = ProcessSpec::standin(&self.programs, args)?;
        self.start_member(&format!("service-{index}"), &zone, Kind::Service, spec)?;
        let upstream_addr = self
            .process(&format!("service-{index}"))?
            .addr()
            .to_string();
        let agent = format!("service-agent-{index}");
        self.add_agent(&agent, SERVICE_UPSTREAM, &upstream_addr, &zone)
            .await?;
        Ok(index)
    }

    /// Starts and registers one more entry; returns its number.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not start in time.
    pub async fn add_entry(&mut self) -> Result<usize, HarnessError> {
        let index = self.count(&Kind::Entry);
        let name = format!("entry-{index}");
        let zone = self.zone(index);
        let mut spec = self.limpetgw_spec("entry", &name, &zone)?;
        spec.args.extend(self.plan.entry_args.clone());
        spec.envs.extend(self.plan.entry_envs.clone());
        spec.operator_flag = Some("--operator-listen");
        self.start_member(&name, &zone, Kind::Entry, spec)?;
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
        let mut spec = self.limpetgw_spec("agent", name, zone)?;
        spec.args.extend(["--upstream".into(), upstream.into()]);
        spec.args
            .extend(["--upstream-addr".into(), upstream_addr.into()]);
        spec.args.extend(self.plan.agent_args.clone());
        let kind = Kind::Agent {
            upstream: upstream.into(),
        };
        self.start_member(name, zone, kind, spec)?;
        self.register(name, "live").await
    }

    fn start_member(
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

    fn limpetgw_spec(
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
