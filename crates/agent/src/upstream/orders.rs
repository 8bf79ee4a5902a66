//! The engine's `/orders` API: lists loaded adapters and loads more.

use serde::Deserialize;
use serde_json::json;
use trillium_client::KnownHeaderName;

use super::{Fault, Upstream};

const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// Outcome of an order to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The engine has executed the order.
    Applied,
    /// The engine rejected the order, since it has seen a higher fencing number.
    FencedOff,
    /// The engine rejected the order for another reason.
    Refused,
    /// No response was received; the order may have taken effect.
    NoResponse,
}

impl OrderOutcome {
    /// Returns the value used in log events.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            OrderOutcome::Applied => "applied",
            OrderOutcome::FencedOff => "fenced_off",
            OrderOutcome::Refused => "refused",
            OrderOutcome::NoResponse => "no_answer",
        }
    }
}

#[derive(Deserialize)]
struct Orders {
    orders: Vec<Order>,
}

#[derive(Deserialize)]
struct Order {
    order: String,
    name: String,
}

impl Upstream {
    /// Returns the names of the adapters that the engine was ordered to load.
    pub(crate) async fn loaded_adapters(&self) -> Result<Vec<String>, Fault> {
        let to_fault = |error: &dyn std::fmt::Display| Fault::Broken(error.to_string());
        let mut conn = self.http.get(format!("http://{}/orders", self.addr));
        (&mut conn).await.map_err(|error| to_fault(&error))?;
        let text = conn.response_body().read_string().await;
        let text = text.map_err(|error| to_fault(&error))?;
        let orders: Orders = serde_json::from_str(&text).map_err(|error| to_fault(&error))?;
        let adapters = orders.orders.into_iter();
        let adapters = adapters.filter(|order| order.order == "load_adapter");
        Ok(adapters.map(|order| order.name).collect())
    }

    /// Orders the engine to load an adapter. Dropping the future closes the
    /// connection.
    pub(crate) async fn load_adapter(&self, name: &str, fencing: u64) -> OrderOutcome {
        let body = json!({"order": "load_adapter", "name": name, "fencing": fencing}).to_string();
        let conn = self
            .http
            .post(format!("http://{}/orders", self.addr))
            .with_request_header(KnownHeaderName::Connection, "close")
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body);
        let Ok(conn) = conn.await else {
            return OrderOutcome::NoResponse;
        };
        match conn.status().map(|status| status as u16) {
            Some(STATUS_OK) => OrderOutcome::Applied,
            Some(STATUS_CONFLICT) => OrderOutcome::FencedOff,
            _ => OrderOutcome::Refused,
        }
    }
}
