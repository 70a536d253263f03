//! Requests for homes that this entry isn't the primary of.

use filberthead_types::{Incarnation, Moment, NodeName, ResultCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::home::Role;
use crate::ledger::Peer;
use crate::primary::{refuse, replay};
use crate::{Decision, Digest, HomeEpoch, HomeId, Key, KeyPrefix, Ledger, Member, Token};

/// Most times that a request is forwarded. Two are enough: by an entry elsewhere, which
/// knows the failure domain of the home, and by one there, which knows the primary. The
/// bound ends loops between entries that each take the other one for the primary.
pub const MAX_HOPS: u8 = 2;

/// A request that waits until the primary of its home is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Parked {
    token: Token,
    key: Key,
    digest: Digest,
    hops: u8,
}

impl Ledger {
    pub(crate) fn begin_elsewhere(&mut self, token: Token, key: &Key, digest: Digest, hops: u8) {
        let id = &key.prefix.home;
        if self.awaits_claim_result(key) {
            let parked = Parked {
                token,
                key: key.clone(),
                digest,
                hops,
            };
            self.parked.entry(id.clone()).or_default().push(parked);
            return;
        }
        let home = self.homes.get(id);
        let record = home.and_then(|home| home.record(key.prefix.generation, &key.suffix));
        let known = record.map(|record| (record.digest, record.stage.clone()));
        let decision = match known {
            Some((on_record, _)) if on_record != digest => refuse(&self.cfg, ResultCode::KeyReused),
            // A final state is valid at whichever entry it is on record.
            Some((_, stage)) if stage.is_final() => replay(&self.cfg, &stage),
            known => self.forward(id, hops).unwrap_or_else(|code| {
                let code = known.map_or(code, |_| ResultCode::OutcomeUnknown);
                refuse(&self.cfg, code)
            }),
        };
        self.answer(token, decision);
    }

    /// Whether the primary can't be reached and this entry, as its backup, is about to
    /// become primary or to receive the claim result. Letting the caller wait these seconds
    /// saves it a resend.
    fn awaits_claim_result(&self, key: &Key) -> bool {
        let id = &key.prefix.home;
        let Some(home) = self.homes.get(id) else {
            return false;
        };
        let known = home.record(key.prefix.generation, &key.suffix);
        let is_known = known.is_some_and(|record| record.stage.is_final());
        let active = matches!(&home.role, Role::Backup(backup) if backup.is_active());
        active && !is_known && self.primary_of(id).is_none()
    }

    /// Decides again about the requests that waited for a primary.
    pub(crate) fn unpark(&mut self, now: Moment) {
        if self.parked.is_empty() {
            return;
        }
        for (_, parked) in std::mem::take(&mut self.parked) {
            for Parked {
                token,
                key,
                digest,
                hops,
            } in parked
            {
                if self.requests.is_waiting(token) {
                    self.begin(now, token, &key, digest, hops);
                }
            }
        }
    }

    fn forward(&self, id: &HomeId, hops: u8) -> Result<Decision, ResultCode> {
        if hops >= MAX_HOPS {
            return Err(ResultCode::HomeUnreachable);
        }
        let entry = self
            .primary_of(id)
            .or_else(|| self.find_live(id.founder))
            .or_else(|| self.likely_backup(id, hops));
        match entry {
            Some(member) => Ok(Decision::Forward {
                entry: member.name.clone(),
            }),
            None if self.is_lost(id) => Err(ResultCode::HomeLostRecords),
            None => Err(ResultCode::HomeUnreachable),
        }
    }

    /// The primary of a home, `None` if it isn't known here or isn't live.
    pub(crate) fn primary_of(&self, id: &HomeId) -> Option<&Member> {
        let reported = self.peers.values().filter_map(|peer| {
            let epoch = peer.homes.get(id)?;
            Some((*epoch, peer.incarnation))
        });
        if let Some((_, incarnation)) = reported.max() {
            return self.find_live(incarnation);
        }
        match &self.homes.get(id)?.role {
            Role::Backup(backup) => self.find_live(backup.primary_incarnation),
            Role::Former { primary, .. } => self.find_live((*primary)?),
            Role::Primary(_) => None,
        }
    }

    /// For an entry of another failure domain: the most likely backup of the home.
    fn likely_backup(&self, id: &HomeId, hops: u8) -> Option<&Member> {
        if hops > 0 || id.failure_domain == self.me.failure_domain {
            return None;
        }
        let members = self.members.iter().flatten();
        members
            .filter(|member| member.failure_domain == id.failure_domain)
            .filter(|member| !self.unreachable.contains_key(&member.name))
            .max_by_key(|member| weight(id, &member.name))
    }

    /// Whether the home is lost. Called where neither a primary nor the founder is live: if
    /// this entry is in the failure domain of the home and has the list of live entries, no
    /// entry is its primary any more.
    fn is_lost(&self, id: &HomeId) -> bool {
        id.failure_domain == self.me.failure_domain && self.members.is_some()
    }

    fn find_live(&self, incarnation: Incarnation) -> Option<&Member> {
        let mut members = self.members.iter().flatten();
        let member = members.find(|member| member.incarnation == incarnation)?;
        Some(member).filter(|member| !self.unreachable.contains_key(&member.name))
    }

    /// Avoids an entry that a request has just failed to reach, for as long as its backup
    /// takes to detect the failure. Otherwise, while the list of live entries still
    /// contains a dead primary, resends are forwarded to it again and again.
    pub(crate) fn mark_unreachable(&mut self, now: Moment, failed: Option<NodeName>) {
        if let Some(name) = failed {
            self.unreachable
                .insert(name, now + self.cfg.failover_timeout);
        }
    }

    /// Whether a process other than `incarnation` runs under this name.
    pub(crate) fn has_restarted(&self, name: &NodeName, incarnation: Incarnation) -> bool {
        let mut members = self.members.iter().flatten();
        members.any(|member| member.name == *name && member.incarnation != incarnation)
    }

    /// The entry that is to be the backup of homes that have none.
    pub(crate) fn candidate(&self) -> Option<&Member> {
        let id = self.own.as_ref()?;
        let members = self.members.iter().flatten();
        members
            .filter(|m| m.failure_domain == self.me.failure_domain && !m.leaving)
            .max_by_key(|member| weight(id, &member.name))
    }

    pub(crate) fn set_members(&mut self, now: Moment, mut members: Vec<Member>) {
        members.retain(|member| member.name != self.me.name);
        let live = |peer: &Peer| members.iter().any(|m| m.incarnation == peer.incarnation);
        self.peers.retain(|_, peer| live(peer));
        self.members = Some(members);
        self.tick(now);
    }

    pub(crate) fn record_held_homes(
        &mut self,
        now: Moment,
        from: &NodeName,
        incarnation: Incarnation,
        homes: Vec<(HomeId, HomeEpoch)>,
        prefix: Option<KeyPrefix>,
    ) {
        let primary = Member {
            name: from.clone(),
            incarnation,
            failure_domain: self.me.failure_domain.clone(),
            leaving: false,
        };
        for (id, epoch) in &homes {
            self.observe_primary(now, id, *epoch, &primary);
        }
        let peer = Peer {
            incarnation,
            homes: homes.into_iter().collect(),
            prefix,
        };
        self.peers.insert(from.clone(), peer);
    }

    /// Another entry is the primary of a home. If its epoch is newer than the one here, the
    /// role of this entry ends.
    fn observe_primary(&mut self, now: Moment, id: &HomeId, epoch: HomeEpoch, primary: &Member) {
        self.with_home(now, id, |home, cx| {
            if epoch <= home.epoch {
                return;
            }
            let former = Role::Former {
                primary: Some(primary.incarnation),
                since: cx.now,
            };
            match &home.role {
                Role::Primary(_) => home.demote(cx, home.epoch.next(), primary),
                // Its primary uses other epochs while it copies the home to this entry;
                // only another primary ends the role of the backup.
                Role::Backup(backup) if backup.primary_incarnation == primary.incarnation => {}
                // The epoch stays: the primary's next append from number 0 has a higher
                // one.
                Role::Backup(_) | Role::Former { .. } => home.role = former,
            }
        });
    }
}

/// Rendezvous hashing: each home has its own order of preferred entries.
fn weight(id: &HomeId, name: &NodeName) -> u64 {
    xxh3_64(format!("{id} {name}").as_bytes())
}
