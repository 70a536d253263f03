//! Prints the cost of keys and allotments: `name: value unit`, a line each.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberthead_allot::{
    AdmitRatio, Contact, Limiter, LimiterConfig, Offer, OtherShare, Pool, Presence, ServiceShares,
    Share, SharePool, Shares, Usage,
};
use filberthead_route::{Allotment, KeyDigest, KeyIndex, Workspace};
use filberthead_types::{Moment, ServiceName, Workspace as WorkspaceName};

const WORKSPACES: usize = 10_000;
const KEYS: usize = 3;
const ROUNDS: u32 = 200_000;
/// Workspaces with requests at a gateway between two reports.
const ACTIVE: usize = 10;
const ALLOTMENT: Allotment = Allotment {
    rate: 16.0,
    burst: 16.0,
};

fn name(number: usize) -> WorkspaceName {
    format!("w{number:06}").parse().expect("a valid name")
}

fn key(number: usize, key: usize) -> String {
    format!("{number:016x}{key:04x}")
}

fn workspace(number: usize) -> Arc<Workspace> {
    let keys = (0..KEYS).map(|k| KeyDigest::of(key(number, k).as_bytes()));
    Arc::new(Workspace {
        name: name(number),
        keys: keys.collect(),
        regions: Vec::new(),
        priority: Some(1),
        allotment: Some(ALLOTMENT),
    })
}

/// Nanoseconds a round.
fn time(mut round: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}

fn usage(number: usize) -> Usage {
    Usage {
        workspace: name(number),
        offered_milli: 12_345,
        sent_milli: 12_345,
        reserved_milli: 12_345,
    }
}

/// Milliseconds that control takes to add up the reports of this many gateways.
fn pool_ms(gateways: usize) -> f64 {
    let reports = (0..gateways * ACTIVE).map(|n| usage(n * 7919 % WORKSPACES));
    let reports: Vec<Usage> = reports.collect();
    let mut pool = Pool::default();
    let rounds = 20;
    let started = Instant::now();
    for round in 0..rounds {
        let now = Duration::from_millis(250) * round;
        let live = reports.iter().map(|usage| (Presence::Live, usage));
        black_box(pool.update(now, |_| Some(ALLOTMENT), live));
    }
    started.elapsed().as_secs_f64() * 1000.0 / f64::from(rounds)
}

fn service() -> ServiceName {
    "orders".parse().expect("a valid name")
}

/// Nanoseconds to admit a request with all workspaces at one gateway, of a service that three replicas
/// divide or that the gateway divides by its own counts, and to make a report.
fn admit_by_share_ns(is_told: bool) -> (f64, f64) {
    let service = service();
    let names: Vec<_> = (0..WORKSPACES).map(name).collect();
    let share = |name: &WorkspaceName| Share {
        workspace: name.clone(),
        priority: 1,
        ratio_milli: 500,
    };
    let told = ServiceShares {
        service: service.clone(),
        shares: names[..16].iter().map(share).collect(),
        others: vec![OtherShare {
            priority: 1,
            ratio_milli: 700,
        }],
    };
    let mut shares = Shares::new(1);
    shares.meter().set_short(Moment::ZERO, &service, true);
    let (mut admitting, mut reporting) = (Duration::ZERO, Duration::ZERO);
    for round in 0..ROUNDS {
        // As many requests a second as a gateway of a tenth of a core can handle.
        let now = Duration::from_secs(100) + Duration::from_millis(2) * round;
        if round.is_multiple_of(250) {
            let started = Instant::now();
            black_box(shares.report(now));
            reporting += started.elapsed();
        }
        let started = Instant::now();
        if is_told && round.is_multiple_of(250) {
            for replica in 0..3 {
                let from = ([10, 0, 0, replica], 7540).into();
                shares.set(now, from, vec![told.clone()]);
            }
        }
        let offer = Offer {
            service: &service,
            workspace: &names[round as usize * 7919 % WORKSPACES],
            priority: 1,
            work: Duration::from_millis(300),
        };
        black_box(shares.admit(now, offer));
        admitting += started.elapsed();
    }
    let each = |time: Duration, count: u32| time.as_nanos() as f64 / f64::from(count);
    (each(admitting, ROUNDS), each(reporting, ROUNDS / 250))
}

/// Milliseconds that control takes to divide four services by the reports of this many gateways.
fn divide_ms(gateways: usize) -> f64 {
    let now = Duration::from_secs(100);
    let reports: Vec<_> = (0..gateways)
        .map(|gateway| {
            let mut shares = Shares::new(gateway as u64);
            for n in 0..4 {
                let service: ServiceName = format!("service-{n}").parse().expect("a valid name");
                shares.meter().set_short(now, &service, true);
                for n in 0..32 {
                    let workspace = name((gateway * 32 + n) * 7919 % WORKSPACES);
                    let offer = Offer {
                        service: &service,
                        workspace: &workspace,
                        priority: 1,
                        work: Duration::from_millis(300),
                    };
                    shares.admit(now, offer);
                }
            }
            shares.report(now)
        })
        .collect();
    let mut pool = SharePool::default();
    let rounds = 20;
    let started = Instant::now();
    for round in 0..rounds {
        let now = now + Duration::from_millis(250) * round;
        black_box(pool.update(now, WORKSPACES, reports.iter().flatten()));
    }
    started.elapsed().as_secs_f64() * 1000.0 / f64::from(rounds)
}

fn main() {
    let before = resident_kb();
    let workspaces: Vec<_> = (0..WORKSPACES).map(workspace).collect();
    let index = KeyIndex::new(&workspaces);
    let mut limiter = Limiter::new(LimiterConfig::default());
    limiter.set_workspaces(&workspaces);
    let memory = resident_kb() - before;
    println!("allot/{WORKSPACES}-workspaces/memory: {memory:.0} kB");

    let keys: Vec<String> = (0..1000)
        .map(|n| key(n * 9 % WORKSPACES, n % KEYS))
        .collect();
    let identify = time(|round| {
        let key = &keys[round as usize % keys.len()];
        black_box(index.find(KeyDigest::of(key.as_bytes())));
    });
    println!("allot/{WORKSPACES}-workspaces/identify: {identify:.0} ns");

    let ratios: Vec<_> = (0..100)
        .map(|n| AdmitRatio {
            workspace: name(n),
            ratio_milli: 500,
            debt_ms: 0,
        })
        .collect();
    let now = Duration::from_secs(100);
    limiter.set_ratios(now, ([10, 0, 0, 1], 7540).into(), &ratios);
    let names: Vec<_> = (0..1000).map(name).collect();
    let admit = time(|round| {
        let name = &names[round as usize % names.len()];
        black_box(limiter.admit(now, name, Contact::Current));
    });
    println!("allot/{WORKSPACES}-workspaces/admit: {admit:.0} ns");
    for (is_told, by) in [(true, "control"), (false, "own-counts")] {
        let (admit, report) = admit_by_share_ns(is_told);
        println!("allot/{WORKSPACES}-workspaces/admit-by-share-{by}: {admit:.0} ns");
        println!("allot/{WORKSPACES}-workspaces/report-shares-{by}: {report:.0} ns");
    }
    for gateways in [68, 1000] {
        let ms = divide_ms(gateways);
        println!("allot/{gateways}-gateways/divide: {ms:.2} ms");
    }
    for gateways in [73, 1000] {
        println!(
            "allot/{gateways}-gateways/add-up: {:.2} ms",
            pool_ms(gateways)
        );
    }
}
