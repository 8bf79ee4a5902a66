//! Which instances may take new work.
//!
//! The platform's list lags. What an instance said itself goes first: one
//! that said that it is leaving gets no new work, whatever the list shows.

use indexmap::IndexMap;
use std::sync::Arc;
use store::{Instance, InstanceList, InstanceState};
use types::{InstanceId, UpstreamName};

/// Answers with a lower version that are ignored in a row; one more means that
/// the platform has started its list anew.
const OLDER_LISTS_IGNORED: u32 = 3;

/// The membership as this process believes it now.
#[derive(Debug, Default)]
pub struct Membership {
    /// Instances that may take new work, own evidence applied.
    pub live: Vec<Instance>,
    /// Every instance on the list, with those that are leaving.
    pub all: Vec<Instance>,
    /// Rises with each change in this process.
    pub revision: u64,
    /// Positions in `live` of each upstream's agents.
    live_by_upstream: IndexMap<UpstreamName, Vec<usize>>,
    /// Positions in `all`.
    all_by_id: IndexMap<InstanceId, usize>,
}

impl Membership {
    /// Indexes the instances that may take work and all that are known.
    pub fn new(live: Vec<Instance>, all: Vec<Instance>, revision: u64) -> Self {
        let mut live_by_upstream: IndexMap<UpstreamName, Vec<usize>> = IndexMap::new();
        for (index, instance) in live.iter().enumerate() {
            if let Some(upstream) = &instance.upstream {
                live_by_upstream
                    .entry(upstream.clone())
                    .or_default()
                    .push(index);
            }
        }
        let all_by_id = all
            .iter()
            .enumerate()
            .map(|(index, instance)| (instance.instance.clone(), index))
            .collect();
        Self {
            live,
            all,
            revision,
            live_by_upstream,
            all_by_id,
        }
    }

    /// Live agents of an upstream.
    pub fn agents_of<'a>(
        &'a self,
        upstream: &'a UpstreamName,
    ) -> impl Iterator<Item = &'a Instance> {
        let indices = self.live_by_upstream.get(upstream);
        indices
            .into_iter()
            .flatten()
            .map(|&index| &self.live[index])
    }

    /// An instance by id, live or leaving.
    pub fn find(&self, instance: &InstanceId) -> Option<&Instance> {
        let index = self.all_by_id.get(instance)?;
        self.all.get(*index)
    }
}

/// Joins the platform's list with what instances said themselves. Pure.
///
/// # Invariants
///
/// The list in use has the highest version seen since the platform last
/// started its list anew. A tombstone stands until the list shows its
/// instance as leaving, absent or replaced, or until the instance itself was
/// asked and takes work.
#[derive(Debug, Default)]
pub struct MembershipTracker {
    list: InstanceList,
    older_in_a_row: u32,
    /// Address of each instance that said that it is leaving.
    tombstones: IndexMap<InstanceId, Arc<str>>,
    revision: u64,
}

impl MembershipTracker {
    /// Takes in an answer of the platform or of a peer; whether the view
    /// changed. An empty list is ignored: this process runs, so the platform
    /// must have lost its list.
    pub fn on_list(&mut self, list: InstanceList) -> bool {
        if list.instances.is_empty() {
            return false;
        }
        if list.version < self.list.version && self.older_in_a_row < OLDER_LISTS_IGNORED {
            self.older_in_a_row += 1;
            return false;
        }
        self.older_in_a_row = 0;
        if list == self.list {
            return false;
        }
        self.list = list;
        let instances = &self.list.instances;
        self.tombstones.retain(|id, addr| {
            let listed = instances.iter().find(|one| one.instance == *id);
            listed.is_some_and(|one| one.state == InstanceState::Live && one.addr == *addr)
        });
        self.revision += 1;
        true
    }

    /// Notes that an instance said that it is leaving; whether that is news.
    pub fn on_leaving(&mut self, instance: &InstanceId) -> bool {
        let listed = self
            .list
            .instances
            .iter()
            .find(|one| one.instance == *instance);
        let Some(listed) = listed.filter(|one| one.state == InstanceState::Live) else {
            return false;
        };
        let addr = listed.addr.clone();
        if self.tombstones.get(instance) == Some(&addr) {
            return false;
        }
        self.tombstones.insert(instance.clone(), addr);
        self.revision += 1;
        true
    }

    /// Notes that an instance at `addr` was asked and takes new work; whether
    /// that is news.
    pub fn on_accepting_work(&mut self, instance: &InstanceId, addr: &str) -> bool {
        let stands = self
            .tombstones
            .get(instance)
            .is_some_and(|one| &**one == addr);
        if stands {
            self.tombstones.shift_remove(instance);
            self.revision += 1;
        }
        stands
    }

    /// Instances that said that they are leaving, with their addresses.
    pub fn tombstones(&self) -> impl Iterator<Item = (&InstanceId, &Arc<str>)> {
        self.tombstones.iter()
    }

    /// The list in use.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// The view for the request path.
    pub fn view(&self) -> Membership {
        let all = self.list.instances.clone();
        let live = all
            .iter()
            .filter(|one| one.state == InstanceState::Live)
            .filter(|one| !self.tombstones.contains_key(&one.instance))
            .cloned()
            .collect();
        Membership::new(live, all, self.revision)
    }
}
