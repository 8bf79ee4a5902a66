//! An object store in memory.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use serde_json::Value;
use store::{BoxFuture, Condition, Key, Listed, Object, ObjectStore, StoreError};

/// Object store in memory that refuses every call while it is set to down.
#[derive(Default)]
pub struct MemoryStore {
    objects: Mutex<IndexMap<Key, Object>>,
    is_down: Mutex<bool>,
}

impl MemoryStore {
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    pub fn set_down(&self, is_down: bool) {
        *self.is_down.lock().unwrap() = is_down;
    }

    pub fn value(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = self.objects.lock().unwrap();
        let object = objects.get(&Key::new(kind, name))?;
        Some(object.value.clone())
    }

    fn check(&self) -> Result<(), StoreError> {
        match *self.is_down.lock().unwrap() {
            true => Err(StoreError::Refused("down".into())),
            false => Ok(()),
        }
    }
}

impl ObjectStore for MemoryStore {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.check()?;
            Ok(self.objects.lock().unwrap().get(key).cloned())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.check()?;
            let mut objects = self.objects.lock().unwrap();
            let found = objects.get(key).map(|object| object.version);
            let condition_met = match condition {
                Condition::None => true,
                Condition::Absent => found.is_none(),
                Condition::Version(version) => found == Some(version),
            };
            if !condition_met {
                return Err(StoreError::Conflict);
            }
            let version = found.unwrap_or(0) + 1;
            let value = value.clone();
            objects.insert(key.clone(), Object { version, value });
            Ok(version)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a Key,
        _condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.check()?;
            self.objects.lock().unwrap().shift_remove(key);
            Ok(())
        })
    }

    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        Box::pin(async move { Ok(Vec::new()) })
    }

    fn watch<'a>(
        &'a self,
        _key: &'a Key,
        _after: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            smol::Timer::after(timeout).await;
            Ok(None)
        })
    }
}
