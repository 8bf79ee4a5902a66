//! An in-memory store whose calls fail in a given sequence.

use std::{collections::VecDeque, sync::Mutex, time::Duration};

use serde_json::Value;
use store::{BoxFuture, Condition, Key, Listed, Object, ObjectStore, StoreError};

/// Outcome of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The call succeeds and its response arrives.
    Answered,
    /// The call is refused without effect.
    Refused,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The response is lost; a write takes effect after [`DELAY_CALLS`] more
    /// calls.
    Delayed,
    /// Another session writes the head just before this call.
    ConcurrentUpdate,
}

/// A conditional write.
#[derive(Clone, Debug)]
struct Write {
    key: Key,
    value: Value,
    condition: Condition,
}

#[derive(Debug, Default)]
struct State {
    objects: Vec<(Key, Object)>,
    /// All values that the head object has had, oldest first.
    heads: Vec<Value>,
    outcomes: VecDeque<CallOutcome>,
    /// Writes with the number of calls until they take effect.
    delayed: VecDeque<(u32, Write)>,
    concurrent_head: Option<Value>,
    last_version: u64,
}

#[derive(Debug, Default)]
pub(crate) struct FlakyStore {
    state: Mutex<State>,
}

/// Number of calls after which a delayed write takes effect.
const DELAY_CALLS: u32 = 3;

impl FlakyStore {
    /// Creates a store whose next calls have these outcomes; later ones succeed.
    pub(crate) fn new(outcomes: &[CallOutcome]) -> Self {
        let store = Self::default();
        store.set_outcomes(outcomes);
        store
    }

    pub(crate) fn set_outcomes(&self, outcomes: &[CallOutcome]) {
        self.state.lock().expect("not poisoned").outcomes = outcomes.iter().copied().collect();
    }

    /// Sets the head that another session writes at
    /// [`CallOutcome::ConcurrentUpdate`].
    pub(crate) fn set_concurrent_head(&self, head: Value) {
        self.state.lock().expect("not poisoned").concurrent_head = Some(head);
    }

    /// Completes all delayed writes; returns all values that the head has had.
    pub(crate) fn complete_delayed_writes(&self) -> Vec<Value> {
        let mut state = self.state.lock().expect("not poisoned");
        while let Some((_, write)) = state.delayed.pop_front() {
            let _ = state.write(&write);
        }
        state.heads.clone()
    }

    fn call<T>(
        &self,
        act: impl FnOnce(&mut State, CallOutcome) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = self.state.lock().expect("not poisoned");
        state.advance_delayed_writes();
        let outcome = state.outcomes.pop_front().unwrap_or(CallOutcome::Answered);
        let lost = StoreError::OutcomeUnknown("the response was lost".into());
        match outcome {
            CallOutcome::Refused => Err(StoreError::Refused("down".into())),
            CallOutcome::ResponseLost => act(&mut state, outcome).and(Err(lost)),
            CallOutcome::Delayed => {
                let _ = act(&mut state, outcome);
                Err(lost)
            }
            CallOutcome::ConcurrentUpdate => {
                state.write_concurrent_head();
                act(&mut state, outcome)
            }
            CallOutcome::Answered => act(&mut state, outcome),
        }
    }
}

impl State {
    fn advance_delayed_writes(&mut self) {
        for (remaining_calls, _) in &mut self.delayed {
            *remaining_calls = remaining_calls.saturating_sub(1);
        }
        while self
            .delayed
            .front()
            .is_some_and(|(remaining_calls, _)| *remaining_calls == 0)
        {
            if let Some((_, write)) = self.delayed.pop_front() {
                let _ = self.write(&write);
            }
        }
    }

    fn write_concurrent_head(&mut self) {
        let Some(value) = self.concurrent_head.take() else {
            return;
        };
        let write = Write {
            key: shared_state::head_key(),
            value,
            // The other session also started without a configuration.
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
        let condition_met = match write.condition {
            Condition::None => true,
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
        };
        if !condition_met {
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
        Box::pin(async move { self.call(|state, _| Ok(state.find(key).cloned())) })
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
            self.call(|state, outcome| {
                if outcome == CallOutcome::Delayed {
                    state.delayed.push_back((DELAY_CALLS, write));
                    return Ok(0);
                }
                state.write(&write)
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
            self.call(|state, _| {
                Ok(state
                    .find(key)
                    .filter(|object| object.version > after)
                    .cloned())
            })
        })
    }
}
