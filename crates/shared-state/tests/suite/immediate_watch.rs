//! Call rate with a store whose watches return immediately without a change.

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

/// Time in which calls are counted.
const TEST_DURATION: Duration = Duration::from_secs(2);
/// Calls that one process may make in this time. At 330 processes this is about
/// the 2,000 reads per second that a store accepts.
const MAX_CALLS: usize = 12;

/// Answers every read and watch immediately, and counts them.
#[derive(Default)]
struct ImmediateStore {
    calls: AtomicUsize,
}

impl ImmediateStore {
    fn count(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
}

impl ObjectStore for ImmediateStore {
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

impl InstanceSource for ImmediateStore {
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
fn watches_that_return_immediately_are_repeated_after_delay() {
    let store = Arc::new(ImmediateStore::default());
    let secrets = Arc::new(PeerSecrets::new("a-secret-of-sixteen", None));
    let _state = SharedState::start(
        Settings::builder()
            .instance("entry-1".into())
            .store(store.clone())
            .instances(store.clone())
            .peers(rpc::Client::new("entry-1".into(), secrets))
            .build(),
    );

    std::thread::sleep(TEST_DURATION);

    let calls = store.calls.load(Ordering::Relaxed);
    assert!(
        (2..=MAX_CALLS).contains(&calls),
        "{calls} calls in {TEST_DURATION:?}"
    );
}
