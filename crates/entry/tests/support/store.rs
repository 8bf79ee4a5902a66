//! In-memory fake of the platform's store, with fault injection.

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Mutex,
    },
    time::Duration,
};

use store::{BoxFuture, Condition, Key, Listed, Object, ObjectStore, StoreError};

#[derive(Default)]
pub struct FakeStore {
    objects: Mutex<BTreeMap<Key, Object>>,
    pub down: AtomicBool,
    /// Number of subsequent writes that take effect but return
    /// [`StoreError::OutcomeUnknown`].
    pub lose_responses: AtomicU64,
    pub writes: AtomicU64,
    version: AtomicU64,
}

impl FakeStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(StoreError::Refused("down".into()));
        }
        Ok(())
    }

    fn loses_response(&self) -> bool {
        self.lose_responses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
            .is_ok()
    }

    fn write(
        &self,
        key: &Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<u64, StoreError> {
        self.check()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut objects = self.objects.lock().unwrap();
        let current = objects.get(key).map(|object| object.version);
        match condition {
            Condition::Absent if current.is_some() => return Err(StoreError::Conflict),
            Condition::Version(version) if current != Some(version) => {
                return Err(StoreError::Conflict)
            }
            _ => {}
        }
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let value = value.clone();
        objects.insert(key.clone(), Object { version, value });
        drop(objects);
        if self.loses_response() {
            return Err(StoreError::OutcomeUnknown("the response was lost".into()));
        }
        Ok(version)
    }

    pub fn objects(&self) -> BTreeMap<Key, Object> {
        self.objects.lock().unwrap().clone()
    }
}

impl ObjectStore for FakeStore {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.check()?;
            Ok(self.objects.lock().unwrap().get(key).cloned())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a serde_json::Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move { self.write(key, value, condition) })
    }

    fn delete<'a>(
        &'a self,
        key: &'a Key,
        condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.check()?;
            let mut objects = self.objects.lock().unwrap();
            let current = objects.get(key).map(|object| object.version);
            if let Condition::Version(version) = condition {
                if current.is_some_and(|current| current != version) {
                    return Err(StoreError::Conflict);
                }
            }
            objects.remove(key);
            Ok(())
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        Box::pin(async move {
            self.check()?;
            let objects = self.objects.lock().unwrap();
            let of_kind = objects.iter().filter(|(key, _)| &*key.kind == kind);
            Ok(of_kind
                .map(|(key, object)| Listed {
                    name: key.name.clone(),
                    version: object.version,
                })
                .collect())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a Key,
        after: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.check()?;
            let found = self.objects.lock().unwrap().get(key).cloned();
            if let Some(object) = found.filter(|object| object.version > after) {
                return Ok(Some(object));
            }
            smol::Timer::after(timeout).await;
            Ok(None)
        })
    }
}
