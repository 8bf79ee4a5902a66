//! A cluster of processes, addressed by their names.

mod control;
mod inspect;
mod registration;
mod start;

use indexmap::IndexMap;
use standins::caller::Caller;
use trillium_client::Client;

use crate::{plan::CLINIC_KEY, process::Process, ClusterPlan, HarnessError, Programs};

/// Upstream of the engines in [`default_document`](crate::default_document).
pub const ENGINE_UPSTREAM: &str = "advice";
/// Model that the engines in a cluster serve; requests must name it.
pub const ENGINE_MODEL: &str = "advice";
/// Upstream of the plain services in
/// [`default_document`](crate::default_document).
pub const SERVICE_UPSTREAM: &str = "booking";
/// Public route of the plain services, as in `/services/<route>/`.
pub const SERVICE_ROUTE: &str = "booking";

/// A running cluster; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    plan: ClusterPlan,
    programs: Programs,
    secret: String,
    platform: Process,
    /// All processes except the platform, in the order of their start.
    members: IndexMap<String, Member>,
    http: Client,
}

/// A process with the zone and the kind under which it is registered.
#[derive(Debug)]
struct Member {
    process: Process,
    zone: String,
    kind: Kind,
}

/// Kind of a process in a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Kind {
    Entry,
    Agent { upstream: String },
    Engine,
    Service,
}

impl Cluster {
    /// Returns a process by its name, including `platform`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown.
    pub fn process(&self, name: &str) -> Result<&Process, HarnessError> {
        if name == self.platform.name() {
            return Ok(&self.platform);
        }
        let member = self.members.get(name);
        member
            .map(|member| &member.process)
            .ok_or_else(|| HarnessError::UnknownName(name.into()))
    }

    /// Returns a process by its name for signals and restarts.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is unknown.
    pub fn process_mut(&mut self, name: &str) -> Result<&mut Process, HarnessError> {
        if name == self.platform.name() {
            return Ok(&mut self.platform);
        }
        let member = self.members.get_mut(name);
        member
            .map(|member| &mut member.process)
            .ok_or_else(|| HarnessError::UnknownName(name.into()))
    }

    /// Returns the names of all processes except the platform, in the order of
    /// their start.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Returns the address of an entry for callers (`IP:port`).
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry.
    pub fn entry_addr(&self, index: usize) -> Result<&str, HarnessError> {
        Ok(self.process(&format!("entry-{index}"))?.addr())
    }

    /// Returns the address of the platform (`IP:port`).
    pub fn platform_addr(&self) -> &str {
        self.platform.addr()
    }

    /// Returns the random peer secret that entries and agents share.
    pub fn secret(&self) -> &str {
        &self.secret
    }

    /// Returns a client of an entry with the API key of team `clinic`. If there is
    /// no such entry, its calls fail to connect.
    pub fn caller(&self, entry: usize) -> Caller {
        self.caller_with_key(entry, CLINIC_KEY)
    }

    /// Returns a client of an entry with the given API key. If there is no such
    /// entry, its calls fail to connect.
    pub fn caller_with_key(&self, entry: usize, api_key: &str) -> Caller {
        let unused_addr = "127.0.0.1:1";
        Caller::new(self.entry_addr(entry).unwrap_or(unused_addr), api_key)
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
