//! RPC methods through which a process provides its shared state to peers.

use std::sync::Arc;

use rpc::{
    methods::{Call, CompareGenerations, GetConfig, GetMembership, Method, RpcResponse},
    MethodError, Methods,
};
use types::InstanceId;

use crate::SharedState;

/// Adds the methods [`GetConfig`], [`GetMembership`] and [`CompareGenerations`]
/// to `methods`, so that peers can read configuration and membership from
/// `instance`.
pub fn register_methods<S: Send + Sync + 'static>(
    methods: Methods<S>,
    instance: InstanceId,
    shared: Arc<SharedState>,
) -> Methods<S> {
    let context = Context { instance, shared };
    let methods = add_method::<GetConfig, S>(methods, &context, |shared, params| {
        shared.config_bundle(params)
    });
    let methods =
        add_method::<GetMembership, S>(methods, &context, |shared, ()| shared.membership_view());
    add_method::<CompareGenerations, S>(methods, &context, |_, ()| ())
}

/// The responding instance and its shared state.
#[derive(Clone)]
struct Context {
    instance: InstanceId,
    shared: Arc<SharedState>,
}

fn add_method<M: Method, S: Send + Sync + 'static>(
    methods: Methods<S>,
    context: &Context,
    handler: fn(&SharedState, &M::Params) -> M::Response,
) -> Methods<S> {
    let context = context.clone();
    methods.with::<M, _, _>(move |call, _| respond(context.clone(), call, handler))
}

/// Handles the sender's generation and wraps the result of `handler` in the
/// response envelope.
async fn respond<P, A>(
    context: Context,
    call: Call<P>,
    handler: fn(&SharedState, &P) -> A,
) -> Result<RpcResponse<A>, MethodError> {
    let Context { instance, shared } = context;
    shared.on_sender_generation(&call.sender, call.generation);
    Ok(RpcResponse {
        sender: instance,
        generation: shared.generation(),
        answer: handler(&shared, &call.params),
    })
}
