//! Orders to load models or adapters or to change role, with fencing.

use serde::{Deserialize, Serialize};

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// `load_model`, `load_adapter` or `set_role`.
    pub(crate) order: String,
    pub(crate) name: String,
    pub(crate) fencing: u64,
}

/// The orders that took effect, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    applied: Vec<Order>,
    highest_fencing: u64,
}

impl Orders {
    /// Applies an order; `false` if it carries an old number and is refused.
    pub(crate) fn apply(&mut self, order: Order, checks_fencing: bool) -> bool {
        if checks_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.applied.push(order);
        true
    }

    pub(crate) fn applied(&self) -> &[Order] {
        &self.applied
    }
}
