//! Settings of the duties, which the settings file contains.

use std::{sync::Arc, time::Duration};

use coord::ticket_lease::Timing;
use policy::metering::WindowTiming;

/// Part of the lease time by which its holder stops earlier and others wait longer,
/// for clocks that run at different rates and for the return of a call: 400 of
/// 3,000 ms.
const MARGIN_PER_MILLE: u64 = 134;

/// Part of the lease time that one call may take: 1,000 of 3,000 ms.
const CALL_PER_MILLE: u64 = 334;

/// Settings of the duties that one gateway performs for all.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform's API (`IP:port`).
    pub platform_api: Arc<str>,
    /// Whether usage is reported.
    pub has_metering: bool,
    /// Whether the platform refuses calls with an outdated fencing token.
    pub is_fence_checked: bool,
    /// Duration of the lease.
    pub lease: Duration,
    /// Time after a pause or a cut within which calls do not count.
    pub thaw: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window at which its report is due.
    pub usage_late: Duration,
}

impl DutySettings {
    /// Returns the settings for an API with the durations that the platform uses by
    /// default, without any duty.
    pub fn new(platform_api: Arc<str>) -> Self {
        Self {
            platform_api,
            has_metering: false,
            is_fence_checked: false,
            lease: Duration::from_millis(3_000),
            thaw: Duration::from_millis(300),
            usage_window: Duration::from_secs(5),
            usage_late: Duration::from_secs(10),
        }
    }

    pub(crate) fn lease_timing(&self) -> Timing {
        let duration_ms = self.lease.as_millis() as u64;
        Timing {
            duration_ms,
            margin_ms: duration_ms * MARGIN_PER_MILLE / 1_000,
            longest_order_ms: duration_ms * CALL_PER_MILLE / 1_000,
        }
    }

    pub(crate) fn window_timing(&self) -> WindowTiming {
        WindowTiming {
            window_ms: (self.usage_window.as_millis() as u64).max(1),
            due_ms: self.usage_late.as_millis() as u64,
        }
    }
}
