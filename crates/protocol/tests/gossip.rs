//! Datagrams: what is sent is read, and none exceeds the limit.

#![allow(clippy::unwrap_used)]

use sapphirerack_protocol::{
    Category, DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose, Summary, Topic,
};

fn datagram(topic: usize) -> Datagram {
    let from = Peer {
        name: "munich-0".into(),
        data_centre: "munich".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        incarnation: 7,
        liveness: Liveness::Alive,
        age: 0,
    };
    Datagram {
        from: from.clone(),
        purpose: Purpose::Ping(3),
        version: 12,
        peers: vec![from],
        summaries: vec![Summary { data_centre: "munich".into(), age: 20, digest: 9 }],
        topics: vec![Topic { name: "verdicts".into(), bytes: vec![1; topic] }],
    }
}

#[test]
fn encoded_datagram_is_read_back() {
    let sent = datagram(100);

    let bytes = sent.encode().unwrap();

    assert_eq!(Datagram::decode(&bytes).unwrap(), sent);
    assert_eq!(sent.room(), DATAGRAM_LIMIT - bytes.len());
}

#[test]
fn datagram_above_the_limit_is_refused() {
    let error = datagram(DATAGRAM_LIMIT).encode().unwrap_err();

    assert_eq!(error.classify(), Category::TooLarge);
}

#[test]
fn random_bytes_are_never_a_reason_to_panic() {
    fn reads(bytes: Vec<u8>) -> bool {
        Datagram::decode(&bytes).is_ok_and(|d| d.encode().is_ok() || d.room() == 0)
            || Datagram::decode(&bytes).is_err()
    }
    let r#gen = quickcheck::Gen::from_size_and_seed(256, 5);

    quickcheck::QuickCheck::new().rng(r#gen).tests(2_000).quickcheck(reads as fn(Vec<u8>) -> bool);
}
