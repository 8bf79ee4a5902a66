//! Orders to load a model or an adapter or to set the role, with fencing.

use serde::{Deserialize, Serialize};

/// An order with the fencing number of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// Type of the order: `load_model`, `load_adapter` or `set_role`.
    pub(crate) order: String,
    pub(crate) name: String,
    pub(crate) fencing: u64,
}

/// Applied orders, the oldest first, and the highest fencing number.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    applied: Vec<Order>,
    highest_fencing: u64,
}

impl Orders {
    /// Applies an order; returns `false` if it is refused because its fencing
    /// number is lower than the highest one.
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
