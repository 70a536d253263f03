//! A small deployment: three control replicas, two gateways and four endpoints in two regions.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Node, Place};
use filberthead_testing::site::{Site, SitePrograms};

/// The failure domain that is evacuated.
pub const ZONE: &str = "porto-a";
/// The failure domain that isn't.
const OTHER_ZONE: &str = "faro-a";
/// Endpoints in each of them.
const ENDPOINTS: usize = 2;
/// Service of the endpoints, and kind of its route.
const SERVICE: (&str, &str) = ("painel", "safe");
/// Replicas whose loss the group is told to tolerate.
const TOLERATED: usize = 1;
/// Time within which a leader has to be found.
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two looks for the leader.
const LEADER_POLL: Duration = Duration::from_millis(50);

/// The programs under test, which the build command of the deploy file makes.
pub fn programs() -> SitePrograms {
    let dir =
        std::env::var_os("PROGRAMS").map_or_else(|| PathBuf::from("target/release"), PathBuf::from);
    SitePrograms {
        control: dir.join("filberthead-control"),
        gateway: dir.join("filberthead-gateway"),
    }
}

/// Starts the deployment, and waits until its gateways serve.
pub fn deploy() -> Site {
    let (zone, other) = (Place::new("norte", ZONE), Place::new("sul", OTHER_ZONE));
    let third = Place::new("ilhas", "ponta-a");
    let controls = vec![zone.clone(), other.clone(), third];
    let builder = Site::builder(programs()).placed(controls, vec![zone, other]);
    let mut site = builder.seeds(3).tolerate(TOLERATED).start();
    for _ in 0..ENDPOINTS {
        site.add_endpoint(SERVICE.0, ZONE);
        site.add_endpoint(SERVICE.0, OTHER_ZONE);
    }
    site.put_routes(1, &[SERVICE]);
    note_pids(&site);
    (0..site.gateways.len()).for_each(|gateway| site.wait_serving(gateway));
    site
}

/// Writes the ids of the processes to the file that `PIDS` names, for the script that ends what is left of
/// them if this process is killed.
pub fn note_pids(site: &Site) {
    let Some(path) = std::env::var_os("PIDS") else {
        return;
    };
    let nodes = site.controls.iter().chain(&site.gateways);
    let ids = nodes.filter_map(|node| node.process_ref().id());
    let lines: String = ids.map(|id| format!("{id}\n")).collect();
    // Without the file, the processes still end with this one.
    let _ = std::fs::write(path, lines);
}

/// The replicas after the one with this index, in a circle.
pub fn others(controls: &[Node], index: usize) -> Vec<&Node> {
    let (before, from) = controls.split_at(index);
    from.iter().skip(1).chain(before).collect()
}

/// Index of the replica that says that it leads; `None` if none does in time.
pub fn leader(controls: &[Node]) -> Option<usize> {
    let deadline = Instant::now() + LEADER_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(index) = controls.iter().position(leads) {
            return Some(index);
        }
        std::thread::sleep(LEADER_POLL);
    }
    None
}

fn leads(node: &Node) -> bool {
    let Some(addr) = node.try_direct_addr("operator") else {
        return false;
    };
    let status = Call::get("/v1/status").bound(Duration::from_millis(500));
    let Ok(answer) = status.send(addr) else {
        return false;
    };
    let status: serde_json::Value = answer.json();
    status["holds_lease"] == true
}
