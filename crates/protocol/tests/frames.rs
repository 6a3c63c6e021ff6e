//! Framing: messages round-trip, and malformed or oversized input is rejected without a panic.

#![allow(clippy::unwrap_used)]

use quickcheck::{Gen, QuickCheck, TestResult};
use sapphirerack_protocol::{
    Category, Decoder, FRAME_LIMIT, Message, Reply, Request, SubQuery, encode,
};

const SEED: u64 = 3;
const TESTS: u64 = 500;

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(TESTS)
}

fn search(id: u64, query: Vec<u8>) -> Message {
    let query = SubQuery {
        service: "clocks".into(),
        shard: "0".into(),
        snapshot: id,
        route: "near".into(),
        deadline: id,
        spill: id.is_multiple_of(2),
        query: query.into(),
    };
    Message::Request { id, body: Request::Search(query) }
}

#[test]
fn messages_round_trip_for_any_chunking_of_the_stream() {
    fn property(ids: Vec<u64>, query: Vec<u8>, chunk: u8) -> bool {
        let mut sent: Vec<Message> = ids.iter().map(|id| search(*id, query.clone())).collect();
        sent.extend(ids.iter().map(|id| Message::Cancel { id: *id }));
        let bytes: Vec<u8> = sent.iter().flat_map(|m| encode(m).unwrap()).collect();

        let mut decoder = Decoder::default();
        let mut received = Vec::new();
        for chunk in bytes.chunks(usize::from(chunk) + 1) {
            decoder.push(chunk);
            while let Some(message) = decoder.next().unwrap() {
                received.push(message);
            }
        }

        received == sent
    }
    checker().quickcheck(property as fn(Vec<u64>, Vec<u8>, u8) -> bool);
}

#[test]
fn decoding_random_bytes_terminates() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        // Each message consumes at least its prefix, which bounds the number of iterations.
        let limit = bytes.len();
        (0..=limit).any(|_| !matches!(decoder.next(), Ok(Some(_))))
    }
    checker().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupted_byte_does_not_panic() {
    fn property(query: Vec<u8>, offset: usize, mask: u8) -> TestResult {
        let mut bytes = encode(&search(7, query)).unwrap();
        let offset = offset % bytes.len();
        bytes[offset] ^= mask;
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next();
        TestResult::passed()
    }
    checker().quickcheck(property as fn(Vec<u8>, usize, u8) -> TestResult);
}

#[test]
fn oversized_frame_is_rejected_from_its_length_prefix() {
    let mut decoder = Decoder::default();

    decoder.push(&u32::try_from(FRAME_LIMIT + 1).unwrap().to_le_bytes());

    assert_eq!(decoder.next().unwrap_err().classify(), Category::TooLarge);
}

#[test]
fn oversized_message_is_not_encoded() {
    let message = search(1, vec![0; FRAME_LIMIT + 1]);

    assert_eq!(encode(&message).unwrap_err().classify(), Category::TooLarge);
}

#[test]
fn invalid_body_is_malformed() {
    let mut frame = encode(&Message::Reply { id: 1, body: Reply::Pong }).unwrap();
    frame[4] = 0xff;
    let mut decoder = Decoder::default();

    decoder.push(&frame);

    assert_eq!(decoder.next().unwrap_err().classify(), Category::Malformed);
}
