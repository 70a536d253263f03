//! Bodies that are read whole.

use std::rc::Rc;

use bytes::Bytes;
use filberthead_limits::{BodyError, ClientCounters, Clients, Port, PortBounds, read_body};
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;

const MAX: usize = 40_000;

fn clients(held_bytes: usize) -> Rc<Clients> {
    let counters = ClientCounters::default();
    let bounds = PortBounds {
        connections: 1,
        held_bytes,
    };
    Clients::new(Port::Callers, bounds, counters.port(Port::Callers))
}

/// Reads a body of `len` bytes that comes in pieces; returns it and what it counted for.
async fn read(len: usize, piece: usize, room: usize) -> (Result<Bytes, BodyError>, usize) {
    let clients = clients(room);
    let connection = clients.admit().expect("room");
    connection.begin();
    let mut held = connection.hold_body(0).expect("room");
    let sent: Vec<u8> = (0..len).map(|n| n as u8).collect();
    let pieces: Vec<_> = sent.chunks(piece).map(Bytes::copy_from_slice).collect();
    let frames = pieces.into_iter().map(|data| Ok(Frame::data(data)));
    let body = read_body(StreamBody::new(stream::iter(frames)), MAX, &mut held).await;
    (body, clients.held_bytes())
}

#[tokio::test]
async fn pieces_of_any_size_make_the_same_body() {
    let sent: Vec<u8> = (0..MAX).map(|n| n as u8).collect();
    for len in [1, 16 * 1024, 16 * 1024 + 1, MAX] {
        for piece in [1, 7, 1000, MAX] {
            let (body, held) = read(len, piece, 2 * MAX).await;
            assert_eq!(body.expect("a body"), &sent[..len]);
            assert!((len..=len + 16 * 1024).contains(&held), "{held} for {len}");
        }
    }
}

#[tokio::test]
async fn a_longer_body_is_refused() {
    let (body, _) = read(MAX + 1, 1000, 2 * MAX).await;
    assert!(matches!(body, Err(BodyError::TooLong { max: MAX })));
}

#[tokio::test]
async fn a_body_that_finds_no_room_gives_way() {
    let (body, held) = read(MAX, 1000, MAX - 1).await;
    assert!(matches!(body, Err(BodyError::Revoked)));
    assert_eq!(held, 0);
}
