//! Explores scenarios with all safety rules, and with each one disabled in turn.

use filberthead_consensus::{Durable, Entry, Guards, HardState, Payload, Proposal};
use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::cluster::{Cluster, Violation, bootstrap, id, voters};
use crate::explore::{Budget, Scenario, all_safety_rules, config, explore};

/// Delivers and syncs until nothing is in flight; messages from and to `unreachable` are
/// lost.
fn deliver_and_sync_all(cluster: &mut Cluster, unreachable: &[u64]) {
    let is_unreachable = |id: &ReplicaId| unreachable.contains(&id.0);
    loop {
        let ids: Vec<_> = cluster.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| cluster.sync(id));
        cluster
            .net
            .retain(|e| !is_unreachable(&e.from) && !is_unreachable(&e.to));
        if cluster.net.is_empty() && cluster.nodes.values().all(|n| n.unsynced.is_none()) {
            return;
        }
        let due = std::mem::take(&mut cluster.net);
        due.into_iter().for_each(|e| cluster.deliver(e));
    }
}

/// Advances one second and has `leader` send a heartbeat.
fn heartbeat(cluster: &mut Cluster, leader: u64, unreachable: &[u64]) {
    cluster.now += Moment::from_secs(1);
    cluster.tick(id(leader));
    deliver_and_sync_all(cluster, unreachable);
}

/// Three new replicas, with their initial no-vote period over.
fn three_replicas(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(3, config(guards));
    cluster.now = Moment::from_secs(3);
    cluster
}

/// 1 has requested votes; the request to 3 is lost.
fn vote_requested(guards: Guards) -> Cluster {
    let mut cluster = three_replicas(guards);
    cluster.tick(id(1));
    cluster.sync(id(1));
    cluster.net.retain(|e| e.to == id(2));
    cluster
}

/// 1 leads, all have the first entry of its term; 3 has missed the last heartbeat.
fn leader_elected(guards: Guards) -> Cluster {
    let mut cluster = three_replicas(guards);
    cluster.tick(id(1));
    deliver_and_sync_all(&mut cluster, &[]);
    heartbeat(&mut cluster, 1, &[]);
    heartbeat(&mut cluster, 1, &[3]);
    cluster
}

/// 1 leads; a command is committed that only 1 and 2 have.
fn follower_lagging(guards: Guards) -> Cluster {
    let mut cluster = leader_elected(guards);
    cluster.propose_command(id(1), 9);
    deliver_and_sync_all(&mut cluster, &[3]);
    assert_eq!(cluster.history.accepted, 3);
    cluster
}

/// 1 leads; 3 has acknowledged its last heartbeat, and the reply of 2 is in flight.
fn reply_in_flight(guards: Guards) -> Cluster {
    let mut cluster = leader_elected(guards);
    cluster.now += Moment::from_secs(1);
    cluster.tick(id(1));
    let heartbeats = std::mem::take(&mut cluster.net);
    heartbeats.into_iter().for_each(|e| cluster.deliver(e));
    let at = cluster.net.iter().position(|e| e.from == id(3));
    let reply = cluster.net.remove(at.expect("a reply"));
    cluster.deliver(reply);
    cluster
}

/// 1 leads; 4 is a learner that holds only the first snapshot; a command is committed that
/// only 1 and 2 have.
fn learner_added(guards: Guards) -> Cluster {
    let mut cluster = leader_elected(guards);
    cluster.propose(id(1), Proposal::AddLearner(id(4)));
    cluster.add(id(4), bootstrap(voters(3)));
    deliver_and_sync_all(&mut cluster, &[4]);
    for _ in 0..3 {
        heartbeat(&mut cluster, 1, &[4]);
    }
    cluster.propose_command(id(1), 9);
    deliver_and_sync_all(&mut cluster, &[3, 4]);
    assert_eq!(cluster.history.accepted, 4);
    cluster
}

/// 1 and 3 each led once and have an entry that no other replica has. 2 has neither; it
/// has just elected 1 again and sent it the end of its log.
fn conflicting_tails(guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(3, config(guards));
    for (replica, term) in [(1, 1), (2, 0), (3, 2)] {
        cluster.crash(id(replica), false);
        let mut disk: Durable = bootstrap(voters(3));
        disk.hard_state = HardState {
            term: Epoch(2),
            vote: Some(id(3)),
        };
        if term > 0 {
            disk.entries.push(Entry {
                term: Epoch(term),
                index: 2,
                payload: Payload::Command(vec![term as u8]),
            });
        }
        cluster.add(id(replica), disk);
    }
    cluster.now = Moment::from_secs(3);
    cluster.tick(id(1));
    cluster.sync(id(1));
    cluster.net.retain(|e| e.to == id(2));
    // The vote request, its reply, the first entry of the term, and its rejection.
    for _ in 0..4 {
        let envelope = cluster.net.remove(0);
        let to = envelope.to;
        cluster.deliver(envelope);
        cluster.sync(to);
    }
    cluster
}

fn scenario(cluster: Cluster, depth: u8, budget: Budget) -> Scenario {
    Scenario {
        cluster,
        budget,
        depth,
        wiped_keeps_identity: false,
    }
}

/// With all rules nothing is violated within `depth`; with one disabled by `remove`, a rule
/// that `expected` accepts is.
#[track_caller]
fn assert_rule_is_needed(
    setup: fn(Guards) -> Cluster,
    depth: u8,
    budget: Budget,
    remove: fn(&mut Guards),
    expected: fn(&Violation) -> bool,
) {
    let with_rule = explore(scenario(setup(all_safety_rules()), depth, budget));
    assert_eq!(with_rule.violation.as_ref(), None);
    let mut guards = all_safety_rules();
    remove(&mut guards);
    let without_rule = explore(scenario(setup(guards), depth, budget));
    println!(
        "{} states with the rule; without it {:?}",
        with_rule.states, without_rule
    );
    let (violation, _) = without_rule
        .violation
        .expect("a violation without the rule");
    assert!(expected(&violation), "{violation:?}");
}

/// A voter votes, crashes before the vote is synced, and votes for another candidate in
/// the same term: two leaders commit different entries at one index.
#[test]
fn replies_wait_for_the_sync() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        slow_syncs: 1,
        crashes: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        vote_requested,
        9,
        budget,
        |g| g.sync_before_send = false,
        |v| matches!(v, Violation::TwoLeaders(_)),
    );
}

/// A heartbeat's reply is late by almost an election timeout. Counted from its arrival,
/// the lease would last longer than the follower refuses its vote to others.
#[test]
fn lease_counts_from_the_send_time() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        reply_in_flight,
        10,
        budget,
        |g| g.lease_from_send = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A leader is suspended until after its lease has expired, and is still in the leader
/// state when it resumes.
#[test]
fn lease_is_compared_with_the_clock() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        leader_elected,
        10,
        budget,
        |g| g.lease_expires = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A replica that missed heartbeats requests the vote of one that has just acknowledged
/// the leader. Granting it would elect a second leader during the first one's lease.
#[test]
fn no_vote_while_a_leader_is_live() {
    let budget = Budget {
        seconds: 2,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        leader_elected,
        10,
        budget,
        |g| g.refuse_votes_while_leader_is_live = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// The same, but the voter has crashed since and lost track of its acknowledgement.
#[test]
fn no_vote_right_after_a_restart() {
    let budget = Budget {
        seconds: 2,
        elections: 1,
        crashes: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        leader_elected,
        11,
        budget,
        |g| g.wait_after_restart = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A new leader has the entries committed before its term, but hasn't applied them yet.
#[test]
fn no_read_before_the_noop_is_committed() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        follower_lagging,
        9,
        budget,
        |g| g.noop_before_read = false,
        |v| matches!(v, Violation::StaleRead),
    );
}

#[test]
fn votes_go_to_logs_at_least_as_new() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        follower_lagging,
        9,
        budget,
        |g| g.compare_logs = false,
        |v| matches!(v, Violation::LeaderLacksCommitted(_)),
    );
}

/// A learner with an empty log votes for a candidate that lacks a committed entry.
#[test]
fn learners_do_not_vote() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        learner_added,
        9,
        budget,
        |g| g.learners_do_not_count = false,
        |v| matches!(v, Violation::LeaderLacksCommitted(_)),
    );
}

/// A leader finds an entry of an earlier term on a majority and commits it; a candidate
/// whose last entry has a higher term overwrites it.
#[test]
fn only_the_leaders_own_term_is_committed_by_counting() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        conflicting_tails,
        9,
        budget,
        |g| g.commit_own_term_only = false,
        |v| matches!(v, Violation::LeaderLacksCommitted(_)),
    );
}

/// Two replicas are removed at once: the remaining one is a majority of its membership,
/// and the removed two are a majority of the old membership, which they still use.
#[test]
fn one_membership_change_at_a_time() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        removals: 2,
        ..Budget::NONE
    };
    assert_rule_is_needed(
        leader_elected,
        9,
        budget,
        |g| g.one_change_at_a_time = false,
        |v| matches!(v, Violation::LeaderLacksCommitted(_)),
    );
}

/// A disk is wiped and its replica set up again. Under its old identity its vote elects a
/// candidate that lacks a committed entry; under a new one its vote doesn't count.
#[test]
fn wiped_disk_gets_a_new_identity() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        wipes: 1,
        ..Budget::NONE
    };
    let with_rule = explore(scenario(follower_lagging(all_safety_rules()), 9, budget));
    assert_eq!(with_rule.violation.as_ref(), None);
    let mut without_rule = scenario(follower_lagging(all_safety_rules()), 9, budget);
    without_rule.wiped_keeps_identity = true;
    let without_rule = explore(without_rule);
    println!(
        "{} states with the rule; without it {:?}",
        with_rule.states, without_rule
    );
    let (violation, _) = without_rule
        .violation
        .expect("a violation without the rule");
    assert!(matches!(violation, Violation::LeaderLacksCommitted(_)));
}

/// No rule is violated within `depth`, and at least `states` states were visited.
#[track_caller]
fn assert_no_violation(cluster: Cluster, depth: u8, budget: Budget, states: usize) {
    let result = explore(scenario(cluster, depth, budget));
    assert_eq!(result.violation, None);
    println!("{} states to depth {depth}", result.states);
    assert!(result.states >= states, "{result:?}");
}

#[test]
fn elections_with_pre_vote_break_no_rule() {
    let budget = Budget {
        seconds: 1,
        elections: 2,
        duplicates: 1,
        slow_syncs: 1,
        crashes: 1,
        ..Budget::NONE
    };
    assert_no_violation(three_replicas(Guards::default()), 8, budget, 300_000);
}

#[test]
fn all_faults_at_once_break_no_rule() {
    let budget = Budget {
        seconds: 4,
        elections: 2,
        duplicates: 1,
        slow_syncs: 1,
        crashes: 1,
        wipes: 1,
        proposals: 1,
        removals: 1,
    };
    assert_no_violation(follower_lagging(all_safety_rules()), 7, budget, 200_000);
}

#[test]
fn late_replies_and_elections_break_no_rule() {
    let budget = Budget {
        seconds: 5,
        elections: 2,
        ..Budget::NONE
    };
    assert_no_violation(reply_in_flight(all_safety_rules()), 11, budget, 80_000);
}
