//! The platform over its HTTP API.

use std::{sync::Arc, time::Duration};

use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::api::{
    BoxFuture, Condition, InstanceList, InstanceSource, Key, Listed, Object, ObjectStore,
    StoreError,
};

/// Client of the platform at one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    http: Client,
    addr: Arc<str>,
}

impl HttpPlatform {
    /// Makes a client of the platform at `addr` (`IP:port`).
    pub fn new(addr: &str) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: addr.into(),
        }
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, _key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        todo!("{:?} {}", self.http, self.addr)
    }

    fn put<'a>(
        &'a self,
        _key: &'a Key,
        _value: &'a serde_json::Value,
        _condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        todo!()
    }

    fn delete<'a>(
        &'a self,
        _key: &'a Key,
        _condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        todo!()
    }

    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        todo!()
    }

    fn watch<'a>(
        &'a self,
        _key: &'a Key,
        _after: u64,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        todo!()
    }
}

impl InstanceSource for HttpPlatform {
    fn instances(
        &self,
        _after: Option<u64>,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<Option<InstanceList>, StoreError>> {
        todo!()
    }
}
