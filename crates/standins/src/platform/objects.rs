//! In-memory store of versioned objects with conditional writes.

use indexmap::IndexMap;
use serde_json::Value;

/// Maximum size of a value, in bytes of JSON text.
pub(crate) const VALUE_MAX_BYTES: usize = 1 << 20;

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    Always,
    Absent,
    Version(u64),
}

/// A write was rejected because its condition did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Conflict {
    /// Current version of the object; 0 if it does not exist.
    pub(crate) version: u64,
}

/// A stored value with its version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Object {
    pub(crate) version: u64,
    pub(crate) value: Value,
}

/// All objects by kind and name.
///
/// # Invariants
///
/// Versions come from one counter, so an object that is deleted and created
/// again gets a higher version.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    by_kind: IndexMap<String, IndexMap<String, Object>>,
    last_version: u64,
}

impl Objects {
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.by_kind.get(kind)?.get(name)
    }

    pub(crate) fn list(&self, kind: &str) -> impl Iterator<Item = (&String, &Object)> {
        self.by_kind.get(kind).into_iter().flatten()
    }

    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Result<u64, Conflict> {
        self.check_condition(kind, name, condition)?;
        self.last_version += 1;
        let object = Object {
            version: self.last_version,
            value,
        };
        self.by_kind
            .entry(kind.into())
            .or_default()
            .insert(name.into(), object);
        Ok(self.last_version)
    }

    /// Deletes an object; returns `false` if it does not exist.
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<bool, Conflict> {
        if self.get(kind, name).is_none() {
            return Ok(false);
        }
        self.check_condition(kind, name, condition)?;
        if let Some(objects) = self.by_kind.get_mut(kind) {
            objects.swap_remove(name);
        }
        Ok(true)
    }

    fn check_condition(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<(), Conflict> {
        let version = self.get(kind, name).map_or(0, |object| object.version);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => version == 0,
            Condition::Version(expected) => version == expected,
        };
        if holds {
            Ok(())
        } else {
            Err(Conflict { version })
        }
    }
}
