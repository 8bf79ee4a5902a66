//! The internal methods through which a process passes on its shared state.

use std::sync::Arc;

use rpc::{
    methods::{Answered, Call, CompareGenerations, GetConfig, GetMembership},
    MethodError, Methods,
};
use types::InstanceId;

use crate::SharedState;

/// What a process's method state must offer.
pub trait Shares: Send + Sync + 'static {
    /// Own instance.
    fn instance(&self) -> &InstanceId;
    /// The shared state.
    fn shared(&self) -> &Arc<SharedState>;
}

/// Adds the methods that pass on configuration and membership.
pub fn serve<S: Shares>(methods: Methods<S>) -> Methods<S> {
    methods
        .with::<GetConfig, _, _>(|call, state: Arc<S>| async move {
            let bundle = state.shared().config_bundle(&call.params);
            Ok::<_, MethodError>(answered(&*state, &call, bundle))
        })
        .with::<GetMembership, _, _>(|call, state: Arc<S>| async move {
            let view = state.shared().membership_view();
            Ok(answered(&*state, &call, view))
        })
        .with::<CompareGenerations, _, _>(|call, state: Arc<S>| async move {
            Ok(answered(&*state, &call, ()))
        })
}

fn answered<S: Shares, P, A>(state: &S, call: &Call<P>, answer: A) -> Answered<A> {
    let shared = state.shared();
    shared.on_sender_generation(&call.sender, call.generation);
    Answered {
        sender: state.instance().clone(),
        generation: shared.generation(),
        answer,
    }
}
