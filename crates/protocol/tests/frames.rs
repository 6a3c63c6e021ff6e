//! Frames: what is sent comes out whole, and nothing that comes in can do harm.

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
fn messages_survive_any_split_of_the_stream() {
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
fn random_bytes_end_in_a_message_an_error_or_a_wait() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        // Each message takes at least its prefix, so that this ends.
        let most = bytes.len();
        (0..=most).any(|_| !matches!(decoder.next(), Ok(Some(_))))
    }
    checker().quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn flipped_byte_does_no_harm() {
    fn property(query: Vec<u8>, place: usize, flip: u8) -> TestResult {
        let mut bytes = encode(&search(7, query)).unwrap();
        let place = place % bytes.len();
        bytes[place] ^= flip;
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        let _ = decoder.next();
        TestResult::passed()
    }
    checker().quickcheck(property as fn(Vec<u8>, usize, u8) -> TestResult);
}

#[test]
fn frame_above_the_limit_is_refused_before_its_body_comes() {
    let mut decoder = Decoder::default();

    decoder.push(&u32::try_from(FRAME_LIMIT + 1).unwrap().to_le_bytes());

    assert_eq!(decoder.next().unwrap_err().classify(), Category::TooLarge);
}

#[test]
fn message_above_the_limit_is_not_sent() {
    let message = search(1, vec![0; FRAME_LIMIT + 1]);

    assert_eq!(encode(&message).unwrap_err().classify(), Category::TooLarge);
}

#[test]
fn bytes_that_are_no_message_are_malformed() {
    let mut frame = encode(&Message::Reply { id: 1, body: Reply::Pong }).unwrap();
    frame[4] = 0xff;
    let mut decoder = Decoder::default();

    decoder.push(&frame);

    assert_eq!(decoder.next().unwrap_err().classify(), Category::Malformed);
}
