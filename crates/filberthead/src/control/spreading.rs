//! Distribution of committed table versions to entries: connects [`Source`] to the replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_operator::EntryStatus;
use filberthead_peer::Origin;
use filberthead_spread::source::{Action, Event, MemberStatus, Source};
use filberthead_spread::{Config, Leader, MemberInfo, Message, Sender};
use filberthead_table::View;
use filberthead_types::{Epoch, FailureDomain, Moment, Region};

/// Whether this replica leads.
pub(crate) enum Leadership {
    /// It leads, with a valid lease.
    Leads {
        /// Its term.
        term: Epoch,
        /// End of the lease.
        until: Moment,
    },
    /// Another replica leads, or none.
    Follows {
        /// Term and address of the leader, if known.
        leader: Option<Leader>,
    },
}

/// Failure domains and their regions.
pub(crate) type Domains = BTreeMap<FailureDomain, Region>;

/// Distributes committed versions and tracks which entries have them.
#[derive(Debug)]
pub(crate) struct Spreading {
    source: Source,
    domains: Domains,
}

impl Spreading {
    /// Starts as a follower.
    pub(crate) fn new(replicas: Vec<SocketAddr>) -> Self {
        Self {
            source: Source::new(Config::builder().build(), replicas),
            domains: Domains::new(),
        }
    }

    /// Sets the addresses of the other replicas.
    pub(crate) fn set_replicas(&mut self, replicas: Vec<SocketAddr>) {
        self.source.set_replicas(replicas);
    }

    /// Distributes a committed table.
    pub(crate) fn committed(&mut self, now: Moment, view: Arc<View>) -> Vec<(SocketAddr, Message)> {
        self.step(now, Event::Committed(view))
    }

    /// Handles a message from an entry or another replica.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        origin: &Origin,
        message: Message,
    ) -> Vec<(SocketAddr, Message)> {
        let from = Sender {
            name: origin.name.clone(),
            incarnation: origin.incarnation,
            addr: origin.addr,
        };
        self.step(now, Event::Received { from, message })
    }

    /// Updates the leadership and advances time.
    pub(crate) fn tick(
        &mut self,
        now: Moment,
        leadership: Leadership,
    ) -> Vec<(SocketAddr, Message)> {
        let event = match leadership {
            Leadership::Leads { term, until } => Event::Lead { term, until },
            Leadership::Follows { leader } => Event::Follow { leader },
        };
        let mut out = self.step(now, event);
        out.extend(self.step(now, Event::Tick));
        out
    }

    /// Status of the entries, with the versions that they report.
    pub(crate) fn entries(&self, now: Moment) -> Vec<EntryStatus> {
        let members = self.source.status(now);
        members.into_iter().map(entry_status).collect()
    }

    /// Failure domains that have entries, or had entries that weren't stopped in order.
    pub(crate) fn domains(&self) -> &Domains {
        &self.domains
    }

    fn step(&mut self, now: Moment, event: Event) -> Vec<(SocketAddr, Message)> {
        let mut out = Vec::new();
        for action in self.source.step(now, event) {
            match action {
                Action::Send { to, message } => out.push((to, message)),
                Action::Entries(members) => self.update_domains(&members),
            }
        }
        out
    }

    /// The directory drops entries that become silent. They and their endpoints may be fine and
    /// only cut off, so their failure domain is remembered.
    fn update_domains(&mut self, members: &[MemberInfo]) {
        for member in members.iter().filter(|member| member.leaving) {
            self.domains.remove(&member.failure_domain);
        }
        for member in members.iter().filter(|member| !member.leaving) {
            let domain = member.failure_domain.clone();
            self.domains.insert(domain, member.region.clone());
        }
    }
}

fn entry_status(status: MemberStatus) -> EntryStatus {
    let member = status.member;
    EntryStatus {
        name: member.name,
        region: member.region,
        failure_domain: member.failure_domain,
        caller_addr: member.caller_addr,
        version: status.version,
        leaving: member.leaving,
        heard_ms: status.age.map(millis),
    }
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
