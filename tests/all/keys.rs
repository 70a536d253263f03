//! The command line's changes of workspaces' keys, with real processes.

use std::io::Write;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use filberthead_testing::client::Answer;
use filberthead_testing::site::{Site, config_with_workspaces, request};
use filberthead_testing::wait_until;
use serde_json::{Value, json};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
const OLD: &str = "rbn4ryrbbkf83fgfwrz5";
const NEW: &str = "6aw63is47qdqiqrh4jcd";

/// Three replicas and a gateway, and a workspace with one key.
fn start() -> Site {
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    let workspaces = [json!({"name": "alpha", "api_keys": [OLD]})];
    let config = config_with_workspaces(1, SERVICES, &workspaces);
    assert_eq!(site.order("config.put", &config).status, 200);
    site.wait_serving(0);
    site
}

/// Starts `filberthead key ...` with these keys in files of the given options.
fn spawn(site: &Site, words: &[&str], keys: &[(&str, &str)]) -> Child {
    let addrs = site.controls.iter().map(|node| node.addr("orders"));
    let addrs: Vec<_> = addrs.map(|addr| addr.to_string()).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_filberthead"));
    command
        .arg("key")
        .args(words)
        .args(["--orders", &addrs.join(","), "--timeout", "60"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    for (option, key) in keys {
        let path = site.dir().join(format!("{option}-{key}.txt"));
        let mut f = std::fs::File::create(&path).expect("a file");
        writeln!(f, "{key}").expect("written");
        command.arg(format!("--{option}")).arg(path);
    }
    command.spawn().expect("started")
}

/// Waits for a command; returns its output, both streams, which may not contain a key.
#[track_caller]
fn finish(child: Child) -> (ExitStatus, String) {
    let output = child.wait_with_output().expect("ended");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(!text.contains(OLD) && !text.contains(NEW), "{text}");
    (output.status, text)
}

#[track_caller]
fn run(site: &Site, words: &[&str], key: &str) {
    let (status, text) = finish(spawn(site, words, &[("key-file", key)]));
    assert!(status.success(), "{text}");
}

fn send(site: &Site, key: &str) -> Answer {
    let call = request("GET", "/catalogue/one", "r").header("api-key", key);
    site.request(0, &call).expect("the gateway answers")
}

#[track_caller]
fn wait_status(site: &Site, key: &str, status: u16) {
    wait_until("the key is in force", BOUND, || {
        send(site, key).status == status
    });
}

fn keys_in_force(site: &Site) -> Vec<String> {
    let config: Value = site.order("config.get", "").json();
    let keys = config["tenants"][0]["api_keys"].as_array().expect("keys");
    let keys = keys
        .iter()
        .map(|key| key.as_str().expect("text").to_owned());
    keys.collect()
}

#[test]
fn a_key_is_added_and_another_one_revoked() {
    let site = start();
    wait_status(&site, OLD, 200);
    run(&site, &["add", "alpha"], NEW);
    wait_status(&site, NEW, 200);
    assert_eq!(send(&site, OLD).status, 200);
    run(&site, &["revoke", "alpha"], OLD);
    wait_status(&site, OLD, 401);
    assert_eq!(send(&site, NEW).status, 200);
    assert_eq!(keys_in_force(&site), [NEW]);
}

/// While a key is replaced there must be no moment at which neither works.
#[test]
fn a_key_is_replaced_without_a_gap() {
    let site = start();
    wait_status(&site, OLD, 200);
    let keys = [("old-key-file", OLD), ("key-file", NEW)];
    let mut child = spawn(&site, &["replace", "alpha", "--overlap", "4"], &keys);
    wait_until("a caller changes over", BOUND, || {
        send(&site, NEW).status == 200 || {
            assert_eq!(send(&site, OLD).status, 200);
            false
        }
    });
    while child.try_wait().expect("a child").is_none() {
        assert_eq!(send(&site, NEW).status, 200);
    }
    let (status, text) = finish(child);
    assert!(status.success(), "{text}");
    wait_status(&site, OLD, 401);
    assert_eq!(send(&site, NEW).status, 200);
}

/// Several operators change keys at the same moment, through different replicas. Versions
/// collide; no change may be lost.
#[test]
fn changes_of_several_operators_are_all_kept() {
    let site = start();
    let added: Vec<_> = (0..6).map(|number| format!("key-{number}")).collect();
    let children = added
        .iter()
        .map(|key| spawn(&site, &["add", "alpha"], &[("key-file", key)]));
    for child in children.collect::<Vec<_>>() {
        let (status, text) = finish(child);
        assert!(status.success(), "{text}");
    }
    let mut keys = keys_in_force(&site);
    keys.sort();
    let mut wanted = added;
    wanted.push(OLD.to_owned());
    wanted.sort();
    assert_eq!(keys, wanted);
}

#[test]
fn a_change_for_an_unknown_workspace_is_refused() {
    let site = start();
    let (status, text) = finish(spawn(&site, &["add", "beta"], &[("key-file", NEW)]));
    assert_eq!(status.code(), Some(1), "{text}");
    assert!(text.contains("no workspace is named `beta`"), "{text}");
    assert_eq!(keys_in_force(&site), [OLD]);
}
