//! Handler of `GET /v1/models`.

use serde_json::json;
use trillium::Conn;
use types::RequestId;

use crate::{
    app::App,
    chat::{refuse, respond_json},
    filters::{head::check_head, identify::identify},
};

/// Lists the models of all upstreams in the current configuration.
pub(crate) fn serve(app: &App, conn: Conn, request_id: &RequestId) -> Conn {
    let config = app.shared.config();
    let checked = check_head(&conn).and_then(|()| identify(&conn, &config));
    if let Err(failure) = checked {
        return refuse(app, conn, request_id, &failure);
    }
    let upstreams = config.document.upstreams.values();
    let models: Vec<_> = upstreams
        .flat_map(|upstream| &upstream.models)
        .map(|model| json!({"id": model, "object": "model", "owned_by": "limpetgw"}))
        .collect();
    let list = json!({"object": "list", "data": models});
    respond_json(conn, request_id, list.to_string())
}
