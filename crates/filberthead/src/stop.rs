//! The signal that stops the duties of a process.

use tokio::sync::watch;

/// Sends the stop signal to all duties; held by the supervisor.
#[derive(Debug)]
pub(crate) struct StopSource {
    tx: watch::Sender<bool>,
}

/// Receives the stop signal; each duty has one.
#[derive(Clone, Debug)]
pub struct Stop {
    rx: watch::Receiver<bool>,
}

/// Creates a connected pair.
pub(crate) fn stop_pair() -> (StopSource, Stop) {
    let (tx, rx) = watch::channel(false);
    (StopSource { tx }, Stop { rx })
}

impl StopSource {
    /// Signals every duty to stop.
    pub(crate) fn stop(&self) {
        self.tx.send_replace(true);
    }
}

impl Stop {
    /// Waits for the stop signal, or until its source is dropped.
    pub async fn wait(&mut self) {
        // An error means that the supervisor is gone, which stops the duties as well.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }
}
