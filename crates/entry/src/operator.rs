//! The operator's listener: health checks, metrics and RPC of other processes.

use std::sync::Arc;

use rpc::{
    methods::{Drain, ExchangeEvidence, GetStatus, RpcResponse, Status},
    Methods,
};
use trillium::{Conn, Handler};
use trillium_router::Router;
use types::{Generation, InstanceId};

use crate::{
    app::{lock, App},
    routes,
    server::DrainHandle,
};

/// State that the RPC methods share.
struct RpcState {
    app: Arc<App>,
    drain: DrainHandle,
}

/// Returns the handler of the operator's listener. RPC requires the peer secret;
/// health checks and metrics need no authentication.
pub(crate) fn handler(app: Arc<App>, drain: DrainHandle) -> impl Handler {
    let secrets = app.settings.secrets.clone();
    let ready_app = app.clone();
    let metrics_app = app.clone();
    let instance = app.settings.instance.clone();
    let shared = app.shared.clone();
    let methods = Methods::new(RpcState { app, drain });
    let methods = shared_state::register_methods(methods, instance, shared)
        .with::<GetStatus, _, _>(|call, state| async move {
            state.record_sender(&call.sender, call.generation);
            Ok(state.reply(state.status()))
        })
        .with::<ExchangeEvidence, _, _>(|call, state| async move {
            state.record_sender(&call.sender, call.generation);
            let now = state.app.now();
            let mut suspects = lock(&state.app.suspects);
            suspects.merge(now, &call.params);
            let evidence = suspects.export(now);
            drop(suspects);
            Ok(state.reply(evidence))
        })
        .with::<Drain, _, _>(|_call, state| async move {
            state.drain.drain();
            Ok(state.reply(()))
        });
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let app = ready_app.clone();
            async move { routes::ready(&app, conn) }
        })
        .get("/metrics", move |conn: Conn| {
            metrics_app
                .meters
                .in_flight(metrics_app.lifecycle.in_flight());
            async move { conn.ok(telemetry::render_metrics()) }
        })
        .post(rpc::RPC_PATH, methods.into_handler(secrets))
}

impl RpcState {
    fn record_sender(&self, sender: &InstanceId, generation: Generation) {
        self.app.shared.on_sender_generation(sender, generation);
    }

    fn reply<A>(&self, answer: A) -> RpcResponse<A> {
        RpcResponse {
            sender: self.app.settings.instance.clone(),
            generation: self.app.shared.config().generation,
            answer,
        }
    }

    fn status(&self) -> Status {
        let app = &self.app;
        let view = app.pools.view_for(&app.shared.membership());
        let upstreams = view
            .pools()
            .flat_map(|pool| pool.candidates())
            .map(|candidate| (candidate.member.instance.clone(), candidate.in_flight()))
            .collect();
        Status {
            instance: app.settings.instance.clone(),
            role: "entry".into(),
            generation: app.shared.config().generation,
            draining: app.lifecycle.is_draining(),
            in_flight: app.lifecycle.in_flight(),
            load: None,
            upstreams,
            membership_age_ms: app.shared.membership_age_ms(),
        }
    }
}
