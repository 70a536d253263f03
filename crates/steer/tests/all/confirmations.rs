//! Removal of a silent member on the confirmations of the others, which may be outdated.

use std::time::Duration;

use filberthead_steer::{Grant, LeasedShares, Lessor, Ownership, Renew, Roster};
use filberthead_types::{Epoch, Incarnation, Moment, NodeName};

use crate::common::{ms, name};

const STEP: Duration = Duration::from_millis(500);
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(60);

const ENDPOINTS: std::ops::Range<u32> = 0..32;

/// A member as its process runs it, without endpoints.
struct Member {
    name: NodeName,
    ownership: Ownership,
    shares: LeasedShares,
}

impl Member {
    fn new(now: Moment, node: &str) -> Self {
        Self {
            name: name(node),
            ownership: Ownership::new(now, name(node), true),
            shares: LeasedShares::default(),
        }
    }

    fn send_renewal(&mut self, now: Moment) -> Renew {
        let serial = self.ownership.next_serial(now);
        self.shares.record_renewal_sent(serial);
        Renew {
            incarnation: Incarnation(1),
            region: "zagreb".parse().expect("a name"),
            failure_domain: "zagreb-a".parse().expect("a name"),
            term: self.shares.term(),
            serial,
            accepted: self.shares.accepted(),
            roster: self.ownership.roster().cloned(),
            refusing: self.ownership.confirm_removal(now),
            promised: self.ownership.promise_holders(now),
            leaving: false,
            silence: None,
            parts: Vec::new(),
            demand: Vec::new(),
        }
    }

    fn receive(&mut self, grant: &Grant) {
        let sent_at = self.ownership.sent_at(grant.serial);
        if sent_at.is_some_and(|sent_at| self.shares.apply_grant(grant, sent_at)) {
            self.ownership.apply_grant(grant);
        }
    }

    /// Asks another member for a promise.
    fn ask(&mut self, now: Moment, other: &mut Self) {
        let serial = self.ownership.next_serial(now);
        let epoch = self.ownership.roster().expect("a roster").epoch;
        if other.ownership.grant_promise(now, &self.name, epoch) {
            self.ownership.record_promise(other.name.clone(), serial);
        }
    }

    fn owns(&self, now: Moment) -> Vec<u32> {
        let owned = |number: &u32| self.ownership.owns(now, &format!("endpoint-{number}"));
        ENDPOINTS.filter(owned).collect()
    }
}

/// Three members and control. `silent` renews only once after the start.
struct Domain {
    now: Moment,
    lessor: Lessor,
    silent: Member,
    confirming: Member,
    remaining: Member,
}

impl Domain {
    /// The members follow one roster, and the silent one is suspected by both others.
    fn with_suspect() -> Self {
        let now = Duration::from_secs(100);
        let mut domain = Self {
            now,
            lessor: Lessor::new(now, Epoch(1), MAX_REQUEST_DURATION),
            silent: Member::new(now, "entry-1"),
            confirming: Member::new(now, "entry-2"),
            remaining: Member::new(now, "entry-3"),
        };
        for _ in 0..10 {
            domain.now += STEP;
            renew(domain.now, &mut domain.lessor, &mut domain.silent);
            renew(domain.now, &mut domain.lessor, &mut domain.confirming);
            renew(domain.now, &mut domain.lessor, &mut domain.remaining);
        }
        for _ in 0..4 {
            domain.now += STEP;
            renew(domain.now, &mut domain.lessor, &mut domain.confirming);
            renew(domain.now, &mut domain.lessor, &mut domain.remaining);
        }
        let suspect = Some(&domain.silent.name);
        let now = domain.now;
        assert_eq!(domain.confirming.ownership.refusing(now), suspect);
        assert_eq!(domain.remaining.ownership.refusing(now), suspect);
        domain
    }

    /// Only the remaining member reaches control.
    fn run_without_others(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            renew(self.now, &mut self.lessor, &mut self.remaining);
        }
    }

    fn assert_one_owner_each(&self) {
        let members = [&self.silent, &self.confirming, &self.remaining];
        let owned = members.map(|member| member.owns(self.now));
        for endpoint in ENDPOINTS {
            let owners = owned.iter().filter(|owned| owned.contains(&endpoint));
            assert!(owners.count() <= 1, "two owners of endpoint {endpoint}");
        }
    }
}

fn renew(now: Moment, lessor: &mut Lessor, member: &mut Member) {
    let grant = exchange(now, lessor, member);
    member.receive(&grant);
}

fn exchange(now: Moment, lessor: &mut Lessor, member: &mut Member) -> Grant {
    let renewal = member.send_renewal(now);
    lessor.renew(now, &member.name, &renewal)
}

/// A member confirms a removal, and the answer tells it that the silent one has renewed. It then
/// promises again, so its earlier confirmation must not count once all are cut off.
#[test]
fn a_confirmation_does_not_count_after_control_has_answered_that_the_member_is_back() {
    let mut domain = Domain::with_suspect();
    domain.now += STEP;
    renew(domain.now, &mut domain.lessor, &mut domain.silent);
    renew(domain.now, &mut domain.lessor, &mut domain.confirming);
    for _ in 0..10 {
        domain.run_without_others(STEP);
        domain.silent.ask(domain.now, &mut domain.confirming);
        domain.assert_one_owner_each();
    }
}

/// The answer that the silent member is back is read late, after a later renewal has confirmed the
/// removal again and control has carried it out.
#[test]
fn a_late_grant_does_not_withdraw_a_later_confirmation() {
    let mut domain = Domain::with_suspect();
    domain.now += STEP;
    renew(domain.now, &mut domain.lessor, &mut domain.silent);
    let late = exchange(domain.now, &mut domain.lessor, &mut domain.confirming);
    assert_eq!(late.refuse, None);
    domain.run_without_others(ms(2000));
    let next = exchange(domain.now, &mut domain.lessor, &mut domain.confirming);
    assert_eq!(next.refuse.as_ref(), Some(&domain.silent.name));
    domain.run_without_others(ms(3000));
    let roster = domain.remaining.ownership.roster().expect("a roster");
    assert!(!roster.has(&domain.silent.name));
    domain.confirming.receive(&late);
    domain.silent.ask(domain.now, &mut domain.confirming);
    domain.assert_one_owner_each();
}

/// Two members that were removed one after the other are cut off together, and the first one promises.
/// The second may not rely on that, as it has confirmed the removal of the first.
#[test]
fn a_promise_of_a_member_whose_removal_was_confirmed_keeps_nobody_in_force() {
    let mut domain = Domain::with_suspect();
    domain.now += STEP;
    exchange(domain.now, &mut domain.lessor, &mut domain.confirming);
    domain.run_without_others(ms(10_000));
    let roster = domain.remaining.ownership.roster().expect("a roster");
    assert_eq!(roster.members, [domain.remaining.name.clone()]);
    domain.confirming.ask(domain.now, &mut domain.silent);
    domain.assert_one_owner_each();
}

/// A grant by an older roster may neither name whom to refuse nor withdraw that.
#[test]
fn a_grant_by_an_older_roster_does_not_name_whom_to_refuse() {
    let now = Duration::from_secs(100);
    let members: Vec<_> = ["entry-1", "entry-2", "entry-3"].map(name).into();
    let grant = |epoch: u64, serial: u64, refuse: Option<&NodeName>| Grant {
        term: Epoch(1),
        serial,
        roster: Some(Roster {
            epoch: Epoch(epoch),
            members: members.clone(),
        }),
        leased: true,
        refuse: refuse.cloned(),
        parts: Vec::new(),
    };
    let mut ownership = Ownership::new(now, members[0].clone(), true);
    ownership.apply_grant(&grant(2, 1, Some(&members[1])));
    ownership.apply_grant(&grant(1, 2, Some(&members[2])));
    assert_eq!(ownership.refusing(now), Some(&members[1]));
}
