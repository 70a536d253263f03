//! A small deployment: three control replicas and some gateways, as separate processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use filberthead_testing::site::{HOST, Site, SiteBuilder, SitePrograms};

use crate::upstream::Upstream;

/// The programs that the deploy file's build command has made, seen from the repository's root.
const PROGRAMS: &str = "target/release";

/// A route and its service.
#[derive(Clone, Copy, Debug)]
pub struct RouteSpec<'a> {
    /// Name of the service; its route has the prefix `/SERVICE/`.
    pub service: &'a str,
    /// `safe`, `unsafe` or `download`.
    pub kind: &'a str,
    /// Longest time that a request may wait.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full credit.
    pub target_latency_ms: u64,
    /// Most upstreams that an attempt may be sent to.
    pub max_attempts: u32,
}

/// Whether the case runs with its disruption: `TROUBLE=0` turns that off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The result of a case that couldn't run.
pub const COULD_NOT_RUN: u8 = 2;

/// The path of the record, which is the first argument.
///
/// # Panics
///
/// Panics without an argument.
pub fn record_path() -> PathBuf {
    let path = std::env::args_os().nth(1);
    path.expect("the path of the record").into()
}

/// A builder with the programs of the deploy file.
pub fn builder() -> SiteBuilder {
    let program = |name: &str| -> PathBuf { Path::new(PROGRAMS).join(name) };
    Site::builder(SitePrograms {
        control: program("filberthead-control"),
        gateway: program("filberthead-gateway"),
    })
    .gateway_setting("budgets", "retry_ratio", 0.2)
    .gateway_setting("budgets", "retry_floor", 56)
    .gateway_setting("budgets", "retry_window", "10s")
    .gateway_setting("budgets", "max_shift", 0.15)
    .gateway_setting("log", "level", "info")
}

/// A configuration in the platform's JSON format.
pub fn config(version: u64, routes: &[RouteSpec<'_>]) -> String {
    let route = |spec: &RouteSpec<'_>| {
        serde_json::json!({
            "name": format!("r-{}", spec.service), "host": HOST,
            "path_prefix": format!("/{}/", spec.service), "kind": spec.kind,
            "timeout_ms": spec.timeout_ms, "target_latency_ms": spec.target_latency_ms,
            "priority": 1, "service": spec.service, "max_attempts": spec.max_attempts,
            "sticky_sessions": true, "allowed_regions": [],
        })
    };
    let service = |spec: &RouteSpec<'_>| {
        serde_json::json!({
            "name": spec.service, "health_path": "/healthz", "max_connections": 330,
            "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 6.2,
        })
    };
    serde_json::json!({
        "version": version,
        "routes": routes.iter().map(route).collect::<Vec<_>>(),
        "services": routes.iter().map(service).collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
    .to_string()
}

/// Puts upstreams on the platform's list.
pub fn show(site: &Site, upstreams: &[Upstream]) {
    site.list
        .set(upstreams.iter().map(Upstream::line).collect());
}

/// The addresses at which the gateways take callers' requests.
pub fn gateway_addrs(site: &Site) -> Vec<SocketAddr> {
    site.gateways
        .iter()
        .map(|node| node.addr("caller"))
        .collect()
}
