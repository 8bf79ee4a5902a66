//! JSON-RPC methods of entries and agents.

use policy::{quarantine::Evidence, schedule::LoadReport, schedule::Recall};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use store::InstanceList;
use types::{Generation, InstanceId, RequestId};

/// A JSON-RPC method with its types.
pub trait Method {
    /// Name on the wire.
    const NAME: &'static str;
    /// What is sent.
    type Params: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// What comes back.
    type Response: Serialize + DeserializeOwned + Send + Sync + Clone + 'static;
}

/// Envelope of every call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call<P> {
    /// Caller's instance; operators' commands send `operator`.
    pub sender: InstanceId,
    /// Configuration in force at the caller.
    pub generation: Generation,
    /// The method's own parameters.
    pub params: P,
}

/// Envelope of every answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RpcResponse<A> {
    /// Who answered.
    pub sender: InstanceId,
    /// Configuration in force there.
    pub generation: Generation,
    /// The method's own answer.
    pub answer: A,
}

macro_rules! methods {
    ($($(#[$doc:meta])* $method:ident = $name:literal: $params:ty => $answer:ty;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug)]
        pub struct $method;

        impl Method for $method {
            const NAME: &'static str = $name;
            type Params = $params;
            type Response = $answer;
        }
    )*};
}

methods! {
    /// Takes back a request that has not started (agent).
    RecallRequest = "recall": RecallParams => RecallResponse;
    /// State of the process (entry and agent).
    GetStatus = "status": () => Status;
    /// The configuration in force, as its head and shards (entry and agent).
    GetConfig = "config": GetConfigParams => Option<ConfigBundle>;
    /// The instance list in use, for a process that starts in an outage (entry and agent).
    GetMembership = "membership": () => MembershipView;
    /// Tells and asks nothing but the generations in the envelopes (entry and agent).
    CompareGenerations = "generations": () => ();
    /// Exchanges evidence about crashes (entry and agent).
    ExchangeEvidence = "evidence": Vec<Evidence> => Vec<Evidence>;
    /// Starts a graceful shutdown (entry and agent).
    Drain = "drain": () => ();
}

/// Parameters of [`RecallRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecallParams {
    /// The request.
    pub request_id: RequestId,
    /// Whether to cancel it if it has started.
    pub cancel: bool,
}

/// Answer of [`RecallRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallResponse {
    /// What became of the request.
    pub recall: Recall,
}

/// Parameters of [`GetConfig`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetConfigParams {
    /// Only answer with a generation above this one.
    pub above: Generation,
    /// Digests of shards that the caller has already.
    pub known_shards: Vec<String>,
}

/// A configuration as it travels between processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// The head object's value.
    pub head: serde_json::Value,
    /// Shards by digest, without those the caller knows.
    pub shards: Vec<(String, serde_json::Value)>,
}

/// The instance list as a process uses it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The list.
    pub list: InstanceList,
    /// Instances that said that they are leaving while the list shows them live.
    pub leaving: Vec<InstanceId>,
    /// Time for which the platform has not confirmed the list, in milliseconds.
    pub age_ms: u64,
}

/// State of a process, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Who.
    pub instance: InstanceId,
    /// `entry` or `agent`.
    pub role: String,
    /// Configuration in force.
    pub generation: Generation,
    /// Whether it takes new work.
    pub draining: bool,
    /// Requests that it holds.
    pub in_flight: u32,
    /// Load of an agent.
    pub load: Option<LoadReport>,
    /// Upstream instances that an entry knows, with the requests in flight to each.
    pub upstreams: Vec<(InstanceId, u32)>,
    /// Age of the instance list in use, in milliseconds; 0 if current.
    pub membership_age_ms: u64,
}
