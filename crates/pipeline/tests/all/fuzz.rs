//! Any bytes, in any pieces, give the same requests in the same order as one at a time.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::server::{Connection, Seen, Server};

const SEEDS: u64 = 10_000;
/// The first fragments, which are requests that may start ahead, but for the last one.
const PLAIN: usize = 3;
/// Fragments that random bytes would hardly ever form.
const FRAGMENTS: &[&str] = &[
    "GET /a HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET /b?c=d HTTP/1.1\r\nhost: a\r\nx-request-id: 1\r\n\r\n",
    "GET /orders/1 HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /orders HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello",
    "POST /search HTTP/1.1\r\ncontent-length: 29\r\n\r\nGET /x HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET /c HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
    "GET /d HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 0\r\n\r\n",
    "POST /i HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /e HTTP/1.1\r\nhost: a\n\n",
    "GET /f HTTP/1.1\r\nhost: a\n\r\n\r\n",
    "GET /g HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n",
    "GET /h HTTP/1.1\r\nhost: a\r\n\r",
    "GET ",
    "/ HTTP/1.1",
    "\r\n",
    "\r",
    "\n",
    "a: b",
    ":",
    "\0",
];

/// How the bytes come and are served.
#[derive(Debug, TypeGenerator)]
struct Run {
    fragments: Vec<u8>,
    garbage: Vec<u8>,
    /// Lengths of the pieces, in turns.
    pieces: Vec<u8>,
    /// What happens after each piece, in turns.
    steps: Vec<u8>,
}

impl Run {
    /// The bytes that the caller sends.
    fn input(&self) -> Vec<u8> {
        let fragment = |pick: &u8| {
            let pick = usize::from(*pick);
            // Most of the others end the run.
            let choice = if pick.is_multiple_of(4) {
                FRAGMENTS.len()
            } else {
                PLAIN
            };
            FRAGMENTS[pick / 4 % choice]
        };
        let mut input: Vec<_> = self
            .fragments
            .iter()
            .flat_map(|p| fragment(p).bytes())
            .collect();
        // Random bytes end most requests, so only some runs have them.
        if self.garbage.len().is_multiple_of(4) {
            input.extend_from_slice(&self.garbage);
        }
        input
    }
}

/// The requests that a server sees which gets all bytes at once and answers each request before it parses
/// the next.
fn one_at_a_time(input: &[u8]) -> Vec<Seen> {
    let mut server = Server::new();
    let mut begun = server.feed(input);
    while begun.is_some() && server.answer() {
        begun = server.advance();
    }
    server.seen
}

/// The requests that the server sees when the connection is read ahead, and how many were started ahead.
fn ahead(run: &Run, input: &[u8]) -> (Vec<Seen>, usize) {
    let mut connection = Connection::new();
    let mut steps = run.steps.iter().cycle();
    let mut pieces = run.pieces.iter().cycle();
    let mut left = input;
    while !left.is_empty() {
        let len = usize::from(*pieces.next().unwrap_or(&u8::MAX)).max(1);
        let (piece, rest) = left.split_at(len.min(left.len()));
        left = rest;
        connection.receive(piece, 0);
        let step = steps.next().copied().unwrap_or(7);
        if step & 1 != 0 {
            connection.serve(usize::from(step));
        }
        if step & 2 != 0 {
            connection.start();
        }
        if step & 4 != 0 {
            connection.answer();
        }
    }
    loop {
        connection.serve(usize::MAX);
        connection.start();
        if !connection.answer() {
            break;
        }
    }
    assert!(
        input.starts_with(&connection.passed),
        "bytes in their order"
    );
    let (seen, started) = (connection.seen(), &connection.started);
    let mut seen = seen.iter();
    for line in started {
        assert!(seen.any(|seen| seen == line), "{line} in {started:?}");
    }
    assert!(connection.running.is_empty(), "{started:?} all answered");
    (connection.server.seen, connection.started.len())
}

/// Checks runs that bolero generates from fixed seeds. Its own loop draws new seeds in each run, but the
/// test must have the same result in every run.
#[test]
fn the_same_requests_are_served_as_one_at_a_time() {
    let options = Options::default();
    let mut all_started = 0;
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let run = Run::generate(&mut driver).expect("the driver has bytes left");
        let input = run.input();
        let expected = one_at_a_time(&input);
        let (seen, started) = ahead(&run, &input);
        assert_eq!(seen, expected, "seed {seed}: {}", input.escape_ascii());
        all_started += started;
    }
    assert!(all_started > SEEDS as usize, "{all_started} started ahead");
}
