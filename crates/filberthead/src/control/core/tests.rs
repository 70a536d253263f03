//! A leader's state when inputs arrive late. The test takes the place of the disk, so that it
//! determines when proposals are committed.

use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState, GatewayInfo, Load, Member, Message, Stamp};
use filberthead_steer::{LEASE_DURATION, LEASE_MARGIN, Renew, Roster};
use filberthead_table::{Actor, Role, Timestamp};
use filberthead_types::{ChangeId, Epoch, Incarnation};

use super::*;
use crate::control::handle::HandleRequest;
use crate::control::input::disk_queue;
use crate::peers;

const ID: ReplicaId = ReplicaId(1);

type Submitted = Result<Outcome, SubmitError>;

/// The only replica of a group.
struct Group {
    core: Core,
    disk: Receiver<DiskJob>,
}

fn addr() -> SocketAddr {
    ([127, 0, 0, 1], 7000).into()
}

fn name(text: &str) -> NodeName {
    text.parse().expect("a name")
}

fn domain() -> FailureDomain {
    "zagreb-a".parse().expect("a name")
}

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        incarnation: None,
        service: "orders".parse().expect("a name"),
        addr: addr(),
        domain: domain(),
        slots: 1,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}

impl Group {
    async fn with_leader() -> Self {
        let (disk_tx, disk) = disk_queue();
        let (out, _) = peers::outgoing();
        let (published, _) = tokio::sync::watch::channel(Default::default());
        let members = Members {
            voters: BTreeSet::from([ID]),
            learners: BTreeSet::new(),
        };
        let snapshot = Snapshot {
            index: 1,
            members,
            ..Snapshot::default()
        };
        let core = Core::new(Parts {
            id: ID,
            clock: Clock::start(),
            cfg: Config::builder()
                .election_timeout(Duration::from_millis(20))
                .build(),
            durable: Durable {
                snapshot,
                ..Durable::default()
            },
            address_book: AddressBook::new(addr(), []),
            hello: HelloInfo {
                leads: false,
                operator_addr: addr(),
                leader: None,
                is_reply: false,
            },
            identity: Identity {
                cluster: "test".to_owned(),
                node: name("control-1"),
                peer_addr: addr(),
            },
            out,
            disk: disk_tx,
            gauges: Gauges {
                metrics: Arc::default(),
                peers: Arc::default(),
            },
            fleet: Fleet::new(None, published),
        });
        let mut group = Self { core, disk };
        while group
            .core
            .replica
            .lease_until(group.core.clock.now())
            .is_none()
        {
            group.core.tick().await;
            group.sync().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        group.core.tick().await;
        group
    }

    /// Syncs what is queued for the disk, which commits it.
    async fn sync(&mut self) {
        while let Some(job) = self.disk.try_recv() {
            if let DiskJob::Persist { persist, .. } = job {
                let seq = persist.seq;
                self.core.handle_input(Input::Persisted { seq }).await;
            }
        }
    }

    /// Waits until the grants of a previous leader, and those to entries that are silent, have lapsed.
    async fn wait_for_leases_to_lapse(&self) {
        tokio::time::sleep(LEASE_DURATION + LEASE_MARGIN).await;
    }

    async fn forget_entry(&mut self, entry: &str) -> oneshot::Receiver<Submitted> {
        let (reply, rx) = oneshot::channel();
        let command = Command {
            id: ChangeId(1),
            actor: Actor {
                name: "ana".to_owned(),
                role: Role::Accept,
            },
            at: Timestamp(0),
            findings: Vec::new(),
            operation: Operation::ForgetEntry(name(entry)),
        };
        let req = AdminRequest::Submit { command, reply };
        self.core.handle_admin(req).await;
        rx
    }

    /// An entry renews that follows a roster with these members.
    async fn renew(&mut self, from: &str, serial: u64, members: &[&str]) {
        let renew = Renew {
            incarnation: Incarnation(1),
            region: "zagreb".parse().expect("a name"),
            failure_domain: domain(),
            term: Epoch(0),
            serial,
            accepted: 0,
            roster: Some(Roster {
                epoch: Epoch(5),
                members: members.iter().map(|member| name(member)).collect(),
            }),
            refusing: None,
            promised: Vec::new(),
            leaving: false,
            silence: None,
            parts: Vec::new(),
            demand: Vec::new(),
        };
        let origin = Origin {
            name: name(from),
            incarnation: renew.incarnation,
            addr: addr(),
            replica: None,
        };
        self.core.handle_renewal(&origin, &renew).await;
    }

    /// Receives the first report of a gateway; returns its age as it is relayed.
    async fn report(&mut self, gateway: &str) -> Duration {
        let info = GatewayInfo {
            name: name(gateway),
            region: "zagreb".parse().expect("a name"),
            domain: domain(),
            caller_addr: addr(),
            relay_addr: addr(),
        };
        let mut member = Member::new(info, [addr()], 1);
        let (_, report) = member.tick(self.core.clock.now(), Load::default).remove(0);
        let origin = Origin {
            name: name(gateway),
            incarnation: Incarnation(1),
            addr: addr(),
            replica: None,
        };
        self.core.receive(origin, Body::Fleet(report)).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
        let roster = self.core.fleet.registry.roster(self.core.clock.now());
        match roster {
            Some(Message::Roster(gateways)) => gateways[0].age,
            other => panic!("no report to relay: {other:?}"),
        }
    }

    async fn submit_endpoints(&mut self, term: u64, endpoints: &[&str]) {
        let list = endpoints.iter().map(|id| endpoint(id)).collect();
        let req = HandleRequest::EndpointList { term, list };
        self.core.handle_adapter_request(req).await;
    }

    fn list_stamp(&self) -> Stamp {
        self.core.fleet.registry.revisions().endpoints
    }

    fn logged_members(&self) -> Option<Vec<NodeName>> {
        let stored = self.core.machine.rosters.get(&domain())?;
        Some(stored.roster.members.clone())
    }
}

/// A roster that is proposed before `forget-entry` is applied, and applied after it, brings the
/// entry back for the next leader.
#[tokio::test]
async fn a_forgotten_entry_is_in_no_roster_that_is_logged_after_it() {
    let mut group = Group::with_leader().await;
    group.wait_for_leases_to_lapse().await;
    let mut rx = group.forget_entry("entry-2").await;
    group.renew("entry-1", 1, &["entry-1", "entry-2"]).await;
    group.sync().await;
    assert_eq!(rx.try_recv(), Ok(Ok(Outcome::Recorded)));
    assert_eq!(group.logged_members(), None);
    group.renew("entry-1", 2, &["entry-1", "entry-2"]).await;
    group.sync().await;
    assert_eq!(group.logged_members(), Some(vec![name("entry-1")]));
}

/// A list that was asked for in an earlier term replaces what a leader has read since, under a newer
/// stamp.
#[tokio::test]
async fn a_list_that_was_asked_for_in_an_earlier_term_is_ignored() {
    let mut group = Group::with_leader().await;
    let term = group.core.term();
    group.submit_endpoints(term, &["endpoint-1"]).await;
    assert_eq!(group.list_stamp(), Stamp { term, seq: 1 });
    group.submit_endpoints(term - 1, &[]).await;
    assert_eq!(group.list_stamp(), Stamp { term, seq: 1 });
}

/// A report that lay in the socket while the process stood still is relayed as a new one, and replaces
/// newer ones at the other replicas.
#[tokio::test]
async fn a_report_that_is_read_after_a_pause_is_relayed_as_being_as_old_as_the_pause() {
    let pause = Duration::from_secs(1);
    let mut group = Group::with_leader().await;
    group.core.tick().await;
    std::thread::sleep(pause);
    let age = group.report("gateway-1").await;
    assert!(age >= pause, "{age:?}");
    while group.core.stalls.is_catching_up() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let age = group.report("gateway-2").await;
    assert!(age < pause / 2, "{age:?}");
}

/// A `forget-entry` that its operator gave up, and that arrives when the entry is back, takes its
/// endpoints and limits from it while it uses them.
#[tokio::test]
async fn an_entry_that_renews_is_not_forgotten() {
    let mut group = Group::with_leader().await;
    let mut rx = group.forget_entry("entry-2").await;
    assert_eq!(rx.try_recv(), Ok(Err(SubmitError::EntryMayBeAlive)));
    group.wait_for_leases_to_lapse().await;
    let members = ["entry-1", "entry-2"];
    group.renew("entry-2", 1, &members).await;
    group.sync().await;
    let mut rx = group.forget_entry("entry-2").await;
    assert_eq!(rx.try_recv(), Ok(Err(SubmitError::EntryMayBeAlive)));
    group.wait_for_leases_to_lapse().await;
    let mut rx = group.forget_entry("entry-2").await;
    group.sync().await;
    assert_eq!(rx.try_recv(), Ok(Ok(Outcome::Recorded)));
    assert_eq!(group.logged_members(), Some(vec![name("entry-1")]));
    // A resend gets the first outcome, also if the entry is back.
    group.renew("entry-2", 2, &members).await;
    let mut rx = group.forget_entry("entry-2").await;
    group.sync().await;
    assert_eq!(rx.try_recv(), Ok(Ok(Outcome::Recorded)));
}
