//! CSV files as spreadsheets save them.

mod common;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use common::*;
use filberthead_table::{CsvAction, CsvError, Row, read_csv, write_csv};
use filberthead_types::Revision;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn export() -> String {
    let table = small_table();
    let rows = table.rows().iter().map(|(key, row)| (key, *row));
    let mut buf = Vec::new();
    write_csv(rows, &mut buf).expect("writing to memory succeeds");
    String::from_utf8(buf).expect("CSV is text")
}

fn faults(text: &str) -> Vec<(u64, String)> {
    let CsvError { faults } = read_csv(text).expect_err("the sheet is bad");
    faults
}

#[test]
fn an_export_reads_back_as_it_was() {
    let rows = read_csv(&export()).unwrap();
    assert_eq!(rows.len(), 4);
    for row in &rows {
        let CsvAction::Set(values) = row.action else {
            panic!("{row:?}");
        };
        assert_eq!(row.was, Some(values));
        assert_eq!(row.revision, Some(Revision(1)));
    }
    assert_eq!(rows[0].line, 2);
    assert_eq!(rows[0].key, key("catalogue", "split"));
}

/// Spreadsheets in some locales save with semicolons and a byte order mark, and may
/// reorder columns and add empty columns and lines at the end.
#[test]
fn a_file_saved_by_a_spreadsheet_is_read() {
    let text = "\u{feff}region;service;limit;weight;shift_cap;objective;was;revision;;\r\n\
                split;orders;48;10;12;headroom;50 48 12 latency;1;;\r\n\
                osijek;orders;30;5;6;latency;;;;\r\n\
                ;;;;;;;;;\r\n";
    let rows = read_csv(text).unwrap();
    assert_eq!(rows.len(), 2);
    assert_eq!(rows[0].was, Some(values(50)));
    assert_eq!(rows[1].revision, None);
    assert_eq!(read_csv(&text.replace(';', "\t")).unwrap().len(), 2);
}

#[test]
fn only_rows_marked_remove_are_removed() {
    let text = export().replace("50 48 12 latency,\n", "50 48 12 latency,remove\n");
    let rows = read_csv(&text).unwrap();
    let removed = rows.iter().filter(|row| row.action == CsvAction::Remove);
    assert_eq!(removed.count(), 2);
}

/// Several lines have faults: all are reported at once, each with its line number.
#[test]
fn all_bad_lines_are_reported_at_once() {
    let text = "service,region,weight,limit,shift_cap,objective,revision,was,action\n\
                orders,split,1.200,48,12,latency,1,,\n\
                orders,zagreb,50,-3,12,speed,1,,\n\
                Orders,zagreb,50,48,12,latency,x,,\n\
                catalogue,split,50,48,12,latency,1,50/48,drop\n\
                catalogue,zagreb,50,48,12,latency,,,remove\n\
                lessons,split,50,48\n\
                orders,osijek,50,48,12,latency,1,,\n\
                orders,osijek,50,48,12,latency,1,,\n";
    let lines: Vec<_> = faults(text).iter().map(|(line, _)| *line).collect();
    assert_eq!(
        lines,
        [2, 3, 3, 4, 4, 5, 5, 6, 7, 7, 9],
        "{:?}",
        faults(text)
    );
}

#[test]
fn a_file_without_its_columns_is_rejected() {
    assert_eq!(faults("").len(), 6);
    let twice = "service,region,weight,limit,shift_cap,objective,weight\n";
    assert_eq!(faults(twice).len(), 1);
    let foreign = "service,region,weight,limit,shift_cap,objective,colour\n";
    assert!(faults(foreign)[0].1.contains("colour"));
    let garbage = "\u{0}\u{1}\n\"";
    assert!(!faults(garbage).is_empty());
}

#[test]
fn names_stay_within_their_fields() {
    let row = Row::default();
    let key = key("a-b.c_d", "r");
    let mut buf = Vec::new();
    write_csv([(&key, row)], &mut buf).unwrap();
    let rows = read_csv(&String::from_utf8(buf).unwrap()).unwrap();
    assert_eq!(rows[0].key, key);
}

/// Random content yields either rows or faults with a line number each, and parsing the
/// same text again yields the same rows.
#[test]
fn random_files_yield_rows_or_faults() {
    const PIECES: [&str; 16] = [
        ",",
        ";",
        "\t",
        "\n",
        "\r\n",
        "\"",
        "orders",
        "split",
        "50",
        "-1",
        "latency",
        "remove",
        "service,region,weight,limit,shift_cap,objective\n",
        "50 48 12 latency",
        "\u{feff}",
        "é",
    ];
    let options = Options::default();
    let mut with_rows = 0;
    for seed in 0..2000 {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let picks = Vec::<u8>::generate(&mut driver).expect("the driver has bytes left");
        let piece = |pick: &u8| PIECES[usize::from(*pick) % PIECES.len()];
        // Half of the texts are random only, half an export with a few random pieces added.
        let (mut text, noise) = if seed % 2 == 0 {
            (export(), 3)
        } else {
            (String::new(), usize::MAX)
        };
        text.extend(picks.iter().take(noise).map(piece));
        match read_csv(&text) {
            Ok(rows) => {
                with_rows += usize::from(!rows.is_empty());
                assert_eq!(read_csv(&text), Ok(rows));
            }
            Err(CsvError { faults }) => {
                let lines = text.lines().count() as u64 + 1;
                assert!(!faults.is_empty());
                assert!(faults.iter().all(|(line, _)| *line <= lines), "{faults:?}");
            }
        }
    }
    assert!(with_rows > 20, "{with_rows} sheets with rows");
}
