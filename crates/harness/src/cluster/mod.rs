//! The fleet: all processes by name.

mod control;
mod inspect;
mod registration;
mod start;

use indexmap::IndexMap;
use standins::caller::Caller;
use trillium_client::Client;

use crate::{plan::CLINIC_KEY, process::Process, ClusterPlan, HarnessError, Programs};

/// Name of the engines' upstream.
pub const ENGINE_UPSTREAM: &str = "advice";
/// The model that the engines serve.
pub const ENGINE_MODEL: &str = "advice";
/// Name of the plain services' upstream.
pub const SERVICE_UPSTREAM: &str = "booking";
/// Public route of the plain services.
pub const SERVICE_ROUTE: &str = "booking";

/// A running fleet; all its processes end with it.
#[derive(Debug)]
pub struct Cluster {
    plan: ClusterPlan,
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

impl Cluster {
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
