//! Tests of the owner of a booking partition against a store that always responds.

use std::time::Duration;

use sapphirerack_policy::booking::{
    Action, AttemptOutcome, BodyHash, BookingOutcome, ClaimRequest, Event, Found, KeyId, Ledger,
    LedgerLimits, Segment, Written,
};

const RETENTION: Duration = Duration::from_secs(600);

/// The store of one partition's slots, with the replies and dispatches of the owner.
#[derive(Default)]
struct Store {
    slots: Vec<(u64, Segment)>,
    writes: usize,
    sizes: Vec<usize>,
    replies: Vec<(u64, BookingOutcome)>,
    dispatched: Vec<(KeyId, u32)>,
}

impl Store {
    fn new(slots: u64) -> Self {
        Self { slots: vec![(0, Segment::default()); slots as usize], ..Self::default() }
    }

    fn drive(&mut self, ledger: &mut Ledger, now: Duration, event: Event) {
        let mut actions = ledger.handle(now, event);
        while let Some(action) = actions.pop() {
            match action {
                Action::Read(slot) => {
                    let (version, segment) = self.slots[slot as usize].clone();
                    let found = match version {
                        0 => Found::Missing,
                        _ => Found::Value(version, segment),
                    };
                    actions.extend(ledger.handle(now, Event::Read(slot, found)));
                }
                Action::Write { slot, expected, segment } => {
                    let written = self.write(slot, expected, segment);
                    actions.extend(ledger.handle(now, Event::Written(written)));
                }
                Action::Dispatch { key, attempt, .. } => self.dispatched.push((key, attempt)),
                Action::Reply(call, verdict) => self.replies.push((call, verdict)),
            }
        }
    }

    fn write(&mut self, slot: u64, expected: u64, segment: Segment) -> Written {
        let current = &mut self.slots[slot as usize];
        if current.0 != expected {
            return Written::Conflict;
        }
        self.writes += 1;
        self.sizes.push(segment.size());
        *current = (expected + 1, segment);
        Written::Stored(expected + 1)
    }
}

fn limits() -> LedgerLimits {
    LedgerLimits {
        slots: 4,
        segment_bytes: 1 << 10,
        retention: RETENTION,
        write_interval: Duration::from_millis(200),
        retry_delay: Duration::from_millis(100),
        max_active: 1_000,
    }
}

fn key(i: u64) -> KeyId {
    KeyId::new("desk", &i.to_string())
}

fn request(call: u64, key: KeyId, attempt: u32, now: Duration) -> Event {
    let body = BodyHash::new("p", b"b");
    Event::Request(ClaimRequest {
        call,
        key,
        attempt,
        body,
        deadline: now + Duration::from_secs(5),
    })
}

#[test]
fn retry_gets_the_answer_and_another_body_is_refused() {
    let (mut store, mut ledger) = (Store::new(4), Ledger::new(1, limits()));
    let now = Duration::from_secs(1);
    store.drive(&mut ledger, now, request(0, key(0), 1, now));
    store.drive(&mut ledger, now, Event::Ended(key(0), AttemptOutcome::Answer(vec![7])));

    store.drive(&mut ledger, now, request(1, key(0), 1, now));
    let (call, deadline) = (2, now + RETENTION);
    let other =
        ClaimRequest { call, key: key(0), attempt: 1, body: BodyHash::new("p", b"x"), deadline };
    store.drive(&mut ledger, now, Event::Request(other));

    let answer = BookingOutcome::Answer(vec![7]);
    assert_eq!(store.replies, [(0, answer.clone()), (1, answer), (2, BookingOutcome::OtherBody)]);
    assert_eq!(store.dispatched, [(key(0), 1)]);
}

#[test]
fn answer_is_kept_after_a_change_of_owner() {
    let (mut store, mut first) = (Store::new(4), Ledger::new(1, limits()));
    let now = Duration::from_secs(1);
    store.drive(&mut first, now, request(0, key(0), 1, now));
    store.drive(&mut first, now, Event::Ended(key(0), AttemptOutcome::Answer(vec![7])));
    store.drive(&mut first, now + Duration::from_secs(1), Event::Tick);

    let mut second = Ledger::new(2, limits());
    store.drive(&mut second, now, request(1, key(0), 1, now));

    assert_eq!(store.replies[1], (1, BookingOutcome::Answer(vec![7])));
}

#[test]
fn attempt_that_did_not_run_is_repeated_only_under_the_next_number() {
    let (mut store, mut ledger) = (Store::new(4), Ledger::new(1, limits()));
    let now = Duration::from_secs(1);
    store.drive(&mut ledger, now, request(0, key(0), 1, now));
    store.drive(&mut ledger, now, Event::Ended(key(0), AttemptOutcome::NotRun));
    let later = now + Duration::from_secs(1);
    store.drive(&mut ledger, later, Event::Tick);

    store.drive(&mut ledger, later, request(1, key(0), 1, later));
    store.drive(&mut ledger, later, request(2, key(0), 2, later));
    store.drive(&mut ledger, later + Duration::from_secs(1), Event::Tick);

    let refused = BookingOutcome::NotRun { attempt: 1 };
    assert_eq!(store.replies, [(0, refused.clone()), (1, refused)]);
    assert_eq!(store.dispatched, [(key(0), 1), (key(0), 2)]);
}

#[test]
fn claims_between_two_writes_are_batched() {
    let (mut store, mut ledger) = (Store::new(4), Ledger::new(1, limits()));
    let now = Duration::from_secs(1);
    for i in 0..10 {
        store.drive(&mut ledger, now, request(i, key(i), 1, now));
    }

    store.drive(&mut ledger, now + Duration::from_millis(200), Event::Tick);

    assert_eq!(store.dispatched.len(), 10);
    assert_eq!(store.writes, 2, "expected one write for the first claim and one for the other 9");
}

#[test]
fn full_log_rejects_claims_until_the_retention_has_passed() {
    let (mut store, mut ledger) = (Store::new(4), Ledger::new(1, limits()));
    let step = Duration::from_millis(200);
    let mut now = Duration::from_secs(1);
    for i in 0..100 {
        store.drive(&mut ledger, now, request(i, key(i), 1, now));
        now += step;
    }

    assert!(store.replies.iter().any(|(_, v)| *v == BookingOutcome::Unknown));
    let accepted = store.dispatched.len();
    now += RETENTION;
    store.drive(&mut ledger, now, request(100, key(100), 1, now));

    assert_eq!(store.dispatched.len(), accepted + 1);
    assert!(ledger.len() <= accepted, "the keys of the oldest segment were not evicted");
    assert!(store.sizes.iter().all(|size| *size < 2 << 10), "{:?}", store.sizes);
}
