//! The internal methods through which a process passes on its shared state.

use std::sync::Arc;

use rpc::{
    methods::{Call, CompareGenerations, GetConfig, GetMembership, Method, RpcResponse},
    MethodError, Methods,
};
use types::InstanceId;

use crate::SharedState;

/// Adds the methods that pass on configuration and membership to those that
/// `instance` serves: [`GetConfig`], [`GetMembership`] and
/// [`CompareGenerations`].
pub fn register_methods<S: Send + Sync + 'static>(
    methods: Methods<S>,
    instance: InstanceId,
    shared: Arc<SharedState>,
) -> Methods<S> {
    let from = Source { instance, shared };
    let methods = add::<GetConfig, S>(methods, &from, |shared, params| {
        shared.config_bundle(params)
    });
    let methods = add::<GetMembership, S>(methods, &from, |shared, ()| shared.membership_view());
    add::<CompareGenerations, S>(methods, &from, |_, ()| ())
}

/// Who passes on what.
#[derive(Clone)]
struct Source {
    instance: InstanceId,
    shared: Arc<SharedState>,
}

fn add<M: Method, S: Send + Sync + 'static>(
    methods: Methods<S>,
    from: &Source,
    answer: fn(&SharedState, &M::Params) -> M::Response,
) -> Methods<S> {
    let from = from.clone();
    methods.with::<M, _, _>(move |call, _| answered(from.clone(), call, answer))
}

async fn answered<P, A>(
    from: Source,
    call: Call<P>,
    answer: fn(&SharedState, &P) -> A,
) -> Result<RpcResponse<A>, MethodError> {
    let Source { instance, shared } = from;
    shared.on_sender_generation(&call.sender, call.generation);
    Ok(RpcResponse {
        sender: instance,
        generation: shared.generation(),
        answer: answer(&shared, &call.params),
    })
}
