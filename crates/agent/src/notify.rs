//! A wake-up flag for one waiting task. Notifications sent before the task
//! wakes are merged into one.

use smol::channel::{bounded, Receiver, Sender};

/// Flag that one task waits for and other tasks set.
#[derive(Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    /// Creates a flag that is not set.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }

    /// Sets the flag and wakes the waiting task.
    pub(crate) fn notify(&self) {
        // A full channel means that the flag is already set.
        let _ = self.sender.try_send(());
    }

    /// Waits until the flag is set, and clears it.
    pub(crate) async fn notified(&self) {
        // Cannot fail: `self` owns the sender as well as the receiver.
        let _ = self.receiver.recv().await;
    }
}
