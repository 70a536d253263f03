//! Several ledgers, the claim results of control, and the messages between them, in one
//! value.
//!
//! The guarantees of the ledger are checked at each step: a key runs at most once, a key
//! refused as "not run" never runs, a replayed answer is the one that the endpoint gave. A
//! broken guarantee is stored in [`Cluster::violation`], so that tests can show that a
//! ledger with a disabled guard breaks it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use filberthead_ledger::{
    Action, ClaimResult, ClaimResults, Config, ConfigBuilder, Decision, Digest, Event, Guards,
    HomeId, Key, KeyPrefix, Ledger, Member, Message, Op, Token,
};
use filberthead_types::{Incarnation, Meaning, Moment, NodeName, ResultCode};

use crate::wire::{DiskWrite, HashedMessage, Packet};

pub(crate) const FAILOVER_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) const START_WINDOW: Duration = Duration::from_secs(20);
pub(crate) const RETENTION: Duration = Duration::from_secs(60);
/// Time from each request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Short times, so that each of them elapses in a test.
pub(crate) fn config(guards: Guards) -> ConfigBuilder {
    Config::builder()
        .failover_timeout(FAILOVER_TIMEOUT)
        .start_window(START_WINDOW)
        .retention(RETENTION)
        .generation_period(Duration::from_secs(10))
        .max_answer(64)
        .max_bytes(64 * 64)
        .guards(guards)
}

/// Number of the VM of an entry, which outlives the entry's processes.
pub(crate) type Slot = usize;

/// A request that was allowed to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Started {
    pub(crate) slot: Slot,
    pub(crate) token: Token,
    pub(crate) key: String,
    /// Whether an endpoint has run it.
    pub(crate) ran: bool,
}

/// How often each event happened, to show that a test covers what it is meant to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) started: u64,
    pub(crate) replayed: u64,
    pub(crate) not_run: u64,
    pub(crate) may_have_run: u64,
    pub(crate) claim_results: u64,
    pub(crate) hand_overs: u64,
    pub(crate) recovered: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Cluster {
    cfg: Config,
    pub(crate) now: Moment,
    /// Running entries; in an `Rc`, so that clones share what a step doesn't change.
    pub(crate) nodes: BTreeMap<Slot, Rc<Ledger>>,
    pub(crate) members: BTreeMap<Slot, Member>,
    /// Packets in flight.
    pub(crate) wire: Vec<Rc<Packet>>,
    pub(crate) claim_results: ClaimResults,
    /// Synced journals, by VM.
    disks: BTreeMap<Slot, BTreeMap<HomeId, Vec<Op>>>,
    /// Outstanding disk writes, by VM.
    unsynced: BTreeMap<Slot, VecDeque<DiskWrite>>,
    /// Links that drop every message, by sender and receiver.
    pub(crate) cut: BTreeSet<(Slot, Slot)>,
    /// Entries without a connection to control.
    pub(crate) control_cut: BTreeSet<Slot>,
    /// Undecided requests: entry, key, digest and hops.
    requests: BTreeMap<Token, (Slot, String, u128, u8)>,
    pub(crate) started: Vec<Started>,
    /// How often each key has run.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Answer of each key that ran.
    answers: BTreeMap<String, Vec<u8>>,
    /// Keys that were refused with a code that means "not run".
    refused_not_run: BTreeSet<String>,
    /// Every decision of the ledgers, with its key.
    pub(crate) decisions: Vec<(String, Decision)>,
    /// The last broken guarantee.
    pub(crate) violation: Option<String>,
    pub(crate) counts: Counts,
    next_incarnation: u64,
    next_token: u64,
}

impl Cluster {
    /// A cluster with one entry for each item of `domains`, its failure domain.
    pub(crate) fn new(cfg: Config, domains: &[&str]) -> Self {
        let mut cluster = Self {
            cfg,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            members: BTreeMap::new(),
            wire: Vec::new(),
            claim_results: ClaimResults::default(),
            disks: BTreeMap::new(),
            unsynced: BTreeMap::new(),
            cut: BTreeSet::new(),
            control_cut: BTreeSet::new(),
            requests: BTreeMap::new(),
            started: Vec::new(),
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
            refused_not_run: BTreeSet::new(),
            decisions: Vec::new(),
            violation: None,
            counts: Counts::default(),
            next_incarnation: 1,
            next_token: 1,
        };
        for (slot, domain) in domains.iter().enumerate() {
            let member = Member {
                name: name(slot),
                incarnation: Incarnation(0),
                failure_domain: domain.parse().expect("a valid name"),
                leaving: false,
            };
            cluster.members.insert(slot, member);
            cluster.boot(slot);
        }
        cluster.announce_members();
        cluster
    }

    /// Starts a process without any records.
    pub(crate) fn boot(&mut self, slot: Slot) {
        let member = self.members.get_mut(&slot).expect("a known slot");
        member.incarnation = Incarnation(self.next_incarnation);
        member.leaving = false;
        self.next_incarnation += 1;
        let ledger = Ledger::new(self.now, self.cfg.clone(), member.clone());
        self.nodes.insert(slot, Rc::new(ledger));
    }

    /// Starts a process that recovers the journals on the disk of its VM.
    pub(crate) fn boot_from_disk(&mut self, slot: Slot) {
        self.boot(slot);
        let journals = self.disks.get(&slot).cloned().unwrap_or_default();
        let ledger = Rc::make_mut(self.nodes.get_mut(&slot).expect("it was started"));
        for (home, ops) in journals {
            self.counts.recovered += 1;
            ledger.recover(self.now, home, ops);
        }
    }

    /// Number of operations in all journals of a VM.
    pub(crate) fn journal_len(&self, slot: Slot) -> usize {
        let disk = self.disks.get(&slot);
        disk.map_or(0, |journals| journals.values().map(Vec::len).sum())
    }

    /// Erases the disk of a VM; its process must not run.
    pub(crate) fn wipe(&mut self, slot: Slot) {
        self.disks.remove(&slot);
    }

    /// Completes the oldest outstanding write of a VM.
    pub(crate) fn sync(&mut self, slot: Slot) {
        let Some(write) = self.unsynced.get_mut(&slot).and_then(VecDeque::pop_front) else {
            return;
        };
        let disk = self.disks.entry(slot).or_default();
        if write.retire {
            disk.remove(&write.home);
        } else {
            let journal = disk.entry(write.home.clone()).or_default();
            if write.rewrite {
                journal.clear();
            }
            journal.extend(write.ops);
        }
        let (home, number) = (write.home, write.number);
        self.step(slot, Event::Synced { home, number });
    }

    /// Sends the list of live entries to each of them.
    pub(crate) fn announce_members(&mut self) {
        let live: Vec<Slot> = self.nodes.keys().copied().collect();
        let members: Vec<Member> = live.iter().map(|s| self.members[s].clone()).collect();
        for slot in live {
            self.step(slot, Event::Members(members.clone()));
        }
    }

    /// Ends a process at once. What it started but didn't send out never runs.
    pub(crate) fn crash(&mut self, slot: Slot) {
        self.nodes.remove(&slot);
        self.unsynced.remove(&slot);
        self.started.retain(|s| s.slot != slot);
        self.requests.retain(|_, (at, ..)| *at != slot);
    }

    pub(crate) fn step(&mut self, slot: Slot, event: Event) {
        let now = self.now;
        let Some(ledger) = self.nodes.get_mut(&slot) else {
            return;
        };
        let actions = Rc::make_mut(ledger).step(now, event);
        for action in actions {
            self.act(slot, action);
        }
    }

    fn act(&mut self, from: Slot, action: Action) {
        match action {
            Action::Decide { token, decision } => self.decided(from, token, decision),
            Action::Send { to, message } => {
                let Some(to) = self.slot_of(&to) else {
                    return;
                };
                if matches!(&message, Message::Append { ops, .. } if ops.contains(&Op::HandOver)) {
                    self.counts.hand_overs += 1;
                }
                let body = HashedMessage::new(message);
                self.post(Packet::Message { from, to, body });
            }
            Action::Claim(claim) => self.post(Packet::Claim { from, claim }),
            Action::Sync {
                home,
                number,
                ops,
                rewrite,
                retire,
            } => {
                let write = DiskWrite {
                    home,
                    number,
                    ops,
                    rewrite,
                    retire,
                };
                self.unsynced.entry(from).or_default().push_back(write);
            }
        }
    }

    fn post(&mut self, packet: Packet) {
        self.wire.push(Rc::new(packet));
    }

    fn slot_of(&self, name: &NodeName) -> Option<Slot> {
        let mut members = self.members.iter();
        members
            .find(|(_, m)| m.name == *name)
            .map(|(slot, _)| *slot)
    }

    fn decided(&mut self, slot: Slot, token: Token, decision: Decision) {
        let Some((_, key, digest, hops)) = self.requests.remove(&token) else {
            self.violation = Some(format!("request {token:?} got two answers"));
            return;
        };
        self.decisions.push((key.clone(), decision.clone()));
        match decision {
            Decision::Start => {
                self.counts.started += 1;
                let ran = false;
                self.started.push(Started {
                    slot,
                    token,
                    key,
                    ran,
                });
            }
            Decision::Replay(answer) => {
                self.counts.replayed += 1;
                if self.answers.get(&key).map(Vec::as_slice) != Some(&answer[..]) {
                    self.violation = Some(format!("{key} got another answer than its own"));
                }
            }
            Decision::Refuse { code, .. } => self.refused(&key, code),
            Decision::Forward { entry } => {
                if let Some(to) = self.slot_of(&entry) {
                    let hops = hops + 1;
                    self.post(Packet::Request {
                        to,
                        key,
                        digest,
                        hops,
                    });
                }
            }
        }
    }

    fn refused(&mut self, key: &str, code: ResultCode) {
        let runs = self.runs.get(key).copied().unwrap_or(0);
        match code.meaning() {
            // The refusal is about this request, not about the one that the key belongs to.
            _ if code == ResultCode::KeyReused => {}
            Meaning::NotRun => {
                self.counts.not_run += 1;
                self.refused_not_run.insert(key.to_owned());
                if runs > 0 {
                    self.violation = Some(format!("{key} ran and was refused with {code}"));
                }
            }
            Meaning::MayHaveRun => self.counts.may_have_run += 1,
            Meaning::Ran if runs == 0 => {
                self.violation = Some(format!("{key} didn't run and was refused with {code}"));
            }
            Meaning::Ran => {}
        }
    }

    /// Sends a key to an entry, as a caller does.
    pub(crate) fn send(&mut self, slot: Slot, key: &str) {
        self.request(slot, key, 1, 0);
    }

    /// Sends a key again after `failed`, the entry that it was forwarded to, gave no
    /// answer.
    pub(crate) fn send_after_failure(&mut self, slot: Slot, key: &str, failed: Slot) {
        self.begin(slot, key, 1, 0, Some(name(failed)));
    }

    pub(crate) fn request(&mut self, slot: Slot, key: &str, digest: u128, hops: u8) {
        self.begin(slot, key, digest, hops, None);
    }

    fn begin(&mut self, slot: Slot, key: &str, digest: u128, hops: u8, failed: Option<NodeName>) {
        if !self.nodes.contains_key(&slot) {
            return;
        }
        let token = Token(self.next_token);
        self.next_token += 1;
        self.requests
            .insert(token, (slot, key.to_owned(), digest, hops));
        let event = Event::Begin {
            token,
            key: key.parse::<Key>().expect("a valid key"),
            digest: Digest(digest),
            deadline: self.now + REQUEST_TIMEOUT,
            hops,
            failed,
        };
        self.step(slot, event);
    }

    /// Removes a packet from the network and delivers it, unless its link is cut.
    pub(crate) fn deliver(&mut self, index: usize) {
        let packet = self.wire.remove(index);
        self.arrive(&packet);
    }

    /// Delivers a packet, unless its link is cut.
    pub(crate) fn arrive(&mut self, packet: &Packet) {
        match packet.clone() {
            Packet::Message { from, to, body } => {
                if self.cut.contains(&(from, to)) {
                    return;
                }
                let from = name(from);
                let message = body.message().clone();
                self.step(to, Event::Received { from, message });
            }
            Packet::Claim { from, claim } => {
                if self.control_cut.contains(&from) {
                    return;
                }
                self.counts.claim_results += u64::from(self.claim_results.get(&claim).is_none());
                let winner = self.claim_results.apply(&claim).winner;
                self.post(Packet::ClaimResult {
                    to: from,
                    claim,
                    winner,
                });
            }
            Packet::ClaimResult { to, claim, winner } => {
                if self.control_cut.contains(&to) {
                    return;
                }
                let result = ClaimResult {
                    home: claim.home,
                    epoch: claim.epoch,
                    winner,
                };
                let message = Message::ClaimResult(result);
                let from = "control".parse().expect("a valid name");
                self.step(to, Event::Received { from, message });
            }
            Packet::Request {
                to,
                key,
                digest,
                hops,
            } => self.request(to, &key, digest, hops),
        }
    }

    /// Runs a started request at an endpoint.
    pub(crate) fn run(&mut self, index: usize) {
        let started = &mut self.started[index];
        if started.ran {
            return;
        }
        started.ran = true;
        let key = started.key.clone();
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violation = Some(format!("{key} ran {runs} times"));
        }
        if self.refused_not_run.contains(&key) {
            self.violation = Some(format!("{key} ran after it was refused as not run"));
        }
        let answer = format!("answer to {key}").into_bytes();
        self.answers.insert(key, answer);
    }

    /// Runs a started request unless it ran already, and reports its whole answer.
    pub(crate) fn finish(&mut self, index: usize) {
        self.run(index);
        let Started {
            slot, token, key, ..
        } = self.started.remove(index);
        let answer = Some(self.answers[&key].clone().into());
        self.step(slot, Event::Finished { token, answer });
    }

    /// Ends a started request without an answer.
    pub(crate) fn give_up(&mut self, index: usize) {
        let Started {
            slot,
            token,
            key,
            ran,
        } = self.started.remove(index);
        if ran {
            return self.step(slot, Event::Unknown { token });
        }
        let code = ResultCode::NoEndpoint;
        self.refused(&key, code);
        self.step(slot, Event::NotRun { token, code });
    }

    pub(crate) fn tick(&mut self) {
        let slots: Vec<Slot> = self.nodes.keys().copied().collect();
        for slot in slots {
            self.step(slot, Event::Tick);
        }
    }

    /// Advances the time in small steps, delivering every packet at once.
    pub(crate) fn settle(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.drain();
            if self.now >= end {
                return;
            }
            self.now += Duration::from_millis(50);
            self.tick();
        }
    }

    /// Delivers and syncs until nothing is in flight; reports a violation if that takes too
    /// many steps.
    pub(crate) fn drain(&mut self) {
        for _ in 0..100_000 {
            let mut unsynced = self.unsynced.iter();
            let slot = unsynced.find(|(_, w)| !w.is_empty()).map(|(slot, _)| *slot);
            if let Some(slot) = slot {
                self.sync(slot);
            } else if self.wire.is_empty() {
                return;
            } else {
                self.deliver(0);
            }
        }
        self.violation = Some("the entries never stop sending".to_owned());
    }

    /// Delivers until no packet is in flight, without completing any disk write.
    pub(crate) fn drain_network(&mut self) {
        while !self.wire.is_empty() {
            self.deliver(0);
        }
    }

    pub(crate) fn prefix(&self, slot: Slot) -> Option<KeyPrefix> {
        self.nodes.get(&slot)?.prefix()
    }

    /// A key with the prefix that an entry hands out now.
    pub(crate) fn key(&self, slot: Slot, suffix: &str) -> String {
        let prefix = self.prefix(slot).expect("the entry hands out a prefix");
        format!("{prefix}{suffix}")
    }

    /// The newest decision about a key.
    pub(crate) fn last_decision(&self, key: &str) -> Option<&Decision> {
        let mut decisions = self.decisions.iter().rev();
        decisions
            .find(|(of, _)| of == key)
            .map(|(_, decision)| decision)
    }

    /// The code of the newest decision about a key, `None` if it isn't a refusal.
    pub(crate) fn last_code(&self, key: &str) -> Option<ResultCode> {
        match self.last_decision(key)? {
            Decision::Refuse { code, .. } => Some(*code),
            _ => None,
        }
    }

    /// Whether the same events are possible from here on in both clusters.
    pub(crate) fn is_equivalent(&self, other: &Self) -> bool {
        self.relevant_state() == other.relevant_state()
    }

    pub(crate) fn hash_into(&self, state: &mut impl Hasher) {
        self.relevant_state().hash(state);
    }

    /// What later events depend on, and what the guarantees are checked against.
    fn relevant_state(&self) -> impl Hash + Eq + '_ {
        let disks = (&self.disks, &self.unsynced);
        let settings = (
            &self.now,
            &self.cut,
            &self.control_cut,
            &self.members,
            disks,
        );
        let moving = (
            &self.nodes,
            &self.wire,
            &self.claim_results,
            &self.requests,
            &self.started,
        );
        (
            settings,
            moving,
            &self.runs,
            &self.refused_not_run,
            &self.violation,
        )
    }

    pub(crate) fn cut_both_ways(&mut self, a: Slot, b: Slot) {
        self.cut.insert((a, b));
        self.cut.insert((b, a));
    }
}

pub(crate) fn name(slot: Slot) -> NodeName {
    format!("entry-{slot}").parse().expect("a valid name")
}
