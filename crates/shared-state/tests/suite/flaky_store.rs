//! A store in memory whose calls fail as a plan says.

use std::{collections::VecDeque, sync::Mutex, time::Duration};

use serde_json::Value;
use store::{BoxFuture, Condition, Key, Listed, Object, ObjectStore, StoreError};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It works.
    Answered,
    /// It is refused without effect.
    Refused,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// Its answer is lost; a write takes effect after later calls.
    Delayed,
    /// Another session replaces the head first.
    RivalFirst,
}

/// A write that is still under way.
#[derive(Clone, Debug)]
struct Write {
    key: Key,
    value: Value,
    condition: Condition,
}

#[derive(Debug, Default)]
struct Inner {
    objects: Vec<(Key, Object)>,
    /// Every value that the head object ever had.
    heads: Vec<Value>,
    fates: VecDeque<Fate>,
    delayed: VecDeque<(u32, Write)>,
    rival_head: Option<Value>,
    last_version: u64,
}

/// The store.
#[derive(Debug, Default)]
pub(crate) struct FlakyStore {
    inner: Mutex<Inner>,
}

/// Calls that pass before a delayed write takes effect.
const DELAY_CALLS: u32 = 3;

impl FlakyStore {
    /// A store whose calls meet these fates in turn; later ones work.
    pub(crate) fn new(fates: &[Fate]) -> Self {
        let store = Self::default();
        store.set_fates(fates);
        store
    }

    pub(crate) fn set_fates(&self, fates: &[Fate]) {
        self.inner.lock().expect("not poisoned").fates = fates.iter().copied().collect();
    }

    /// The head that a rival puts in force at [`Fate::RivalFirst`].
    pub(crate) fn set_rival(&self, head: Value) {
        self.inner.lock().expect("not poisoned").rival_head = Some(head);
    }

    /// Lets every delayed write arrive; returns all values of the head.
    pub(crate) fn settle(&self) -> Vec<Value> {
        let mut inner = self.inner.lock().expect("not poisoned");
        while let Some((_, write)) = inner.delayed.pop_front() {
            let _ = inner.write(&write);
        }
        inner.heads.clone()
    }

    fn call<T>(
        &self,
        act: impl FnOnce(&mut Inner, Fate) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut inner = self.inner.lock().expect("not poisoned");
        inner.pass_time();
        let fate = inner.fates.pop_front().unwrap_or(Fate::Answered);
        let lost = StoreError::OutcomeUnknown("the answer was lost".into());
        match fate {
            Fate::Refused => Err(StoreError::Refused("down".into())),
            Fate::AnswerLost => act(&mut inner, fate).and(Err(lost)),
            Fate::Delayed => {
                let _ = act(&mut inner, fate);
                Err(lost)
            }
            Fate::RivalFirst => {
                inner.rival_writes();
                act(&mut inner, fate)
            }
            Fate::Answered => act(&mut inner, fate),
        }
    }
}

impl Inner {
    fn pass_time(&mut self) {
        for (left, _) in &mut self.delayed {
            *left = left.saturating_sub(1);
        }
        while self.delayed.front().is_some_and(|(left, _)| *left == 0) {
            if let Some((_, write)) = self.delayed.pop_front() {
                let _ = self.write(&write);
            }
        }
    }

    fn rival_writes(&mut self) {
        let Some(value) = self.rival_head.take() else {
            return;
        };
        let write = Write {
            key: shared_state::head_key(),
            value,
            // The rival began without a configuration too.
            condition: Condition::Absent,
        };
        let _ = self.write(&write);
    }

    fn find(&self, key: &Key) -> Option<&Object> {
        let found = self.objects.iter().find(|(stored, _)| stored == key);
        found.map(|(_, object)| object)
    }

    fn write(&mut self, write: &Write) -> Result<u64, StoreError> {
        let version = self.find(&write.key).map(|object| object.version);
        let holds = match write.condition {
            Condition::None => true,
            Condition::Absent => version.is_none(),
            Condition::Version(wanted) => version == Some(wanted),
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        self.last_version += 1;
        let object = Object {
            version: self.last_version,
            value: write.value.clone(),
        };
        if write.key == shared_state::head_key() {
            self.heads.push(write.value.clone());
        }
        self.objects.retain(|(stored, _)| *stored != write.key);
        self.objects.push((write.key.clone(), object));
        Ok(self.last_version)
    }
}

impl ObjectStore for FlakyStore {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move { self.call(|inner, _| Ok(inner.find(key).cloned())) })
    }

    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        let write = Write {
            key: key.clone(),
            value: value.clone(),
            condition,
        };
        Box::pin(async move {
            self.call(|inner, fate| {
                if fate == Fate::Delayed {
                    inner.delayed.push_back((DELAY_CALLS, write));
                    return Ok(0);
                }
                inner.write(&write)
            })
        })
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
        key: &'a Key,
        after: u64,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.call(|inner, _| Ok(inner.find(key).filter(|one| one.version > after).cloned()))
        })
    }
}
