//! Beginnings for the explorer, with and without each rule.

use filberthead_consensus::{Durable, Entry, Guards, HardState, Payload, Proposal};
use filberthead_types::{Epoch, Moment, ReplicaId};

use crate::explore::{Budget, Scene, config, explore, rules};
use crate::world::{Violation, World, bootstrap, id, voters};

/// Delivers and syncs until nothing is under way; messages of `cut` are lost.
fn settle(world: &mut World, cut: &[u64]) {
    let is_cut = |id: &ReplicaId| cut.contains(&id.0);
    loop {
        let ids: Vec<_> = world.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| world.sync(id));
        world.net.retain(|e| !is_cut(&e.from) && !is_cut(&e.to));
        if world.net.is_empty() && world.nodes.values().all(|n| n.unsynced.is_none()) {
            return;
        }
        let due = std::mem::take(&mut world.net);
        due.into_iter().for_each(|e| world.deliver(e));
    }
}

/// Lets `leader` send a heartbeat a second later.
fn heartbeat(world: &mut World, leader: u64, cut: &[u64]) {
    world.now += Moment::from_secs(1);
    world.tick(id(leader));
    settle(world, cut);
}

/// Three new replicas that may vote by now.
fn begin(guards: Guards) -> World {
    let mut world = World::new(3, config(guards));
    world.now = Moment::from_secs(3);
    world
}

/// 1 asks for votes; only 2 can hear it.
fn asking(guards: Guards) -> World {
    let mut world = begin(guards);
    world.tick(id(1));
    world.sync(id(1));
    world.net.retain(|e| e.to == id(2));
    world
}

/// 1 leads, all have its opening entry; 3 has missed the last heartbeat.
fn led(guards: Guards) -> World {
    let mut world = begin(guards);
    world.tick(id(1));
    settle(&mut world, &[]);
    heartbeat(&mut world, 1, &[]);
    heartbeat(&mut world, 1, &[3]);
    world
}

/// 1 leads; a command is accepted that only 1 and 2 have.
fn lagging(guards: Guards) -> World {
    let mut world = led(guards);
    world.command(id(1), 9);
    settle(&mut world, &[3]);
    assert_eq!(world.record.accepted, 3);
    world
}

/// 1 leads; 3 has answered its last heartbeat, the answer of 2 is still under way.
fn answer_under_way(guards: Guards) -> World {
    let mut world = led(guards);
    world.now += Moment::from_secs(1);
    world.tick(id(1));
    let heartbeats = std::mem::take(&mut world.net);
    heartbeats.into_iter().for_each(|e| world.deliver(e));
    let at = world.net.iter().position(|e| e.from == id(3));
    let answer = world.net.remove(at.expect("an answer"));
    world.deliver(answer);
    world
}

/// 1 leads; 4 is a learner and holds only the beginning; a command is accepted that
/// only 1 and 2 have.
fn with_learner(guards: Guards) -> World {
    let mut world = led(guards);
    world.propose(id(1), Proposal::AddLearner(id(4)));
    world.add(id(4), bootstrap(voters(3)));
    settle(&mut world, &[4]);
    for _ in 0..3 {
        heartbeat(&mut world, 1, &[4]);
    }
    world.command(id(1), 9);
    settle(&mut world, &[3, 4]);
    assert_eq!(world.record.accepted, 4);
    world
}

/// 1 and 3 each led once and have an entry that nobody else has; 2 has neither, and has
/// just elected 1 again and told it how far its log goes.
fn two_tails(guards: Guards) -> World {
    let mut world = World::new(3, config(guards));
    for (replica, term) in [(1, 1), (2, 0), (3, 2)] {
        world.crash(id(replica), false);
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
        world.add(id(replica), disk);
    }
    world.now = Moment::from_secs(3);
    world.tick(id(1));
    world.sync(id(1));
    world.net.retain(|e| e.to == id(2));
    // The vote, its answer, the opening entry, and the answer that it does not fit.
    for _ in 0..4 {
        let envelope = world.net.remove(0);
        let to = envelope.to;
        world.deliver(envelope);
        world.sync(to);
    }
    world
}

fn scene(world: World, depth: u8, budget: Budget) -> Scene {
    Scene {
        world,
        budget,
        depth,
        wiped_keeps_identity: false,
    }
}

/// With all rules nothing breaks, without `remove` something does, both within `depth`.
#[track_caller]
fn rule_is_needed(
    world: fn(Guards) -> World,
    depth: u8,
    budget: Budget,
    remove: fn(&mut Guards),
    expected: fn(&Violation) -> bool,
) {
    let whole = explore(scene(world(rules()), depth, budget));
    assert_eq!(whole.violation.as_ref(), None);
    let mut broken = rules();
    remove(&mut broken);
    let twin = explore(scene(world(broken), depth, budget));
    println!("whole {} twin {:?}", whole.states, twin);
    let (violation, _) = twin.violation.expect("the twin must break");
    assert!(expected(&violation), "{violation:?}");
}

/// A voter votes, crashes before the vote is on its disk, and votes for another in the
/// same term: two leaders accept different changes at one place of the log.
#[test]
fn promises_wait_for_the_disk() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        slow_syncs: 1,
        crashes: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        asking,
        9,
        budget,
        |g| g.sync_before_send = false,
        |v| matches!(v, Violation::TwoLeaders(_)),
    );
}

/// An answer to a heartbeat is late by almost an election timeout. Counted from its
/// arrival, the lease would outlive the answerer's own promise not to vote.
#[test]
fn lease_counts_from_sending() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        answer_under_way,
        10,
        budget,
        |g| g.lease_from_send = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A leader is suspended past its lease and still takes itself for one.
#[test]
fn lease_is_compared_with_the_clock() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        led,
        10,
        budget,
        |g| g.lease_expires = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A replica that missed heartbeats asks another for its vote, which has just answered
/// the leader: its vote would end a lease that the leader counts on.
#[test]
fn no_vote_while_a_leader_is_heard() {
    let budget = Budget {
        seconds: 2,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        led,
        10,
        budget,
        |g| g.refuse_votes_while_leader_is_live = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// The same after a crash, in which the voter forgot that it answered the leader.
#[test]
fn no_vote_right_after_a_restart() {
    let budget = Budget {
        seconds: 2,
        elections: 1,
        crashes: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        led,
        11,
        budget,
        |g| g.wait_after_restart = false,
        |v| matches!(v, Violation::TwoLeases),
    );
}

/// A new leader has what was accepted before its term, but hasn't applied it yet.
#[test]
fn no_read_before_the_opening_entry_is_committed() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        lagging,
        9,
        budget,
        |g| g.noop_before_read = false,
        |v| matches!(v, Violation::StaleAnswer),
    );
}

#[test]
fn votes_go_to_logs_at_least_as_new() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        lagging,
        9,
        budget,
        |g| g.compare_logs = false,
        |v| matches!(v, Violation::LeaderLacks(_)),
    );
}

/// A learner that holds nothing yet votes for a candidate that lacks an accepted change.
#[test]
fn learners_do_not_vote() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        with_learner,
        9,
        budget,
        |g| g.learners_do_not_count = false,
        |v| matches!(v, Violation::LeaderLacks(_)),
    );
}

/// A leader finds an entry of an earlier term on a majority and calls it committed;
/// a candidate with a newer last entry overwrites it.
#[test]
fn only_the_own_term_is_committed_by_counting() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        ..Budget::NONE
    };
    rule_is_needed(
        two_tails,
        9,
        budget,
        |g| g.commit_own_term_only = false,
        |v| matches!(v, Violation::LeaderLacks(_)),
    );
}

/// Two replicas are removed in one go: the rest is a majority of its own membership,
/// while the removed two are one of the membership that they know.
#[test]
fn one_membership_change_at_a_time() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        removals: 2,
        ..Budget::NONE
    };
    rule_is_needed(
        led,
        9,
        budget,
        |g| g.one_change_at_a_time = false,
        |v| matches!(v, Violation::LeaderLacks(_)),
    );
}

/// A disk is wiped and its replica set up again. Under its old identity its vote elects
/// a candidate that lacks an accepted change; under a new one nobody counts it.
#[test]
fn wiped_disk_gets_a_new_identity() {
    let budget = Budget {
        seconds: 3,
        elections: 1,
        wipes: 1,
        ..Budget::NONE
    };
    let whole = explore(scene(lagging(rules()), 9, budget));
    assert_eq!(whole.violation.as_ref(), None);
    let mut twin = scene(lagging(rules()), 9, budget);
    twin.wiped_keeps_identity = true;
    let twin = explore(twin);
    println!("whole {} twin {:?}", whole.states, twin);
    let (violation, _) = twin.violation.expect("the twin must break");
    assert!(matches!(violation, Violation::LeaderLacks(_)));
}

/// Nothing breaks within `depth`, and at least `states` states were looked at.
#[track_caller]
fn holds(world: World, depth: u8, budget: Budget, states: usize) {
    let found = explore(scene(world, depth, budget));
    assert_eq!(found.violation, None);
    println!("{} states to depth {depth}", found.states);
    assert!(found.states >= states, "{found:?}");
}

#[test]
fn elections_hold_with_pre_vote() {
    let budget = Budget {
        seconds: 1,
        elections: 2,
        duplicates: 1,
        slow_syncs: 1,
        crashes: 1,
        ..Budget::NONE
    };
    holds(begin(Guards::default()), 8, budget, 300_000);
}

#[test]
fn all_faults_at_once_hold_after_an_accepted_change() {
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
    holds(lagging(rules()), 7, budget, 200_000);
}

#[test]
fn late_answers_and_elections_hold() {
    let budget = Budget {
        seconds: 5,
        elections: 2,
        ..Budget::NONE
    };
    holds(answer_under_way(rules()), 11, budget, 80_000);
}
