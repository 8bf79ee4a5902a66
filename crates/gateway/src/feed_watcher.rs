//! Keeps a consumer up to date with a feed: lists once, then watches for
//! changes from that revision, with rate limiting and backoff.
//!
//! Load pattern: hundreds of processes watch a store that changes rarely. Short
//! watches would notice a lost response soon, but cost the store more calls than
//! all changes. Watches are therefore long, and cheap checks beside them show
//! whether the store still answers and whether it has changes that the watch did
//! not deliver.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use store::{Position, StoreError};
use telemetry::{emit, events::GatewayEvent};

use crate::feed::{Feed, Listing, WatchResult};

/// Longest wait of one watch call. The store allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Wait of a watch call that only reads what has changed so far.
const CONSISTENT_READ_WAIT: Duration = Duration::from_millis(1);

/// Interval between checks beside a waiting watch. A lost response is detected
/// after this time plus the client's timeout margin; together they must stay
/// below 3 s, within which a process must reconnect after an outage.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// Shortest time between the starts of two calls. Batches changes that arrive
/// together and prevents a busy loop when the store returns empty responses
/// immediately. Small compared to the 2 s within which a change must be in
/// force.
const CALL_INTERVAL_MIN: Duration = Duration::from_millis(350);

/// Delay after the first failed call; doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest delay after a failed call, before jitter. Processes must reconnect
/// within 3 s of the end of an outage. If calls go unanswered, the end is
/// noticed only after the current call has timed out, so the delay with jitter
/// and the timeout of a list call together stay below 2 s.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// Time after a failed call during which changes may be effects of an outage:
/// entries that expired meanwhile return within about two seconds.
const DISTURBANCE: Duration = Duration::from_secs(3);

/// Time after which the records of gateways that run are written again after the store
/// came back from an older copy: they notice it and write within some seconds.
const REWRITE_TIME: Duration = Duration::from_secs(6);

/// Update passed from a watched feed to its consumer.
pub(crate) enum Update<T> {
    /// All current objects; replaces the earlier state.
    Snapshot(Listing<T>),
    /// All objects of a store that came back from an older copy. What it lacks may be
    /// missing only until it is written again, and what it has may be outdated.
    Restored(Listing<T>),
    /// Changes since the last update; empty if the store confirmed that there
    /// are none.
    Changes(Listing<T>),
}

/// What is known about the time of the changes in an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timing {
    /// The watch delivered them as they were made.
    Prompt,
    /// They were found later, at a store without a known disturbance.
    Late,
    /// A call failed less than [`DISTURBANCE`] ago, so that the changes may be
    /// effects of an outage.
    Disturbed,
}

/// Watches one feed and passes each update to `on_update`. Never returns.
pub(crate) async fn watch_feed<T>(
    feed: Arc<impl Feed<T> + ?Sized>,
    feed_name: &'static str,
    mut on_update: impl FnMut(Update<T>, Timing),
) {
    let mut pacer = CallPacer::new(feed_name);
    let mut cursor = Cursor::default();
    loop {
        pacer.wait_before_call().await;
        let Some(after) = cursor.next else {
            match feed.list().await {
                Ok(listing) => {
                    pacer.on_success();
                    // Watch immediately, for changes made during the list call.
                    pacer.last_call_at = None;
                    let update = cursor.on_listed(listing);
                    on_update(update, pacer.timing(Timing::Late));
                }
                Err(error) => pacer.on_error(&error).await,
            }
            continue;
        };
        let (result, timing) = watch_with_checks(feed.as_ref(), feed_name, after).await;
        match result {
            Ok(WatchResult::Changes(listing)) => {
                pacer.on_success();
                cursor.advance(listing.position);
                on_update(Update::Changes(listing), pacer.timing(timing));
            }
            Ok(WatchResult::HistoryLost) => {
                pacer.on_success();
                cursor.next = None;
            }
            Err(error) => {
                // List next: unlike a watch it does not wait for a change, so
                // a failed connection is detected sooner.
                cursor.next = None;
                pacer.on_error(&error).await;
            }
        }
    }
}

/// Position of a watcher in the history of the store.
#[derive(Debug, Default)]
struct Cursor {
    /// Position from which the next watch continues; `None` if a list is needed.
    next: Option<Position>,
    /// Highest position of any response.
    reached: Option<Position>,
}

impl Cursor {
    /// Moves to the position of a listing, and returns the listing as an update.
    fn on_listed<T>(&mut self, listing: Listing<T>) -> Update<T> {
        let position = listing.position;
        self.next = Some(position);
        let reached = self.reached.replace(position);
        match reached.is_some_and(|reached| reached.era < position.era) {
            true => Update::Restored(listing),
            false => Update::Snapshot(listing),
        }
    }

    /// Moves to the position of changes, unless it is behind.
    fn advance(&mut self, position: Position) {
        self.reached = self.reached.max(Some(position));
        self.next = self.reached;
    }
}

/// How a polled feed is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Poll {
    /// Time until the read.
    pub(crate) delay: Duration,
    /// Whether the read must not return stale data, which costs ten times as much.
    pub(crate) is_consistent: bool,
}

/// Reads one feed as often as `next_poll` says and passes each update to
/// `on_update`. Never returns.
///
/// Load pattern: a change of the feed concerns every process, but not at once. With
/// watches, each write would make hundreds of processes call the store.
pub(crate) async fn poll_feed<T>(
    feed: Arc<impl Feed<T> + ?Sized>,
    feed_name: &'static str,
    next_poll: impl Fn() -> Poll,
    mut on_update: impl FnMut(Update<T>),
) {
    let mut pacer = CallPacer::new(feed_name);
    let mut cursor = Cursor::default();
    let mut restored_at = None;
    loop {
        let Some(after) = cursor.next else {
            match feed.list().await {
                Ok(listing) => {
                    pacer.on_success();
                    let update = cursor.on_listed(listing);
                    let is_restored = matches!(update, Update::Restored(_));
                    restored_at = is_restored.then(Instant::now);
                    on_update(update);
                }
                Err(error) => pacer.on_error(&error).await,
            }
            continue;
        };
        let poll = next_poll();
        let delay = async {
            smol::Timer::after(poll.delay).await;
        };
        delay.or(feed.replaced(after)).await;
        if restored_at.is_some_and(|at: Instant| at.elapsed() >= REWRITE_TIME) {
            // What is missing now is not written again.
            cursor.next = None;
            continue;
        }
        let read = match poll.is_consistent {
            true => feed.watch(after, CONSISTENT_READ_WAIT).await,
            false => feed.check(after).await,
        };
        match read {
            Ok(WatchResult::Changes(listing)) => {
                pacer.on_success();
                cursor.advance(listing.position);
                on_update(Update::Changes(listing));
            }
            Ok(WatchResult::HistoryLost) => {
                pacer.on_success();
                cursor.next = None;
            }
            Err(error) => pacer.on_error(&error).await,
        }
    }
}

/// Waits for changes after a position. Returns early with the changes or the
/// error of a check if the store does not answer, or has changes that the watch
/// did not deliver, or as soon as another call shows that the history was replaced.
async fn watch_with_checks<T>(
    feed: &(impl Feed<T> + ?Sized),
    feed_name: &'static str,
    after: Position,
) -> (Result<WatchResult<T>, StoreError>, Timing) {
    let checked = async {
        loop {
            smol::Timer::after(CHECK_INTERVAL).await;
            match feed.check(after).await {
                Ok(WatchResult::Changes(listing)) if listing.entries.is_empty() => {}
                found => {
                    emit(&GatewayEvent::WatchAbandoned {
                        feed: feed_name.into(),
                        after: after.revision,
                        reason: check_result(&found),
                    });
                    return (found, Timing::Late);
                }
            }
        }
    };
    let watched = async { (feed.watch(after, WATCH_WAIT).await, Timing::Prompt) };
    let replaced = async {
        feed.replaced(after).await;
        (Ok(WatchResult::HistoryLost), Timing::Late)
    };
    watched.or(checked).or(replaced).await
}

/// Logs and counts an object, or a part of one, that is ignored.
pub fn log_unreadable(feed: &'static str, name: &str, reason: String) {
    metrics::counter!("limpetgw_gateway_unreadable_total", "feed" => feed).increment(1);
    emit(&GatewayEvent::EntryUnreadable {
        feed: feed.into(),
        name: name.into(),
        reason,
    });
}

fn check_result<T>(found: &Result<WatchResult<T>, StoreError>) -> String {
    match found {
        Ok(WatchResult::Changes(listing)) => format!(
            "{} changes up to revision {} were not delivered",
            listing.entries.len(),
            listing.position.revision
        ),
        Ok(WatchResult::HistoryLost) => "the store lost the history".into(),
        Err(error) => error.to_string(),
    }
}

/// Limits the call rate of one watched feed and logs outages.
struct CallPacer {
    feed_name: &'static str,
    last_call_at: Option<Instant>,
    backoff: Duration,
    lost_at: Option<Instant>,
    last_error_at: Option<Instant>,
}

impl CallPacer {
    fn new(feed_name: &'static str) -> Self {
        Self {
            feed_name,
            last_call_at: None,
            backoff: BACKOFF_MIN,
            lost_at: None,
            last_error_at: None,
        }
    }

    /// Returns `timing`, or that a call failed recently.
    fn timing(&self, timing: Timing) -> Timing {
        match self.last_error_at {
            Some(at) if at.elapsed() < DISTURBANCE => Timing::Disturbed,
            _ => timing,
        }
    }

    async fn wait_before_call(&mut self) {
        if let Some(last_call_at) = self.last_call_at {
            let since = last_call_at.elapsed();
            if since < CALL_INTERVAL_MIN {
                smol::Timer::after(CALL_INTERVAL_MIN - since).await;
            }
        }
        self.last_call_at = Some(Instant::now());
    }

    fn on_success(&mut self) {
        self.backoff = BACKOFF_MIN;
        if let Some(lost_at) = self.lost_at.take() {
            emit(&GatewayEvent::FeedRegained {
                feed: self.feed_name.into(),
                lost_ms: lost_at.elapsed().as_millis() as u64,
            });
        }
    }

    async fn on_error(&mut self, error: &StoreError) {
        self.last_error_at = Some(Instant::now());
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            emit(&GatewayEvent::FeedLost {
                feed: self.feed_name.into(),
                reason: error.to_string(),
            });
        }
        // Jitter of 0.5 to 1.5 times the delay, so that processes that lost the
        // store at the same time do not retry at the same time.
        let jitter = 0.5 + rand::random::<f64>();
        smol::Timer::after(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}
