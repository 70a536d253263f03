//! Callers that send requests to the gateways all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::cluster::Node;
use filberthead_testing::site::{HOST, Site};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// Status of the answer, or why there is none.
    pub outcome: String,
}

/// A caller for each gateway. They end when this is dropped.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    running: Vec<JoinHandle<Vec<Sent>>>,
}

impl Callers {
    /// Starts them.
    pub fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |(number, node): (usize, &Node)| {
            let (addr, stop) = (node.direct_addr("caller"), Arc::clone(&stop));
            std::thread::spawn(move || call_until(&stop, number + 1, addr))
        };
        let running = site.gateways.iter().enumerate().map(start).collect();
        Self { stop, running }
    }

    /// Ends them, and returns what they sent.
    pub fn end(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let running = std::mem::take(&mut self.running).into_iter();
        let mut sent: Vec<Sent> = running
            .filter_map(|caller| caller.join().ok())
            .flatten()
            .collect();
        sent.sort_by_key(|sent| sent.at);
        sent
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn call_until(stop: &AtomicBool, caller: usize, addr: SocketAddr) -> Vec<Sent> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{caller}-{}", all.len() + 1);
        let at = Instant::now();
        let call = Call::get("/painel/x")
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-deadline-ms", &TIME_LIMIT.as_millis().to_string())
            .bound(TIME_LIMIT);
        let outcome = match call.send(addr) {
            Ok(answer) => answer.status.as_u16().to_string(),
            Err(e) => e.to_string(),
        };
        all.push(Sent { id, at, outcome });
        std::thread::sleep(PAUSE);
    }
    all
}
