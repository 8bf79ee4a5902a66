//! Pools of candidate instances per upstream, rebuilt when the membership changes.

use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use policy::choice::{Member, Pool};
use rapidhash::v3::rapidhash_v3;
use shared_state::Membership;
use types::{InstanceId, UpstreamName, ZoneName};

use crate::Settings;

/// Immutable snapshot of all pools at one membership revision.
#[derive(Default)]
pub(crate) struct PoolView {
    revision: u64,
    pools: IndexMap<UpstreamName, Arc<Pool>>,
    addrs: IndexMap<InstanceId, Arc<str>>,
}

impl PoolView {
    /// Returns the pool of an upstream; `None` if it has no live instance.
    pub(crate) fn pool(&self, upstream: &UpstreamName) -> Option<&Arc<Pool>> {
        self.pools.get(upstream)
    }

    /// Returns the internal address of a live instance.
    pub(crate) fn addr(&self, instance: &InstanceId) -> Option<&Arc<str>> {
        self.addrs.get(instance)
    }

    /// Iterates over all pools, for the status call.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }
}

/// Holder of the current [`PoolView`].
///
/// # Invariants
///
/// A view is never modified, only replaced; readers take no lock.
pub(crate) struct Pools {
    view: ArcSwap<PoolView>,
    zone: ZoneName,
    subset_max: usize,
    salt: u64,
}

impl Pools {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            view: ArcSwap::default(),
            zone: settings.zone.clone(),
            subset_max: settings.subset_max,
            salt: rapidhash_v3(settings.instance.as_str().as_bytes()),
        }
    }

    /// Returns the pools for a membership, and rebuilds them first if its revision
    /// is newer. Statistics of remaining instances are carried over.
    pub(crate) fn view_for(&self, membership: &Membership) -> Arc<PoolView> {
        let view = self.view.load_full();
        if view.revision >= membership.revision {
            return view;
        }
        self.view.rcu(|current| {
            if current.revision >= membership.revision {
                return current.clone();
            }
            Arc::new(self.rebuild(current, membership))
        });
        self.view.load_full()
    }

    fn rebuild(&self, current: &PoolView, membership: &Membership) -> PoolView {
        let mut members: IndexMap<UpstreamName, Vec<Member>> = IndexMap::new();
        let mut addrs = IndexMap::new();
        for instance in &membership.live {
            let Some(upstream) = &instance.upstream else {
                continue;
            };
            addrs.insert(instance.instance.clone(), instance.addr.clone());
            members.entry(upstream.clone()).or_default().push(Member {
                instance: instance.instance.clone(),
                zone: instance.zone.clone(),
            });
        }
        let empty = Pool::default();
        let pools = members
            .into_iter()
            .map(|(upstream, members)| {
                let previous = current.pools.get(&upstream).map_or(&empty, |pool| pool);
                let next = previous.with_members(&members, &self.zone, self.subset_max, self.salt);
                (upstream, Arc::new(next))
            })
            .collect();
        PoolView {
            revision: membership.revision,
            pools,
            addrs,
        }
    }
}
