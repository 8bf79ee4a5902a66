//! Wakes one waiting task; several notices before it wakes count as one.

use smol::channel::{bounded, Receiver, Sender};

/// A flag that a task can wait for.
#[derive(Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    /// Makes a flag that is not set.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }

    /// Sets the flag.
    pub(crate) fn notify(&self) {
        // Full means that the flag is set already.
        let _ = self.sender.try_send(());
    }

    /// Waits until the flag is set, and takes it down.
    pub(crate) async fn notified(&self) {
        // Never fails: the sender lives as long as the receiver.
        let _ = self.receiver.recv().await;
    }
}
