//! JSON-RPC methods of entries and agents, with their parameters and results.

use policy::{quarantine::Evidence, schedule::LoadReport, schedule::Recall};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use store::InstanceList;
use types::{Generation, InstanceId, RequestId};

/// A JSON-RPC method, with the types of its parameters and its result.
pub trait Method {
    /// Method name in the JSON-RPC request.
    const NAME: &'static str;
    /// Parameters, which [`Call::params`] carries.
    type Params: Serialize + DeserializeOwned + Send + Sync + 'static;
    /// Result, which [`RpcResponse::answer`] carries.
    type Response: Serialize + DeserializeOwned + Send + Sync + Clone + 'static;
}

/// Envelope of the parameters of every call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call<P> {
    /// Instance that makes the call; commands of operators send `operator`.
    pub sender: InstanceId,
    /// Generation of the configuration in force at the sender.
    pub generation: Generation,
    /// Parameters of the called method, of type [`Method::Params`].
    pub params: P,
}

/// Envelope of the result of every call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RpcResponse<A> {
    /// Instance that responds.
    pub sender: InstanceId,
    /// Generation of the configuration in force at the responding instance.
    pub generation: Generation,
    /// Result of the called method, of type [`Method::Response`].
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
    /// Withdraws a request that has not started, or optionally cancels one that has.
    /// Served by agents.
    RecallRequest = "recall": RecallParams => RecallResponse;
    /// Returns the state of the process. Served by entries and agents.
    GetStatus = "status": () => Status;
    /// Returns the head and the shards of the configuration in force if it is newer
    /// than the caller's. Served by entries and agents.
    GetConfig = "config": GetConfigParams => Option<ConfigBundle>;
    /// Returns the instance list in use, for a process that starts while the
    /// platform is unavailable. Served by entries and agents.
    GetMembership = "membership": () => MembershipView;
    /// Exchanges only the generations, which the envelopes carry. Served by entries
    /// and agents.
    CompareGenerations = "generations": () => ();
    /// Exchanges evidence about contents that crashed upstreams. Served by entries
    /// and agents.
    ExchangeEvidence = "evidence": Vec<Evidence> => Vec<Evidence>;
    /// Starts a graceful shutdown. Served by entries and agents.
    Drain = "drain": () => ();
}

/// Parameters of [`RecallRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecallParams {
    /// Id of the request to withdraw.
    pub request_id: RequestId,
    /// Whether to cancel the request if it has started.
    pub cancel: bool,
}

/// Result of [`RecallRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallResponse {
    /// Whether the request was withdrawn or may already have started.
    pub recall: Recall,
}

/// Parameters of [`GetConfig`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetConfigParams {
    /// Generation at the caller; a configuration is only returned if it is newer.
    pub above: Generation,
    /// Digests of the shards that the caller has, which are not returned.
    pub known_shards: Vec<String>,
}

/// A configuration, as sent between processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Value of the head object.
    pub head: serde_json::Value,
    /// Digest and value of each shard that the caller lacks.
    pub shards: Vec<(String, serde_json::Value)>,
}

/// The instance list that a process uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Newest list that the process received.
    pub list: InstanceList,
    /// Instances that announced that they are leaving while the list shows them
    /// as live.
    pub leaving: Vec<InstanceId>,
    /// Time since calls to the platform for the list began to fail, in
    /// milliseconds; 0 if the last call succeeded.
    pub age_ms: u64,
}

/// State of a process, as shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Id of the process.
    pub instance: InstanceId,
    /// Role of the process: `entry` or `agent`.
    pub role: String,
    /// Generation of the configuration in force.
    pub generation: Generation,
    /// Whether the process is shutting down and accepts no new work.
    pub draining: bool,
    /// Number of requests that the process is handling.
    pub in_flight: u32,
    /// Load of an agent; `None` for an entry.
    pub load: Option<LoadReport>,
    /// Upstream instances in the pools of an entry, with the number of requests in
    /// flight to each.
    pub upstreams: Vec<(InstanceId, u32)>,
    /// Time since calls to the platform for the instance list began to fail, in
    /// milliseconds; 0 if the last call succeeded.
    pub membership_age_ms: u64,
}
