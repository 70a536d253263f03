//! Deltas between views.

use std::collections::BTreeMap;

use bolero::check;
use filberthead_table::{Row, RowKey, RowValues, View};
use filberthead_types::{Revision, Version};

fn view(version: u64, rows: &BTreeMap<u8, u32>) -> View {
    let rows = rows.iter().map(|(region, weight)| {
        let key = RowKey {
            service: "catalogue".parse().expect("valid name"),
            region: format!("r{region}").parse().expect("valid name"),
        };
        let values = RowValues {
            weight: *weight,
            ..RowValues::default()
        };
        let revision = Revision(version);
        (key, Row { values, revision })
    });
    View {
        version: Version(version),
        rows: rows.collect(),
    }
}

#[test]
fn a_delta_turns_one_view_into_the_other() {
    check!()
        .with_type::<(BTreeMap<u8, u32>, BTreeMap<u8, u32>)>()
        .for_each(|(older, newer)| {
            let (older, newer) = (view(3, older), view(7, newer));
            let delta = older.delta_to(&newer);
            assert_eq!(older.patched(&delta), Some(newer));
        });
}

/// A row is added after the delta's first version and removed before its last, so the
/// delta doesn't contain it. The delta must not apply to a view that has the row.
#[test]
fn a_delta_applies_to_its_first_version_only() {
    let older = view(3, &BTreeMap::new());
    let between = view(4, &BTreeMap::from([(1, 1)]));
    let newer = view(5, &BTreeMap::new());
    assert_eq!(between.patched(&older.delta_to(&newer)), None);
}
