//! Encoding of messages, and rejection of invalid ones.

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
        .expect_err("must be rejected")
        .reason()
}

#[test]
fn decoding_restores_the_encoded_message() {
    let buf = encoded("shops");
    let envelope = decode(cluster_id("shops"), &buf).expect("a message of this cluster");
    assert_eq!(envelope, hello());
}

/// An operator copies settings from another user's cluster but doesn't change the addresses:
/// replicas of two clusters send each other messages. Neither may accept the other's.
#[test]
fn messages_of_other_clusters_are_rejected() {
    assert_eq!(reason(&encoded("stations")), "foreign");
}

/// A port scanner, or a process of another version, may send any bytes.
#[test]
fn invalid_bytes_are_rejected_with_a_reason() {
    assert_eq!(reason(b""), "short");
    assert_eq!(reason(b"GET / HTTP/1.1\r\n\r\n"), "format");
    assert_eq!(reason(&vec![2; MAX_MESSAGE_LEN + 1]), "oversize");
    let mut cut = encoded("shops");
    cut.truncate(cut.len() - 1);
    assert_eq!(reason(&cut), "checksum");
}

/// A bit flips in transit without TCP's checksum detecting it. Without a checksum of its own
/// the message could decode to another term or vote and be accepted.
#[test]
fn every_flipped_bit_is_detected() {
    let good = encoded("shops");
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(decode(cluster_id("shops"), &bad).is_err(), "bit {bit}");
    }
}

/// An intact message with a body that this version can't decode.
#[test]
fn undecodable_bodies_are_malformed() {
    let envelope = hello();
    let mut buf = encode(cluster_id("shops"), &envelope).expect("a hello can be encoded");
    let header = 9;
    buf.truncate(header);
    buf.extend_from_slice(&[0xff; 20]);
    let checksum = (xxhash_rust::xxh3::xxh3_64(&buf[header..]) & 0xffff_ffff) as u32;
    buf[5..header].copy_from_slice(&checksum.to_le_bytes());
    let error = decode(cluster_id("shops"), &buf).expect_err("must be rejected");
    assert!(matches!(error, DecodeError::Malformed { .. }));
}

#[test]
fn random_bytes_never_panic() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<Vec<u8>>()
        .for_each(|buf| {
            // Either result is fine: rejected, or decoded.
            let _ = decode(cluster_id("shops"), buf);
        });
}
