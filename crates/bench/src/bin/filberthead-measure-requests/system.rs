//! The measured system: one entry and two endpoints that it reaches without a proxy.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Cluster, Programs};
use filberthead_testing::standin::Standin;
use filberthead_testing::{eventually, wait_until};

use crate::process::Thread;
use crate::responder::Responder;

const TIMEOUT: Duration = Duration::from_secs(30);
/// Slots of an endpoint: enough that no request waits for one.
const SLOTS: u32 = 1000;
/// Size of the stand-in's default answer; the endpoint `quick` answers with as many bytes.
const ANSWER_BYTES: usize = 64;

/// A running entry with the endpoints `measured` (a stand-in) and `quick` (a
/// [`Responder`]).
#[derive(Debug)]
pub(crate) struct System {
    cluster: Cluster,
    standin: Standin,
    responder: Responder,
    process_id: u32,
}

impl System {
    /// Starts the system and waits until the entry sends to both endpoints.
    pub(crate) fn start() -> Self {
        let standin = Standin::start("measured");
        standin.script(|script| {
            script.slots = 2 * SLOTS;
            script.record = false;
        });
        let responder = Responder::start(Bytes::from_static(&[b'x'; ANSWER_BYTES]));
        let mut cluster = Cluster::builder(Programs::beside_this_one())
            .places(&[("zagreb", "zagreb-a")])
            .prepare();
        let entry = &mut cluster.entries[0];
        entry
            .settings()
            .set("endpoint measured", "service", "catalogue")
            .set("endpoint measured", "address", standin.addr())
            .set("endpoint measured", "slots", SLOTS)
            .set("endpoint measured", "connections", 2 * SLOTS)
            .set("endpoint quick", "service", "quick")
            .set("endpoint quick", "address", responder.addr())
            .set("endpoint quick", "slots", SLOTS)
            .set("endpoint quick", "connections", 2 * SLOTS)
            .set("log", "level", "warn");
        entry.start();
        let process_id = entry.process().id().expect("a started process");
        let system = Self {
            cluster,
            standin,
            responder,
            process_id,
        };
        for service in ["catalogue", "quick"] {
            let call = Call::get(&format!("/v1/services/{service}/warm-up"));
            wait_until("the endpoint is used", TIMEOUT, || {
                let answer = call.send(system.entry());
                answer.is_ok_and(|answer| answer.status == 200)
            });
        }
        system
    }

    /// Address at which the entry serves callers, without a proxy.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.cluster.entries[0].direct_addr("caller")
    }

    /// Prefix for idempotency keys, as returned by a look-up.
    pub(crate) fn key_prefix(&self) -> String {
        eventually("the entry hands out a prefix", TIMEOUT, || {
            let body: serde_json::Value = serde_json::from_slice(&self.lookup_answer()).ok()?;
            let prefix = body["key_prefix"].as_str()?;
            Some(prefix.to_owned()).filter(|prefix| !prefix.is_empty())
        })
    }

    /// Requests that run at the endpoint `measured`.
    pub(crate) fn running(&self) -> u32 {
        self.standin.running()
    }

    /// Resident memory of the entry, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        self.cluster.entries[0].process_ref().resident_bytes()
    }

    /// Address of the endpoint `measured`.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.standin.addr()
    }

    /// Address of the endpoint `quick`.
    pub(crate) fn responder(&self) -> SocketAddr {
        self.responder.addr()
    }

    /// The entry's thread with this name.
    pub(crate) fn thread(&self, name: &str) -> Thread {
        Thread::of_process(self.process_id, name)
    }

    /// Body of the current answer to a look-up.
    pub(crate) fn lookup_answer(&self) -> Bytes {
        let call = Call::get("/v1/lookup?service=catalogue");
        call.send(self.entry()).expect("an answer").body
    }
}
