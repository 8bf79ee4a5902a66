//! HTTP interface of the simulated engine.

use std::{
    future::poll_fn,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::json;
use trillium::{Body, Conn, Method};

use super::{
    active_request::{Phase, RequestParams},
    engine_state::Engine,
    orders::Order,
    response_body::ResponseBody,
    Faults,
};
use crate::{
    completion::{prompt_text, Completion, Message},
    serving::{abort_connection, query_number, read_json, respond_error, respond_json},
};

/// Body of a chat completion request, with the engine's own fields `priority`
/// and `resume_from`.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_from: u32,
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: String,
}

/// Handles one call. While the engine is frozen, all calls except
/// `/admin/faults` and `/stats` wait.
pub(crate) async fn handle(engine: &Arc<Engine>, conn: Conn) -> Conn {
    let path = conn.path().to_string();
    match (conn.method(), path.as_str()) {
        (Method::Post, "/admin/faults") => return set_faults(engine, conn).await,
        (Method::Get, "/stats") => return respond_json(conn, 200, &engine.stats()),
        _ => {}
    }
    engine.wait_while_frozen().await;
    match (conn.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => complete_chat(engine, conn).await,
        (Method::Get, "/v1/models") => models(engine, conn),
        (Method::Post, "/cancel") => cancel(engine, conn).await,
        (Method::Get, "/load") => load(engine, conn),
        (Method::Get, "/cache-events") => cache_events(engine, conn),
        (Method::Post, "/orders") => order(engine, conn).await,
        (Method::Get, "/orders") => orders(engine, conn),
        _ => respond_error(conn, 404, "unknown route"),
    }
}

async fn complete_chat(engine: &Arc<Engine>, mut conn: Conn) -> Conn {
    let request: ChatBody = match read_json(&mut conn).await {
        Ok(request) => request,
        Err(reason) => return respond_error(conn, 400, &reason),
    };
    if !engine.args.models.contains(&request.model) {
        return respond_error(conn, 404, "the model is not served by this engine");
    }
    let prompt = prompt_text(&request.messages);
    let params = RequestParams {
        request_id: request_id(&conn),
        completion: Completion::for_prompt(&prompt, request.max_tokens),
        model: request.model,
        prompt,
        priority: request.priority,
        resume_from: request.resume_from,
    };
    let crossed = engine.faults().crossed;
    let echoed_id = match crossed {
        true => format!("not-{}", params.request_id),
        false => params.request_id.clone(),
    };
    let conn = conn.with_response_header("x-request-id", echoed_id.clone());
    let body = ResponseBody::new(Arc::clone(engine), engine.submit(params.clone()));
    if request.stream {
        respond_stream(conn, body).await
    } else {
        respond_buffered(conn, body, &echoed_id, &params, crossed).await
    }
}

async fn respond_stream(mut conn: Conn, body: ResponseBody) -> Conn {
    let first_bytes = poll_fn(|cx| body.poll_first_bytes(cx));
    if conn.cancel_on_disconnect(first_bytes).await.is_none() {
        return conn;
    }
    conn.with_status(200)
        .with_response_header("content-type", "text/event-stream")
        .with_body(Body::new_streaming(body, None))
        .halt()
}

async fn respond_buffered(
    mut conn: Conn,
    body: ResponseBody,
    id: &str,
    params: &RequestParams,
    crossed: bool,
) -> Conn {
    let end = poll_fn(|cx| body.poll_end(cx));
    let Some(phase) = conn.cancel_on_disconnect(end).await else {
        return conn;
    };
    if phase == Phase::Aborted {
        return abort_connection(conn);
    }
    let mut completion = match crossed {
        true => params.completion.crossed(),
        false => params.completion,
    };
    completion.length = body.mark_all_sent();
    let body = json!({
        "id": id,
        "object": "chat.completion",
        "model": params.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": completion.text_from(params.resume_from)},
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": completion.prompt_tokens,
            "completion_tokens": completion.length,
            "total_tokens": u64::from(completion.prompt_tokens) + u64::from(completion.length),
        },
    });
    respond_json(conn, 200, &body)
}

fn models(engine: &Engine, conn: Conn) -> Conn {
    let data: Vec<_> = engine
        .args
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    respond_json(conn, 200, &json!({"object": "list", "data": data}))
}

async fn cancel(engine: &Engine, mut conn: Conn) -> Conn {
    match read_json::<CancelRequest>(&mut conn).await {
        Ok(request) => {
            let cancelled = engine.cancel(&request.request_id);
            respond_json(conn, 200, &json!({"cancelled": cancelled}))
        }
        Err(reason) => respond_error(conn, 400, &reason),
    }
}

fn load(engine: &Engine, conn: Conn) -> Conn {
    let lag_ms = engine
        .faults()
        .load_lag_ms
        .unwrap_or(engine.args.load_lag_ms);
    let load = engine
        .history()
        .delayed(Instant::now(), Duration::from_millis(lag_ms));
    respond_json(
        conn,
        200,
        &json!({
            "running": load.running,
            "waiting": load.waiting,
            "kv_used_share": load.kv_used_share,
            "measured_ms_ago": lag_ms,
        }),
    )
}

fn cache_events(engine: &Engine, conn: Conn) -> Conn {
    let after = query_number(&conn, "after").unwrap_or(0);
    let events = engine.batch().cache.events_after(after, Instant::now());
    respond_json(conn, 200, &json!({"events": events}))
}

async fn order(engine: &Engine, mut conn: Conn) -> Conn {
    let order: Order = match read_json(&mut conn).await {
        Ok(order) => order,
        Err(reason) => return respond_error(conn, 400, &reason),
    };
    let checks_fencing = engine.faults().fencing.unwrap_or(engine.args.fencing);
    let applied = engine
        .orders
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .apply(order, checks_fencing);
    if applied {
        respond_json(conn, 200, &json!({"applied": true}))
    } else {
        respond_error(
            conn,
            409,
            "the fencing number is lower than that of an earlier order",
        )
    }
}

fn orders(engine: &Engine, conn: Conn) -> Conn {
    let orders = engine.orders.lock().unwrap_or_else(PoisonError::into_inner);
    let body = json!({"orders": orders.applied()});
    drop(orders);
    respond_json(conn, 200, &body)
}

async fn set_faults(engine: &Engine, mut conn: Conn) -> Conn {
    match read_json::<Faults>(&mut conn).await {
        Ok(faults) => {
            engine.set_faults(faults);
            respond_json(conn, 200, &json!({}))
        }
        Err(reason) => respond_error(conn, 400, &reason),
    }
}

fn request_id(conn: &Conn) -> String {
    conn.request_headers()
        .get_str("x-request-id")
        .unwrap_or_default()
        .to_string()
}
