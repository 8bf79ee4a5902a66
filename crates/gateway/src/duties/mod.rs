//! Duties that one gateway performs for all: reporting the usage of teams.
//!
//! Every gateway counts the requests that began to run and tells its counts to the
//! holder of the lease and to the next in rank; without the link between gateways it
//! writes them into its record in the store. The holder fixes the counts of each
//! window in the store before it sends them, so that a later holder sends the same.

mod clock;
mod exchange;
mod holder;
mod interface;
mod messages;
mod metering;
mod settings;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use policy::metering::Window;
use smol::channel::{Receiver, Sender};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TeamName, TimeMs};

use crate::app::{lock, App};
use clock::{boot_now, unix_ms, PauseDetector};
use metering::Metering;

pub(crate) use exchange::{exchange_usage, flush_usage};
pub(crate) use holder::perform_duties;
pub use interface::{DutyApi, DutyApiFactory, DutyCaller, DutyError, DutyStore, FixedWindow};
pub use metering::UsageRecord;
pub use settings::DutySettings;

/// Interval at which a process without duties looks for them.
const NO_DUTIES_INTERVAL: Duration = Duration::from_secs(1);

/// The holder of the lease as heard through the link.
#[derive(Clone, Debug, PartialEq)]
struct HeardHolder {
    gateway: InstanceId,
    token: u64,
    ticket: String,
    revision: u64,
    at: TimeMs,
}

/// What is known of the lease without reading the store.
#[derive(Debug, Default)]
struct HolderView {
    own_token: Option<u64>,
    /// Name and revision of the own ticket while it gives permits.
    own_ticket: Option<(String, u64)>,
    heard: Option<HeardHolder>,
    reported_through: Option<Window>,
    /// Time at which the holder last acknowledged the usage of this run.
    acknowledged_at: Option<TimeMs>,
    /// Runs of peers that have told their time, and those that the own time is to be
    /// told, because they have just started.
    known_runs: IndexMap<InstanceId, u64>,
    greeted: Vec<InstanceId>,
    /// Time at which another holder yielded, because the API was out of its reach.
    other_yielded_at: Option<TimeMs>,
    /// Whether the holder was heard to have given up the lease.
    is_released: bool,
}

/// State of the duties of one process.
pub(crate) struct Duties {
    settings: ArcSwapOption<DutySettings>,
    /// Identifies this run in counts and tickets.
    run: u64,
    metering: Mutex<Option<Metering>>,
    view: Mutex<HolderView>,
    /// Usage that the own record in the store tells.
    record: Mutex<Option<UsageRecord>>,
    pauses: PauseDetector,
    /// Wakes the task that contends for the lease.
    wake: (Sender<()>, Receiver<()>),
}

impl Default for Duties {
    fn default() -> Self {
        Self {
            settings: ArcSwapOption::empty(),
            run: rand::random(),
            metering: Mutex::default(),
            view: Mutex::default(),
            record: Mutex::default(),
            pauses: PauseDetector::default(),
            wake: smol::channel::bounded(1),
        }
    }
}

impl Duties {
    /// Applies the settings; `None` if there are no duties. Counts are kept as long
    /// as the length of the windows is the same.
    pub(crate) fn set_settings(&self, settings: Option<DutySettings>, instance: &InstanceId) {
        let before = self.settings.load_full();
        if before.as_deref() == settings.as_ref() {
            return;
        }
        let metered = settings.as_ref().filter(|settings| settings.has_metering);
        let timing = metered.map(DutySettings::window_timing);
        let mut metering = lock(&self.metering);
        if metering.as_ref().map(|metering| metering.timing) != timing {
            *metering = timing.map(|timing| {
                Metering::new(timing, instance.clone(), self.run, unix_ms(), boot_now())
            });
        }
        drop(metering);
        self.settings.store(settings.map(Arc::new));
        self.notify();
    }

    /// Returns the settings if usage is to be reported.
    fn metering_settings(&self) -> Option<Arc<DutySettings>> {
        let settings = self.settings.load_full()?;
        settings.has_metering.then_some(settings)
    }

    /// Counts a request of a team that has just begun to run.
    pub(crate) fn on_begun(&self, team: &TeamName) {
        if let Some(metering) = lock(&self.metering).as_mut() {
            metering.on_begun(boot_now(), team);
        }
    }

    /// Handles the usage in a record of the store; see [`Metering::on_record`].
    pub(crate) fn on_record(&self, gateway: &InstanceId, record: &UsageRecord, is_change: bool) {
        if let Some(metering) = lock(&self.metering).as_mut() {
            metering.on_record(boot_now(), gateway, record, is_change);
        }
    }

    /// Returns the usage that the own record in the store has to tell.
    pub(crate) fn usage_record(&self) -> Option<UsageRecord> {
        lock(&self.record).clone()
    }

    /// Returns whether this process holds the lease and has to read the usage of
    /// gateways in their records.
    pub(crate) fn reads_records(&self, app: &App) -> bool {
        app.udp_link.is_none() && lock(&self.view).own_token.is_some()
    }

    fn notify(&self) {
        // A full channel already wakes the task.
        let _ = self.wake.0.try_send(());
    }

    /// Runs `change` on the usage; returns `None` if none is counted.
    fn with_metering<T>(&self, change: impl FnOnce(&mut Metering) -> T) -> Option<T> {
        lock(&self.metering).as_mut().map(change)
    }

    /// Settles the time and closes windows. Returns whether a window was closed.
    fn advance(&self, now: TimeMs) -> bool {
        let advanced = self.with_metering(|metering| metering.advance(now));
        let Some((settled, closed)) = advanced else {
            return false;
        };
        if let Some(correction_ms) = settled {
            emit(&GatewayEvent::UsageTimeSettled { correction_ms });
        }
        closed
    }
}

/// Looks for pauses of the process while there are duties. Never returns.
pub(crate) async fn detect_pauses(app: Arc<App>) {
    loop {
        if app.duties.metering_settings().is_some() {
            app.duties.pauses.tick(boot_now());
            smol::Timer::after(clock::TICK).await;
        } else {
            smol::Timer::after(NO_DUTIES_INTERVAL).await;
        }
    }
}
