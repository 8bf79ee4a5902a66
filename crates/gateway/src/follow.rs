//! Follows a feed: lists once, then watches from there.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use store::StoreError;
use telemetry::{emit, events::GatewayEvent};

use crate::feed::{Feed, Listing, WatchResult};

/// How long one watch waits for a change. A connection that went silent is
/// noticed after this and the client's grace, which together stay below the
/// 3 s after which the platform's users expect a process to be in touch again.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Shortest time between the starts of two calls. Changes that come together
/// are taken in by one call; an answer that comes at once and holds nothing
/// does not turn into a stream of calls. Small against the two seconds within
/// which a change has to be in force.
const CALL_INTERVAL_MIN: Duration = Duration::from_millis(350);

/// First pause after a failed call; doubles with each.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed call. With its jitter and the time-out of a
/// list it stays below 2 s: processes have to be in touch 3 s after the end of
/// an outage, and one in which calls get no answer ends within some call.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// What a follower hands on.
pub(crate) enum Update<T> {
    /// Everything there is.
    All(Listing<T>),
    /// What has changed since; nothing, if the state was confirmed as it is.
    Changes(Listing<T>),
}

/// Follows one feed for ever.
pub(crate) async fn follow<T>(
    feed: Arc<dyn Feed<T>>,
    feed_name: &'static str,
    mut on_update: impl FnMut(Update<T>),
) {
    let mut pace = Pace::new(feed_name);
    let mut revision = None;
    loop {
        pace.before_call().await;
        let Some(after) = revision else {
            match feed.list().await {
                Ok(listing) => {
                    pace.on_answer();
                    // What has changed meanwhile is asked for at once.
                    pace.called_at = None;
                    revision = Some(listing.revision);
                    on_update(Update::All(listing));
                }
                Err(error) => pace.on_error(&error).await,
            }
            continue;
        };
        match feed.watch(after, WATCH_WAIT).await {
            Ok(WatchResult::Changes(listing)) => {
                pace.on_answer();
                revision = Some(listing.revision.max(after));
                on_update(Update::Changes(listing));
            }
            Ok(WatchResult::HistoryLost) => {
                pace.on_answer();
                revision = None;
            }
            Err(error) => {
                // A list needs no wait, so its time-out can be short.
                revision = None;
                pace.on_error(&error).await;
            }
        }
    }
}

/// Keeps the calls of one follower apart.
struct Pace {
    feed_name: &'static str,
    called_at: Option<Instant>,
    backoff: Duration,
    lost_at: Option<Instant>,
}

impl Pace {
    fn new(feed_name: &'static str) -> Self {
        Self {
            feed_name,
            called_at: None,
            backoff: BACKOFF_MIN,
            lost_at: None,
        }
    }

    async fn before_call(&mut self) {
        if let Some(called_at) = self.called_at {
            let since = called_at.elapsed();
            if since < CALL_INTERVAL_MIN {
                smol::Timer::after(CALL_INTERVAL_MIN - since).await;
            }
        }
        self.called_at = Some(Instant::now());
    }

    fn on_answer(&mut self) {
        self.backoff = BACKOFF_MIN;
        if let Some(lost_at) = self.lost_at.take() {
            emit(&GatewayEvent::FeedRegained {
                feed: self.feed_name.into(),
                lost_ms: lost_at.elapsed().as_millis() as u64,
            });
        }
    }

    async fn on_error(&mut self, error: &StoreError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            emit(&GatewayEvent::FeedLost {
                feed: self.feed_name.into(),
                reason: error.to_string(),
            });
        }
        // Between half and one and a half times the pause, so that processes
        // that lost the platform together don't come back together.
        let jitter = 0.5 + rand::random::<f64>();
        smol::Timer::after(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}
