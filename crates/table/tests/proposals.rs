//! Proposals, reviews and hand-overs.

mod common;

use std::collections::BTreeSet;

use common::*;
use filberthead_table::{
    Danger, MAX_CLOSED_PROPOSALS, MAX_HAND_OVERS, MAX_OPEN_PROPOSALS, MAX_REVIEWS, Operation,
    Outcome, ProposalNumber, ProposalState, Table, Verdict,
};
use filberthead_types::Version;

/// A table with proposal 1 by `ana`, which changes `orders/split` from 50 to 20.
fn with_proposal() -> Table {
    let mut table = small_table();
    let outcome = table.apply(&propose(1, "ana", [set("orders", "split", 1, 20)]));
    assert_eq!(outcome, proposed(1));
    table
}

/// A proposal changes nothing until another operator has approved it and it is accepted.
#[test]
fn a_proposal_takes_effect_after_review_and_acceptance() {
    let mut table = with_proposal();
    assert_eq!(weight(&table, "orders", "split"), Some(50));
    let early = table.apply(&accept(2, "bruno", 1, &[]));
    assert!(matches!(early, Outcome::ReviewMissing { rejected_by } if rejected_by.is_empty()));
    let own = table.apply(&review(3, "ana", 1, Verdict::Approve));
    assert_eq!(own, Outcome::OwnReview);
    let reviewed = table.apply(&review(4, "bruno", 1, Verdict::Approve));
    assert_eq!(reviewed, Outcome::Recorded);
    assert_eq!(table.version(), Version(1));
    assert_eq!(table.apply(&accept(5, "ana", 1, &[])), accepted(2));
    assert_eq!(weight(&table, "orders", "split"), Some(20));
    assert_eq!(table.open_proposals().count(), 0);
    let state = &table.proposal(ProposalNumber(1)).unwrap().state;
    let by = "ana".to_owned();
    let version = Version(2);
    assert_eq!(*state, ProposalState::Accepted { version, by });
}

/// Two operators accept the same proposal concurrently. It is applied once, and the second
/// outcome names the operator who accepted it.
#[test]
fn a_proposal_is_accepted_once() {
    let mut table = with_proposal();
    table.apply(&review(2, "bruno", 1, Verdict::Approve));
    let first = accept(3, "bruno", 1, &[]);
    assert_eq!(table.apply(&first), accepted(2));
    let second = table.apply(&accept(4, "carla", 1, &[]));
    assert!(
        matches!(&second, Outcome::ProposalUnknown { reason, .. } if reason.contains("bruno")),
        "{second:?}"
    );
    assert_eq!(table.apply(&first), accepted(2));
    assert_eq!(table.version(), Version(2));
}

/// An operator alone on a shift can accept their own proposal by allowing `own-review`,
/// but not against the rejection of another operator.
#[test]
fn a_missing_review_can_be_waived_and_a_rejection_cannot() {
    let mut table = with_proposal();
    table.apply(&review(2, "bruno", 1, Verdict::Reject));
    let refused = table.apply(&accept(3, "ana", 1, &[Danger::OwnReview]));
    let rejected_by = vec!["bruno".to_owned()];
    assert_eq!(refused, Outcome::ReviewMissing { rejected_by });
    table.apply(&review(4, "bruno", 1, Verdict::Approve));
    assert_eq!(table.apply(&accept(5, "ana", 1, &[])), accepted(2));

    let outcome = table.apply(&propose(6, "ana", [set("orders", "split", 2, 30)]));
    assert_eq!(outcome, proposed(2));
    let waived = table.apply(&accept(7, "ana", 2, &[Danger::OwnReview]));
    assert_eq!(waived, accepted(3));
}

/// While a proposal is open, one of its rows is changed directly. It can't be accepted
/// any more; a new proposal with the new revision can supersede and close it.
#[test]
fn a_proposal_with_a_stale_revision_conflicts_and_can_be_superseded() {
    let mut table = with_proposal();
    table.apply(&review(2, "bruno", 1, Verdict::Approve));
    table.apply(&direct(3, "carla", [set("orders", "split", 1, 33)]));
    let outcome = table.apply(&accept(4, "bruno", 1, &[]));
    let Outcome::Conflict { conflicts } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(conflicts[0].origin.as_ref().unwrap().by, "carla");
    assert_eq!(weight(&table, "orders", "split"), Some(33));
    assert_eq!(table.open_proposals().count(), 1);

    let operation = Operation::Propose {
        change: change([set("orders", "split", 2, 20)]),
        supersedes: Some(ProposalNumber(1)),
    };
    assert_eq!(
        table.apply(&command(5, "ana", operation.clone())),
        proposed(2)
    );
    let old = table.proposal(ProposalNumber(1)).unwrap();
    assert_eq!(old.state.describe(), "superseded by proposal 2");
    // The approval of the old proposal doesn't carry over.
    let unreviewed = table.apply(&accept(6, "bruno", 2, &[]));
    assert!(matches!(unreviewed, Outcome::ReviewMissing { .. }));
    let closed = table.apply(&command(7, "ana", operation));
    assert!(matches!(closed, Outcome::ProposalUnknown { .. }));
}

/// A stale or dangerous edit is rejected when it is proposed, not only at acceptance.
#[test]
fn a_stale_or_dangerous_proposal_is_refused_at_once() {
    let mut table = small_table();
    let stale = table.apply(&propose(1, "ana", [set("orders", "split", 0, 20)]));
    assert!(matches!(stale, Outcome::Conflict { .. }));
    let off = [set("orders", "zagreb", 1, 0), set("orders", "split", 1, 0)];
    let dangerous = table.apply(&propose(2, "ana", off.clone()));
    assert!(matches!(dangerous, Outcome::Dangerous { .. }));
    let operation = Operation::Propose {
        change: allowing(&[Danger::AllWeightsZero], change(off)),
        supersedes: None,
    };
    assert_eq!(table.apply(&command(3, "ana", operation)), proposed(1));
    table.apply(&review(4, "bruno", 1, Verdict::Approve));
    // Dangers that the author allowed need not be allowed again at acceptance.
    assert_eq!(table.apply(&accept(5, "bruno", 1, &[])), accepted(2));
}

/// Two proposals have no danger when proposed: each drains another region of a service.
/// Accepting both would leave no weight, so the second is rejected at acceptance.
#[test]
fn dangers_are_checked_again_at_acceptance() {
    let mut table = small_table();
    table.apply(&propose(1, "ana", [set("orders", "zagreb", 1, 0)]));
    table.apply(&propose(2, "ana", [set("orders", "split", 1, 0)]));
    for number in [1, 2] {
        let id = 10 + u128::from(number);
        table.apply(&review(id, "bruno", number, Verdict::Approve));
    }
    assert_eq!(table.apply(&accept(20, "bruno", 1, &[])), accepted(2));
    let refused = table.apply(&accept(21, "bruno", 2, &[]));
    assert!(matches!(&refused, Outcome::Dangerous { findings }
        if findings[0].danger == Danger::AllWeightsZero));
    let meant = table.apply(&accept(22, "bruno", 2, &[Danger::AllWeightsZero]));
    assert_eq!(meant, accepted(3));
}

/// A hand-over stores the note, the version, the open proposals and the position in the
/// history.
#[test]
fn a_hand_over_carries_note_version_and_open_proposals() {
    let mut table = with_proposal();
    let note = "osijek is warm again".to_owned();
    let operation = Operation::HandOver { note: note.clone() };
    assert_eq!(
        table.apply(&command(2, "ana", operation)),
        Outcome::Recorded
    );
    let handover = table.handovers().next_back().unwrap();
    assert_eq!((&handover.by, &handover.note), (&"ana".to_owned(), &note));
    assert_eq!(handover.open, [ProposalNumber(1)]);
    assert_eq!(handover.version, Version(1));
    assert_eq!(handover.serial, 2);
}

#[test]
fn a_withdrawn_proposal_is_closed() {
    let mut table = with_proposal();
    let operation = Operation::Withdraw {
        proposal: ProposalNumber(1),
        note: String::new(),
    };
    assert_eq!(
        table.apply(&command(2, "bruno", operation)),
        Outcome::Recorded
    );
    let late = table.apply(&review(3, "bruno", 1, Verdict::Approve));
    assert!(matches!(late, Outcome::ProposalUnknown { .. }));
    let never = table.apply(&accept(4, "bruno", 77, &[]));
    assert!(matches!(never, Outcome::ProposalUnknown { reason, .. } if reason.is_empty()));
}

#[test]
fn proposals_reviews_and_hand_overs_are_bounded() {
    let mut table = small_table();
    for n in 0..MAX_OPEN_PROPOSALS as u128 {
        let outcome = table.apply(&propose(1 + n, "ana", [set("orders", "split", 1, 20)]));
        assert!(matches!(outcome, Outcome::Proposed { .. }));
    }
    let full = table.apply(&propose(500, "ana", [set("orders", "split", 1, 20)]));
    assert_eq!(full, Outcome::TooManyProposals);
    // A proposal that supersedes another doesn't raise the number of open ones.
    let operation = Operation::Propose {
        change: change([set("orders", "split", 1, 21)]),
        supersedes: Some(ProposalNumber(1)),
    };
    let in_place = table.apply(&command(501, "ana", operation));
    assert!(matches!(in_place, Outcome::Proposed { .. }));

    for n in 0..MAX_REVIEWS as u128 {
        let reviewed = table.apply(&review(600 + n, &format!("r{n}"), 2, Verdict::Approve));
        assert_eq!(reviewed, Outcome::Recorded);
    }
    let one_more = table.apply(&review(700, "one-more", 2, Verdict::Reject));
    assert!(matches!(one_more, Outcome::Invalid { .. }));
    let changed_mind = table.apply(&review(701, "r0", 2, Verdict::Reject));
    assert_eq!(changed_mind, Outcome::Recorded);

    for n in 0..100_u128 {
        let note = format!("note {n}");
        table.apply(&command(1000 + n, "ana", Operation::HandOver { note }));
    }
    assert_eq!(table.handovers().count(), MAX_HAND_OVERS);
    for n in 0..MAX_CLOSED_PROPOSALS as u128 + 10 {
        let number = table.open_proposals().next().unwrap().number;
        let operation = Operation::Propose {
            change: change([set("orders", "split", 1, 21)]),
            supersedes: Some(number),
        };
        table.apply(&command(2000 + n, "ana", operation));
    }
    assert_eq!(table.closed_proposals().count(), MAX_CLOSED_PROPOSALS);
    let edits: BTreeSet<_> = table
        .closed_proposals()
        .map(|p| p.change.edits.len())
        .collect();
    assert_eq!(edits, BTreeSet::from([0]));
}
