//! Shares of services that are short of capacity, from gateways' reports to the notices that answer them.

use std::time::Duration;

use filberthead_allot::{MAX_NAMED, Offer, ServiceShares, ServiceWork, Shares};
use filberthead_fleet::{GatewayInfo, Load, Member, Message, Registry, Update};
use filberthead_types::{Moment, ServiceName, Workspace};

use crate::allotments::table_with;
use crate::support::{CONTROL, GATEWAY, addr, ms};

const WORK: Duration = Duration::from_millis(250);

fn service() -> ServiceName {
    "catalogue".parse().expect("a name")
}

fn member(number: usize) -> Member {
    let info = GatewayInfo {
        name: format!("entry-{number}").parse().expect("a name"),
        region: "split".parse().expect("a name"),
        domain: "split-a".parse().expect("a name"),
        caller_addr: addr(80),
        relay_addr: addr(81),
    };
    Member::new(info, [addr(CONTROL)], 100)
}

/// A gateway that is short of capacity at these services, and has had a request of each of so many
/// workspaces to each.
fn short_gateway(now: Moment, services: usize, workspaces: usize) -> Shares {
    let mut shares = Shares::new(7);
    for number in 0..services {
        let service: ServiceName = format!("service-{number}").parse().expect("a name");
        shares.meter().set_short(now, &service, true);
        shares.meter().record_served(now, &service, WORK);
        for number in 0..workspaces {
            let workspace: Workspace = format!("w{number:05}").parse().expect("a name");
            let offer = Offer {
                service: &service,
                workspace: &workspace,
                priority: (number % 3) as u8,
                work: WORK,
            };
            shares.admit(now, offer);
        }
    }
    shares
}

fn load(work: Vec<ServiceWork>) -> Load {
    Load {
        work,
        ..Load::default()
    }
}

/// Sends a report and returns the shares in the answer.
fn report(
    now: Moment,
    member: &mut Member,
    registry: &mut Registry,
    work: Vec<ServiceWork>,
) -> Vec<ServiceShares> {
    let report = member.tick(now, || load(work)).pop().expect("a report").1;
    let notice = registry.receive(now, addr(GATEWAY), report, true).pop();
    let (_, updates) = member.receive(now, addr(CONTROL), notice.expect("a notice").1);
    let shares = updates.into_iter().find_map(|update| match update {
        Update::Shares(shares) => Some(shares),
        _ => None,
    });
    shares.expect("the notice has the shares")
}

/// What a gateway reports of two workspaces, one of which takes nearly everything.
fn work(is_short: bool) -> Vec<ServiceWork> {
    let offered = |name: &str, offered_milli| filberthead_allot::WorkspaceWork {
        workspace: name.parse().expect("a name"),
        priority: 1,
        offered_milli,
    };
    vec![ServiceWork {
        service: service(),
        is_short,
        served_milli: 10_000,
        largest: vec![offered("alpha", 50_000), offered("beta", 2_000)],
        others: Vec::new(),
    }]
}

/// Guards against shares that reach only the gateways of the replica that got the report, and against
/// those of a gateway that is gone.
#[test]
fn shares_travel_to_the_gateways_of_other_replicas_and_expire() {
    let start = Moment::from_secs(1000);
    let (mut first, mut second) = (member(1), member(2));
    let (mut near, mut far) = (Registry::default(), Registry::default());
    for registry in [&mut near, &mut far] {
        registry.set_routes(start, 1, 1, table_with(1000.0, 0.0));
    }
    let told = report(start, &mut first, &mut near, work(true));
    assert_eq!(told.len(), 1);
    let share = &told[0].shares;
    assert_eq!(
        share.len(),
        1,
        "only the workspace above its share is named"
    );
    assert_eq!(share[0].workspace.as_str(), "alpha");
    // 0.95 of what is served, less what the other workspace asks for.
    assert_eq!(share[0].ratio_milli, 150);
    let roster = near.roster(start + ms(1)).expect("reports to relay");
    far.receive(start + ms(2), addr(CONTROL), roster, true);
    let told = report(start + ms(3), &mut second, &mut far, Vec::new());
    assert_eq!(told[0].shares[0].ratio_milli, 150);
    let status = far.divided_services(start + ms(4));
    assert_eq!((status[0].offered, status[0].served), (52.0, 10.0));
    let shown = far.workspaces(start + ms(5)).pop().expect("a workspace");
    assert_eq!(shown.shares.len(), 1);
    let later = report(start + ms(1700), &mut second, &mut far, Vec::new());
    assert!(later.is_empty(), "{later:?}");
}

/// Guards against messages that grow with the number of workspaces, or with workspaces times gateways.
#[test]
fn messages_with_ten_thousand_workspaces_stay_small() {
    let now = Moment::from_secs(1000);
    let size = |message: &Message| postcard::to_stdvec(message).expect("encodable").len();
    let mut registry = Registry::default();
    registry.set_routes(now, 1, 1, table_with(1000.0, 0.0));
    let (mut reports, mut notices) = (Vec::new(), Vec::new());
    let work = short_gateway(now, 4, 10_000).report(now);
    assert_eq!(work.len(), 4);
    assert!(work.iter().all(|work| work.largest.len() <= MAX_NAMED));
    for number in 0..68 {
        // The largest workspaces differ between gateways.
        let mut work_here = work.clone();
        let named = work_here.iter_mut().flat_map(|work| &mut work.largest);
        for (index, named) in named.enumerate() {
            let name = format!("w{:05}", number * 64 + index);
            named.workspace = name.parse().expect("a name");
        }
        let report = member(number).tick(now, || load(work_here)).pop();
        let report = report.expect("a report").1;
        reports.push(size(&report));
        let port = GATEWAY + number as u16;
        let notice = registry.receive(now, addr(port), report, true).pop();
        notices.push(size(&notice.expect("a notice").1));
    }
    let relayed = registry.roster(now + ms(1)).expect("reports to relay");
    let largest = |sizes: &[usize]| sizes.iter().copied().max().unwrap_or_default();
    // Sixteen names of six letters for each of four services, with priority and figure.
    assert!(largest(&reports) < 1300, "{}", largest(&reports));
    assert!(largest(&notices) < 1300, "{}", largest(&notices));
    assert!(size(&relayed) < 68 * 1300, "{}", size(&relayed));
}
