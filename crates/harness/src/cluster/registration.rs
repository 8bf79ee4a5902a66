//! What the platform of a fleet knows: its instance list and configuration.

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
    /// Puts an agent or entry on the platform's list, as `live` or `leaving`.
    ///
    /// # Errors
    ///
    /// When there is none of this name or the platform does not answer.
    pub async fn register(&self, name: &str, state: &str) -> Result<(), HarnessError> {
        let unknown = || HarnessError::UnknownName(name.into());
        let member = self.members.get(name).ok_or_else(unknown)?;
        let (role, upstream) = match &member.kind {
            Kind::Entry => ("entry", None),
            Kind::Agent { upstream } => ("agent", Some(upstream)),
            Kind::Engine | Kind::Service => return Err(unknown()),
        };
        let mut line = json!({
            "instance": name,
            "role": role,
            "zone": member.zone,
            "addr": member.process.internal_addr(),
            "state": state,
        });
        if let Some(upstream) = upstream {
            line["upstream"] = upstream.as_str().into();
        }
        self.register_line(&line).await
    }

    /// Lists one more live agent that is in truth the agent `of`, so that a
    /// few processes look like many.
    ///
    /// # Errors
    ///
    /// When there is none of this name or the platform does not answer.
    pub async fn register_alias(
        &self,
        instance: &str,
        of: &str,
        upstream: &str,
    ) -> Result<(), HarnessError> {
        let line = json!({
            "instance": instance,
            "role": "agent",
            "upstream": upstream,
            "zone": self.zone(0),
            "addr": self.process(of)?.internal_addr(),
            "state": "live",
        });
        self.register_line(&line).await
    }

    async fn register_line(&self, line: &Value) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances", self.platform_addr());
        call_json(&self.http, Method::Post, &url, Some(line.to_string())).await?;
        Ok(())
    }

    /// Adds a line to the instance list that belongs to no process of the fleet.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn register_instance(&self, instance: &Instance) -> Result<(), HarnessError> {
        // A struct of names: serialization can't fail.
        let line = serde_json::to_value(instance).unwrap_or_default();
        self.register_line(&line).await
    }

    /// Takes a process off the platform's list.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn deregister(&self, name: &str) -> Result<(), HarnessError> {
        let url = format!("http://{}/admin/instances/{name}", self.platform_addr());
        call_json(&self.http, Method::Delete, &url, None).await?;
        Ok(())
    }

    /// Submits a document as an operator's session does; its generation.
    ///
    /// # Errors
    ///
    /// When it is not taken, or it is not known whether it was.
    pub async fn submit(&self, document: Document) -> Result<Generation, HarnessError> {
        let refused = |reason: String| HarnessError::Config(reason);
        let store = HttpPlatform::new(self.platform_addr());
        let base = shared_state::read_head(&store)
            .await
            .map_err(|error| refused(error.to_string()))?
            .map_or(Generation(0), |stored| stored.head.generation);
        let submission = Submission::builder()
            .document(document)
            .session(SessionId::new(base, rand::random()))
            .submitter("harness".into())
            .submitted_unix_ms(unix_ms())
            .build();
        let submitted = shared_state::submit(&store, &submission)
            .await
            .map_err(|error| refused(error.to_string()))?;
        Ok(submitted.generation)
    }

    /// Calls that the platform has counted: `reads`, `writes`, `watches`, `instances`.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn platform_calls(&self) -> Result<Value, HarnessError> {
        let url = format!("http://{}/admin/calls", self.platform_addr());
        call_json(&self.http, Method::Get, &url, None).await
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
