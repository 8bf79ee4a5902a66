//! What a holder does when the store came back from an older copy: the lease is void, and
//! the counts that were fixed since the copy are missing.

use policy::metering::Window;
use types::TimeMs;

use super::Performer;
use crate::duties::FixedWindow;

/// Time for which other processes contend later than the holder before, in milliseconds:
/// the lease is held again by then.
const RESTORED_MS: u64 = 10_000;

impl Performer {
    /// Gives the lease up if the store came back from an older copy.
    pub(super) fn follow_era(&mut self, now: TimeMs) {
        let was_holder = self.lease.has_held_until(now);
        let restored_at = self.lease.restored_at();
        self.lease.on_era(now, self.store.era().number());
        if self.lease.restored_at() == restored_at {
            return;
        }
        self.disturbed_at = Some(now);
        let held = self.held.as_ref().filter(|_| was_holder);
        self.fixed_before_restore = held.map(|held| held.fixed.clone());
    }

    /// Returns whether the store came back from an older copy so recently that another
    /// process should contend later than the holder before.
    pub(super) fn is_just_restored(&self, now: TimeMs) -> bool {
        let restored_at = self.lease.restored_at();
        restored_at.is_some_and(|at| now.since(at) < RESTORED_MS)
    }

    /// Returns the last window that the holder before the store came back may have
    /// fixed, so that the store may have lost its counts; `None` if there is no such
    /// holder, or it is this process.
    pub(super) fn lost_through(&self) -> Option<Window> {
        let restored_at = self.lease.restored_at()?;
        if self.fixed_before_restore.is_some() {
            return None;
        }
        let permits_end = restored_at + self.settings.lease.as_millis() as u64;
        self.timing
            .window_at(self.unix_ms(permits_end))
            .checked_sub(1)
    }

    /// Fixes what this process had fixed before the store came back once more, so that
    /// a later holder finds it.
    pub(super) async fn fix_again(&mut self, fixed: &mut Vec<FixedWindow>) {
        let reported_through = self.lease.reported_through();
        for (window, counts) in self.fixed_before_restore.take().into_iter().flatten() {
            if reported_through.is_some_and(|through| window <= through) {
                continue;
            }
            if let Some((_, listed)) = fixed.iter_mut().find(|(other, _)| *other == window) {
                listed.get_or_insert(counts);
                continue;
            }
            // The counts were perhaps sent, so they count without the answer, too.
            if let Err(error) = self.store.fix_window(window, &counts).await {
                log::warn!("usage of window {window} not fixed again: {error}");
            }
            fixed.push((window, Some(counts)));
        }
    }
}
