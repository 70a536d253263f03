//! The control replicas of the simulation.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{Member, Message, Registry, Update};
use filberthead_place::RetryBudgetConfig;
use filberthead_types::Moment;

/// Time without a leader after the last one was lost.
const ELECTION: Duration = Duration::from_secs(1);
/// Part of the budget that totals hand out.
const SAFETY_FACTOR: f64 = 0.85;

pub(super) const REPLICAS: usize = 3;

/// What one process sees of another.
pub(super) trait Links {
    /// Whether messages pass between two replicas.
    fn between(&self, a: usize, b: usize) -> bool;
}

struct Replica {
    registry: Registry,
    /// When this process started.
    started_at: Moment,
    next_roster: Moment,
    /// First attempts and retries that gateways reported to it as the leader.
    counts: VecDeque<(Moment, u32, u32)>,
}

impl Replica {
    fn new(now: Moment) -> Self {
        Self {
            registry: Registry::default(),
            started_at: now,
            next_roster: now,
            counts: VecDeque::new(),
        }
    }
}

/// All replicas, and which of them leads.
pub(super) struct Control {
    replicas: Vec<Replica>,
    leader: Option<usize>,
    leads_from: Moment,
}

pub(super) fn addr(replica: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + replica as u16))
}

impl Control {
    pub(super) fn new() -> Self {
        Self {
            replicas: (0..REPLICAS).map(|_| Replica::new(Moment::ZERO)).collect(),
            leader: None,
            leads_from: Moment::ZERO,
        }
    }

    /// Restarts a replica, which forgets all gateways.
    pub(super) fn restart(&mut self, now: Moment, replica: usize) {
        self.replicas[replica] = Replica::new(now);
        if self.leader == Some(replica) {
            self.leader = None;
            self.leads_from = now + ELECTION;
        }
    }

    /// Elects a leader that a majority reaches, and relays reports.
    pub(super) fn tick(&mut self, now: Moment, links: &impl Links) {
        let reaches_majority = |replica: usize| {
            let reached = (0..REPLICAS).filter(|other| links.between(replica, *other));
            2 * reached.count() > REPLICAS
        };
        if self.leader.is_some_and(|leader| !reaches_majority(leader)) {
            self.leader = None;
            self.leads_from = now + ELECTION;
        }
        if self.leader.is_none() && now >= self.leads_from {
            self.leader = (0..REPLICAS)
                .rev()
                .find(|replica| reaches_majority(*replica));
        }
        for from in 0..REPLICAS {
            if now < self.replicas[from].next_roster {
                continue;
            }
            self.replicas[from].next_roster = now + Duration::from_millis(500);
            let Some(roster) = self.replicas[from].registry.roster(now) else {
                continue;
            };
            for to in (0..REPLICAS).filter(|to| *to != from && links.between(from, *to)) {
                let registry = &mut self.replicas[to].registry;
                registry.receive(now, addr(from), roster.clone(), false);
            }
        }
    }

    /// Delivers a gateway's message to a replica, and the answers to the gateway.
    pub(super) fn exchange(
        &mut self,
        now: Moment,
        (member, member_addr): (&mut Member, SocketAddr),
        (to, message): (usize, Message),
        links: &impl Links,
    ) -> Vec<Update> {
        let leader = self.leader.filter(|leader| links.between(*leader, to));
        let registry = &mut self.replicas[to].registry;
        let mut answers = registry.receive(now, member_addr, message, leader == Some(to));
        let requests = registry.take_proof_requests();
        if let Some(leader) = leader {
            let count = self.replicas[leader].registry.counted_gateways(now);
            answers.extend(self.replicas[to].registry.prove(requests, count));
        }
        let received = answers
            .into_iter()
            .flat_map(|(_, answer)| member.receive(now, addr(to), answer).1);
        received.collect()
    }

    /// Adds a gateway's counts to the totals. Returns the retries that it may send until the next
    /// totals: half of an equal part of what is left, as all gateways may spend theirs before
    /// control sees it.
    pub(super) fn add_up(
        &mut self,
        now: Moment,
        cfg: &RetryBudgetConfig,
        (first, retries): (u32, u32),
    ) -> Option<f64> {
        let replica = &mut self.replicas[self.leader?];
        replica.counts.push_back((now, first, retries));
        let window = cfg.window + Duration::from_secs(1);
        replica.counts.retain(|(at, ..)| now < *at + window);
        let started_at = replica.started_at.max(self.leads_from);
        if now < started_at + window {
            return Some(0.0);
        }
        let (first, retries) = replica
            .counts
            .iter()
            .fold((0, 0), |sums, (_, first, retries)| {
                (sums.0 + first, sums.1 + retries)
            });
        let count = replica.registry.counted_gateways(now)?.max(1);
        let allowed = SAFETY_FACTOR * (cfg.ratio * f64::from(first) + cfg.floor);
        let left = (allowed - f64::from(retries)).max(0.0);
        Some(left / 2.0 / f64::from(count))
    }
}
