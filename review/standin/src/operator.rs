//! An operator that sends orders to one replica after the other, as the platform's do.

use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::cluster::Node;

use crate::Record;

/// Time after which an operator turns to another replica.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an order other than a configuration is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next replica is asked; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Sends orders, one at a time.
#[derive(Debug)]
pub struct Operator<'a> {
    record: &'a Record,
}

impl<'a> Operator<'a> {
    /// An operator whose calls are recorded.
    pub fn new(record: &'a Record) -> Self {
        Self { record }
    }

    /// Sends an order to these replicas in turn until one acknowledges it. Returns when it was acknowledged;
    /// `None` if it wasn't for as long as it may be sent again.
    pub fn order(&self, replicas: &[&Node], call: &str) -> Option<Instant> {
        let deadline = Instant::now() + RESEND_TIMEOUT;
        let mut pause = FIRST_PAUSE;
        for node in replicas.iter().cycle() {
            if self.send(node, call) {
                return Some(Instant::now());
            }
            std::thread::sleep(pause);
            pause *= 2;
            if Instant::now() >= deadline {
                break;
            }
        }
        None
    }

    /// Sends an order to one replica, once. Returns whether that acknowledged it.
    fn send(&self, node: &Node, call: &str) -> bool {
        let name = node.name();
        let Some(addr) = node.try_direct_addr("orders") else {
            return false;
        };
        self.record
            .line(&format!("operator sends {call} to {name}"));
        let sent = Call::new("POST", &format!("/-/rpc?call={call}"));
        match sent.bound(PATIENCE).send(addr) {
            Ok(answer) => {
                self.record.line(&format!(
                    "operator gets {} from {name} to {call}",
                    answer.status
                ));
                answer.status.is_success()
            }
            Err(e) => {
                self.record
                    .line(&format!("operator gets nothing from {name} to {call}: {e}"));
                false
            }
        }
    }
}
