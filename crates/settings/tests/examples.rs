//! The example files for both users' deployments are valid and consistent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use filberthead_settings::{ControlSettings, EntrySettings, check};

struct Deployment {
    entries: Vec<EntrySettings>,
    controls: Vec<ControlSettings>,
}

fn files(user: &str) -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../config")
        .join(user);
    let entries = std::fs::read_dir(dir).expect("the folder is there");
    let paths = entries.map(|entry| entry.expect("a file").path());
    let mut paths: Vec<_> = paths
        .filter(|path| path.extension().is_some_and(|e| e == "ini"))
        .collect();
    paths.sort();
    paths
}

fn load(user: &str) -> Deployment {
    let mut deployment = Deployment {
        entries: Vec::new(),
        controls: Vec::new(),
    };
    for path in files(user) {
        assert_eq!(check(&path), [], "{}", path.display());
        let name = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .expect("a name");
        match EntrySettings::load(&path) {
            Ok(entry) => {
                assert_eq!(entry.node.as_str(), name);
                deployment.entries.push(entry);
            }
            Err(_) => {
                let control = ControlSettings::load(&path).expect("the file is good");
                assert_eq!(control.node.as_str(), name);
                deployment.controls.push(control);
            }
        }
    }
    deployment
}

/// Number of distinct endpoints of each service.
fn endpoints(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut names = BTreeSet::new();
    let mut counts = BTreeMap::new();
    for endpoint in deployment.entries.iter().flat_map(|entry| &entry.endpoints) {
        if names.insert(endpoint.name.clone()) {
            *counts.entry(endpoint.service.to_string()).or_default() += 1;
        }
    }
    counts
}

fn counts<const N: usize>(pairs: [(&str, usize); N]) -> BTreeMap<String, usize> {
    pairs
        .map(|(service, count)| (service.to_owned(), count))
        .into()
}

#[test]
fn endpoint_counts_match_the_deployments() {
    let kovceg = endpoints(&load("kovceg"));
    assert_eq!(
        kovceg,
        counts([("catalogue", 16), ("orders", 12), ("lessons", 12)])
    );
    let associacao = endpoints(&load("associacao"));
    assert_eq!(
        associacao,
        counts([("readings", 18), ("intake", 12), ("archive", 12)])
    );
}

#[test]
fn entries_are_eight_to_eleven_and_in_every_failure_domain() {
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        assert!((8..=11).contains(&deployment.entries.len()));
        let domains: BTreeSet<_> = deployment
            .entries
            .iter()
            .map(|e| &e.failure_domain)
            .collect();
        let regions: BTreeSet<_> = deployment.entries.iter().map(|e| &e.region).collect();
        assert_eq!((domains.len(), regions.len()), (6, 3));
    }
}

#[test]
fn no_region_holds_a_majority_of_the_replicas() {
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        let mut replicas_by_region = BTreeMap::new();
        for control in &deployment.controls {
            *replicas_by_region.entry(&control.region).or_insert(0) += 1;
        }
        let majority = deployment.controls.len() / 2 + 1;
        assert!(
            replicas_by_region.values().all(|count| *count < majority),
            "{replicas_by_region:?}"
        );
    }
}

#[test]
fn all_files_of_a_deployment_name_the_same_replicas() {
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        let controls = deployment.controls.iter();
        let known: BTreeSet<_> = controls.map(|c| (c.node.clone(), c.peer_listen)).collect();
        for entry in &deployment.entries {
            let named = entry.replicas.iter().map(|r| (r.name.clone(), r.peer_addr));
            assert_eq!(named.collect::<BTreeSet<_>>(), known, "{}", entry.node);
            assert_eq!(entry.cluster, user);
        }
        for control in &deployment.controls {
            let others = control
                .replicas
                .iter()
                .map(|r| (r.name.clone(), r.peer_addr));
            let mut named: BTreeSet<_> = others.collect();
            named.insert((control.node.clone(), control.peer_listen));
            assert_eq!(named, known, "{}", control.node);
            assert_eq!(control.cluster, user);
        }
    }
}

#[test]
fn entries_of_a_failure_domain_name_the_same_endpoints_and_seeds_are_entries() {
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        let peers: BTreeSet<_> = deployment.entries.iter().map(|e| e.peer_listen).collect();
        let mut by_domain = BTreeMap::new();
        for entry in &deployment.entries {
            let known = by_domain
                .entry(&entry.failure_domain)
                .or_insert(&entry.endpoints);
            assert_eq!(*known, &entry.endpoints, "{}", entry.node);
            assert!(
                entry.seeds.iter().all(|seed| peers.contains(seed)),
                "{}",
                entry.node
            );
        }
    }
}

#[test]
fn every_listening_address_is_one_process_on_the_loopback() {
    let mut taken: BTreeSet<SocketAddr> = BTreeSet::new();
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        let entries = deployment.entries.iter();
        let entries = entries.flat_map(|e| [e.caller_listen, e.peer_listen, e.status_listen]);
        let controls = deployment.controls.iter();
        let controls = controls.flat_map(|c| [c.peer_listen, c.operator_listen]);
        for addr in entries.chain(controls) {
            assert!(addr.ip().is_loopback(), "{addr}");
            assert!(taken.insert(addr), "{addr} a second time");
        }
    }
}

#[test]
fn every_service_has_an_objective_in_each_control_file() {
    for user in ["kovceg", "associacao"] {
        let deployment = load(user);
        let services: BTreeSet<_> = endpoints(&deployment).into_keys().collect();
        for control in &deployment.controls {
            let with_objective = control.objectives.iter().map(|o| o.service.to_string());
            assert_eq!(
                with_objective.collect::<BTreeSet<_>>(),
                services,
                "{}",
                control.node
            );
        }
    }
}
