//! Messages that are not to be accepted.

use std::net::SocketAddr;

use filberthead_peer::{
    Body, DecodeError, Envelope, HelloInfo, MAX_MESSAGE_LEN, Origin, cluster_id, decode, encode,
};
use filberthead_types::Incarnation;

fn hello() -> Envelope {
    let addr = SocketAddr::from(([127, 0, 0, 1], 7000));
    Envelope {
        origin: Origin {
            name: "control-1".parse().expect("a valid name"),
            incarnation: Incarnation(7),
            addr,
            replica: None,
        },
        received: 3,
        body: Body::Hello(HelloInfo {
            leads: true,
            operator_addr: addr,
            leader: None,
            is_reply: false,
        }),
    }
}

fn encoded(cluster: &str) -> Vec<u8> {
    encode(cluster_id(cluster), &hello()).expect("a hello can be encoded")
}

fn reason(buf: &[u8]) -> &'static str {
    decode(cluster_id("shops"), buf)
        .expect_err("not acceptable")
        .reason()
}

#[test]
fn decoding_restores_the_encoded_message() {
    let buf = encoded("shops");
    let envelope = decode(cluster_id("shops"), &buf).expect("an own message");
    assert_eq!(envelope, hello());
}

/// An operator copies settings from the other user's cluster and forgets the addresses:
/// replicas of two clusters greet each other. Neither may take the other for its own.
#[test]
fn messages_of_other_clusters_are_rejected() {
    assert_eq!(reason(&encoded("stations")), "foreign");
}

/// A port scanner, or a process of another version, sends what it likes.
#[test]
fn invalid_bytes_are_rejected_with_a_reason() {
    assert_eq!(reason(b""), "short");
    assert_eq!(reason(b"GET / HTTP/1.1\r\n\r\n"), "format");
    assert_eq!(reason(&vec![2; MAX_MESSAGE_LEN + 1]), "oversize");
    let mut cut = encoded("shops");
    cut.truncate(cut.len() - 1);
    assert_eq!(reason(&cut), "checksum");
}

/// A bit flips on the way, past TCP's checksum. Without a checksum of its own the
/// message could decode to another term or vote and be believed.
#[test]
fn every_flipped_bit_is_detected() {
    let good = encoded("shops");
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(cluster_id("shops"), &bad).is_err(), "bit {bit}");
    }
}

/// A message that is whole but of a shape that this version doesn't know.
#[test]
fn undecodable_bodies_are_malformed() {
    let envelope = hello();
    let mut buf = encode(cluster_id("shops"), &envelope).expect("a hello can be encoded");
    let header = 9;
    buf.truncate(header);
    buf.extend_from_slice(&[0xff; 20]);
    let checksum = (xxhash_rust::xxh3::xxh3_64(&buf[header..]) & 0xffff_ffff) as u32;
    buf[5..header].copy_from_slice(&checksum.to_le_bytes());
    let error = decode(cluster_id("shops"), &buf).expect_err("no known shape");
    assert!(matches!(error, DecodeError::Malformed { .. }));
}

#[test]
fn random_bytes_never_panic() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<Vec<u8>>()
        .for_each(|buf| {
            // Whatever comes, it is either refused or a message; both are fine.
            let _ = decode(cluster_id("shops"), buf);
        });
}
