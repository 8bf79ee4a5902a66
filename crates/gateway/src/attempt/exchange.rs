//! An exchange with one instance and its accounting as load.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use policy::placement::Ticket;
use types::{InstanceId, UpstreamName};

use crate::{
    app::App,
    upstream::{ExchangeError, Lease, Response},
};

/// Counts a request as load of an instance until it is dropped.
pub(crate) struct LoadGuard {
    app: Arc<App>,
    upstream: UpstreamName,
    pub(crate) instance: InstanceId,
    ticket: Ticket,
}

impl LoadGuard {
    pub(crate) fn new(
        app: Arc<App>,
        upstream: UpstreamName,
        instance: InstanceId,
        ticket: Ticket,
    ) -> Self {
        Self {
            app,
            upstream,
            instance,
            ticket,
        }
    }

    /// Reports the first event of a stream, or a complete buffered response, to
    /// the placer.
    pub(crate) fn on_first_event(&mut self) {
        let now = self.app.now();
        let (instance, ticket) = (&self.instance, &mut self.ticket);
        self.app.with_placer(&self.upstream, |placer| {
            placer.on_first_event(now, instance, ticket);
        });
    }

    /// Reports an event after the first one to the placer.
    fn on_next_event(&mut self) {
        let now = self.app.now();
        let (instance, ticket) = (&self.instance, &mut self.ticket);
        self.app.with_placer(&self.upstream, |placer| {
            placer.on_next_event(now, instance, ticket);
        });
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let ticket = std::mem::take(&mut self.ticket);
        self.app.with_placer(&self.upstream, |placer| {
            placer.on_end(&self.instance, ticket)
        });
    }
}

/// A response that is being received. Dropping it closes the connection, which
/// cancels the request at the instance.
pub(crate) struct Exchange {
    pub(crate) response: Response,
    pub(crate) load_guard: LoadGuard,
    lease: Lease,
}

impl Exchange {
    pub(crate) fn new(response: Response, load_guard: LoadGuard, lease: Lease) -> Self {
        Self {
            response,
            load_guard,
            lease,
        }
    }

    /// Polls for the next bytes of the body; `None` once it is complete.
    pub(crate) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        self.response.poll_data(cx)
    }

    /// Reports data received after the first event to the placer. Called for
    /// each read, which need not hold exactly one event.
    pub(crate) fn on_next_event(&mut self) {
        self.load_guard.on_next_event();
    }

    /// Returns the connection to the pool if the response was read completely;
    /// otherwise closes it.
    pub(crate) fn release_connection(self, app: &App) {
        if let Some(connection) = self.response.into_connection() {
            app.pool.put(self.lease, connection);
        }
    }
}
