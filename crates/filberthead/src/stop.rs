//! The signal that ends the duties of a process.

use tokio::sync::watch;

/// Asks all duties to end; held by the supervisor.
#[derive(Debug)]
pub(crate) struct StopSource {
    tx: watch::Sender<bool>,
}

/// What a duty waits on besides its work.
#[derive(Clone, Debug)]
pub struct Stop {
    rx: watch::Receiver<bool>,
}

/// Makes a connected pair.
pub(crate) fn stop_pair() -> (StopSource, Stop) {
    let (tx, rx) = watch::channel(false);
    (StopSource { tx }, Stop { rx })
}

impl StopSource {
    /// Asks every duty to end.
    pub(crate) fn stop(&self) {
        self.tx.send_replace(true);
    }
}

impl Stop {
    /// Waits until the end is asked for, or until nobody is left to ask for it.
    pub async fn wait(&mut self) {
        // An error means that the supervisor is gone, which ends the duties as well.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }
}
