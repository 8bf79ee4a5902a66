//! Updates the instance list and the configuration that the platform of a
//! cluster serves, and reads its call counters.

use std::time::SystemTime;

use config::Document;
use serde_json::{json, Value};
use shared_state::{SessionId, Submission};
use store::{HttpPlatform, Instance};
use trillium_client::Method;
use types::Generation;

use super::{Cluster, Kind};
use crate::{http::call_json, HarnessError};

impl Cluster {
    /// Adds an agent or entry to the platform's instance list, or updates its
    /// state; `state` is `live` or `leaving`.
    ///
    /// # Errors
    ///
    /// Returns an error if no agent or entry has this name, or if the platform
    /// does not respond.
    pub async fn register(&self, name: &str, state: &str) -> Result<(), HarnessError> {
        let unknown = || HarnessError::UnknownName(name.into());
        let member = self.members.get(name).ok_or_else(unknown)?;
        let (role, upstream) = match &member.kind {
            Kind::Entry => ("entry", None),
            Kind::Agent { upstream } => ("agent", Some(upstream)),
            Kind::Engine | Kind::Service => return Err(unknown()),
        };
        let mut record = json!({
            "instance": name,
            "role": role,
            "zone": member.zone,
            "addr": member.process.internal_addr(),
            "state": state,
        });
        if let Some(upstream) = upstream {
            record["upstream"] = upstream.as_str().into();
        }
        self.register_record(&record).await
    }

    /// Adds a live agent to the instance list with the address of the agent `of`,
    /// so that a few processes can represent many instances.
    ///
    /// # Errors
    ///
    /// Returns an error if `of` is unknown or the platform does not respond.
    pub async fn register_alias(
        &self,
        instance: &str,
        of: &str,
        upstream: &str,
    ) -> Result<(), HarnessError> {
        let record = json!({
            "instance": instance,
            "role": "agent",
            "upstream": upstream,
            "zone": self.zone(0),
            "addr": self.process(of)?.internal_addr(),
            "state": "live",
        });
        self.register_record(&record).await
    }

    async fn register_record(&self, record: &Value) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances", self.platform_addr());
        call_json(&self.http, Method::Post, &url, Some(record.to_string())).await?;
        Ok(())
    }

    /// Adds an instance to the instance list that is not a process of the cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn register_instance(&self, instance: &Instance) -> Result<(), HarnessError> {
        // Serialization of a struct of strings and enums can't fail.
        let record = serde_json::to_value(instance).unwrap_or_default();
        self.register_record(&record).await
    }

    /// Removes a process from the platform's instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn deregister(&self, name: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances/{name}", self.platform_addr());
        call_json(&self.http, Method::Delete, &url, None).await?;
        Ok(())
    }

    /// Submits a configuration document in the same way as an operator session;
    /// returns its generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is rejected or the result of the write is
    /// unknown.
    pub async fn submit(&self, document: Document) -> Result<Generation, HarnessError> {
        let failed = |reason: String| HarnessError::Config(reason);
        let store = HttpPlatform::new(self.platform_addr());
        let base = shared_state::read_head(&store)
            .await
            .map_err(|error| failed(error.to_string()))?
            .map_or(Generation(0), |stored| stored.head.generation);
        let submission = Submission::builder()
            .document(document)
            .session(SessionId::new(base, rand::random()))
            .submitter("harness".into())
            .submitted_unix_ms(unix_ms())
            .build();
        let submitted = shared_state::submit(&store, &submission)
            .await
            .map_err(|error| failed(error.to_string()))?;
        Ok(submitted.generation)
    }

    /// Returns the numbers of calls to the platform since its start: `reads`,
    /// `writes`, `watches` and `instances`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn platform_calls(&self) -> Result<Value, HarnessError> {
        let url = format!("http://{}/admin/calls", self.platform_addr());
        call_json(&self.http, Method::Get, &url, None).await
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
