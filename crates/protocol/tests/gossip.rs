//! Datagrams round-trip and never exceed the size limit.

#![allow(clippy::unwrap_used)]

use sapphirerack_protocol::{
    Category, DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose, Summary, Topic,
};

fn datagram(topic_len: usize) -> Datagram {
    let from = Peer {
        name: "munich-0".into(),
        data_centre: "munich".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        incarnation: 7,
        liveness: Liveness::Alive,
        age: 0,
        capacity: 0,
    };
    Datagram {
        from: from.clone(),
        purpose: Purpose::Ping(3),
        version: 12,
        peers: vec![from],
        summaries: vec![Summary { data_centre: "munich".into(), age: 20, digest: 9 }],
        topics: vec![Topic { name: "verdicts".into(), bytes: vec![1; topic_len] }],
        stamp: 5,
        echo: Some(4),
    }
}

#[test]
fn datagram_round_trips() {
    let sent = datagram(100);

    let bytes = sent.encode().unwrap();

    assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
    assert_eq!(sent.room(), DATAGRAM_LIMIT - bytes.len());
}

#[test]
fn oversized_datagram_is_rejected() {
    let error = datagram(DATAGRAM_LIMIT).encode().unwrap_err();

    assert_eq!(error.classify(), Category::TooLarge);
}

#[test]
fn decoding_random_bytes_does_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        Datagram::decode(&bytes).is_ok_and(|d| d.encode().is_ok() || d.room() == 0)
            || Datagram::decode(&bytes).is_err()
    }
    let r#gen = quickcheck::Gen::from_size_and_seed(256, 5);

    quickcheck::QuickCheck::new()
        .rng(r#gen)
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
