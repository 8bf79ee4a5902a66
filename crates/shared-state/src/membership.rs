//! Tracks which instances may take new work.
//!
//! The platform's list is delayed, so the announcements of the instances take
//! precedence: an instance that announced that it is leaving gets no new work,
//! even while the list shows it as live.

use indexmap::IndexMap;
use std::sync::Arc;
use store::{Instance, InstanceList, InstanceState};
use types::{InstanceId, UpstreamName};

/// Number of consecutive lists with a lower version that are ignored. The next
/// one is accepted: the platform is then assumed to have reset its list.
const MAX_IGNORED_OLDER_LISTS: u32 = 3;

/// Snapshot of the instances, indexed for the request path.
#[derive(Debug, Default)]
pub struct Membership {
    /// Instances that may take new work: those that are listed as live and have
    /// not announced that they are leaving.
    pub live: Vec<Instance>,
    /// All instances on the list, including those that are leaving.
    pub all: Vec<Instance>,
    /// Number of changes of the list or the tombstones since the process started.
    pub revision: u64,
    /// Indices in `live` of the agents of each upstream.
    live_by_upstream: IndexMap<UpstreamName, Vec<usize>>,
    /// Index in `all` of each instance.
    all_by_id: IndexMap<InstanceId, usize>,
}

impl Membership {
    /// Creates a snapshot. `live` are the instances that may take new work, `all`
    /// also includes those that are leaving.
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

    /// Returns the agents of an upstream that may take new work.
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

    /// Returns a listed instance by its id, whether it is live or leaving.
    pub fn find(&self, instance: &InstanceId) -> Option<&Instance> {
        let index = self.all_by_id.get(instance)?;
        self.all.get(*index)
    }
}

/// Combines the platform's list with the announcements of the instances.
/// Performs no I/O.
///
/// An instance that announced that it is leaving while the list shows it as
/// live has a tombstone, which excludes it from new work.
///
/// # Invariants
///
/// The list in use has the highest version since the platform last reset its
/// list. A tombstone is only removed when the list shows its instance as
/// leaving, absent or at another address, or when the instance itself responds
/// that it accepts work.
#[derive(Debug, Default)]
pub struct MembershipTracker {
    list: InstanceList,
    consecutive_older_lists: u32,
    /// Address of each instance that announced that it is leaving.
    tombstones: IndexMap<InstanceId, Arc<str>>,
    revision: u64,
}

impl MembershipTracker {
    /// Handles a list from the platform or from a peer; returns whether the view
    /// changed. An empty list is ignored: it should contain at least this
    /// process, so the platform must have lost its data.
    pub fn on_list(&mut self, list: InstanceList) -> bool {
        if list.instances.is_empty() {
            return false;
        }
        if list.version < self.list.version
            && self.consecutive_older_lists < MAX_IGNORED_OLDER_LISTS
        {
            self.consecutive_older_lists += 1;
            return false;
        }
        self.consecutive_older_lists = 0;
        if list == self.list {
            return false;
        }
        self.list = list;
        let instances = &self.list.instances;
        self.tombstones.retain(|id, addr| {
            let listed = instances.iter().find(|listed| listed.instance == *id);
            listed.is_some_and(|listed| listed.state == InstanceState::Live && listed.addr == *addr)
        });
        self.revision += 1;
        true
    }

    /// Handles the announcement of an instance that it is leaving. Returns
    /// whether it was added to the tombstones; false for an instance that is not
    /// listed as live.
    pub fn on_leaving(&mut self, instance: &InstanceId) -> bool {
        let listed = self
            .list
            .instances
            .iter()
            .find(|listed| listed.instance == *instance);
        let Some(listed) = listed.filter(|listed| listed.state == InstanceState::Live) else {
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

    /// Handles the response of an instance at `addr` that it accepts new work.
    /// Returns whether its tombstone was removed.
    pub fn on_accepting_work(&mut self, instance: &InstanceId, addr: &str) -> bool {
        let has_tombstone = self
            .tombstones
            .get(instance)
            .is_some_and(|tombstone_addr| &**tombstone_addr == addr);
        if has_tombstone {
            self.tombstones.shift_remove(instance);
            self.revision += 1;
        }
        has_tombstone
    }

    /// Returns the ids and addresses of the instances that are excluded from new
    /// work because they announced that they are leaving.
    pub fn tombstones(&self) -> impl Iterator<Item = (&InstanceId, &Arc<str>)> {
        self.tombstones.iter()
    }

    /// Returns the list in use.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// Builds the snapshot for the request path.
    pub fn view(&self) -> Membership {
        let all = self.list.instances.clone();
        let live = all
            .iter()
            .filter(|listed| listed.state == InstanceState::Live)
            .filter(|listed| !self.tombstones.contains_key(&listed.instance))
            .cloned()
            .collect();
        Membership::new(live, all, self.revision)
    }
}
