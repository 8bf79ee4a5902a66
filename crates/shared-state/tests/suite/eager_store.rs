//! A store whose watches end at once without news.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use rpc::PeerSecrets;
use serde_json::Value;
use shared_state::{Settings, SharedState};
use store::{
    BoxFuture, Condition, InstanceList, InstanceSource, Key, Listed, Object, ObjectStore,
    StoreError,
};

/// Calls that one process may make in this time: 330 of them share a store
/// that takes 2,000 reads a second.
const SPAN: Duration = Duration::from_secs(2);
const CALLS_MAX: usize = 12;

/// Answers every call at once, and counts it.
#[derive(Default)]
struct EagerStore {
    calls: AtomicUsize,
}

impl EagerStore {
    fn count(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
}

impl ObjectStore for EagerStore {
    fn get<'a>(&'a self, _key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.count();
        Box::pin(async { Ok(None) })
    }

    fn put<'a>(
        &'a self,
        _key: &'a Key,
        _value: &'a Value,
        _condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async { Err(StoreError::Refused("not used".into())) })
    }

    fn delete<'a>(
        &'a self,
        _key: &'a Key,
        _condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async { Err(StoreError::Refused("not used".into())) })
    }

    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        Box::pin(async { Err(StoreError::Refused("not used".into())) })
    }

    fn watch<'a>(
        &'a self,
        _key: &'a Key,
        _after: u64,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.count();
        Box::pin(async { Ok(None) })
    }
}

impl InstanceSource for EagerStore {
    fn instances(
        &self,
        _after: Option<u64>,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<Option<InstanceList>, StoreError>> {
        self.count();
        Box::pin(async { Ok(Some(InstanceList::default())) })
    }
}

#[test]
fn watches_that_do_not_wait_are_not_repeated_at_once() {
    let store = Arc::new(EagerStore::default());
    let secrets = Arc::new(PeerSecrets::new("a-secret-of-sixteen", None));
    let _state = SharedState::start(
        Settings::builder()
            .instance("entry-1".into())
            .store(store.clone())
            .instances(store.clone())
            .peers(rpc::Client::new("entry-1".into(), secrets))
            .build(),
    );

    std::thread::sleep(SPAN);

    let calls = store.calls.load(Ordering::Relaxed);
    assert!(
        (2..=CALLS_MAX).contains(&calls),
        "{calls} calls in {SPAN:?}"
    );
}
