//! The parts of a query that are in, merged.

use hyper::header::HeaderValue;
use sapphirerack_catalogue::Set;
use sapphirerack_protocol::FoundPart;

use crate::interpret::is_plain_signature;
use crate::query::Gathered;

/// Length of a record in bytes.
const RECORD_LEN: usize = 16;

/// Records beyond the best ones that are kept before they are dropped together.
const SPARE_RECORDS: usize = 1_024;

type Record = [u8; RECORD_LEN];

/// Parts with the best of their records.
pub(crate) struct Parts {
    /// Number of records to keep.
    top: usize,
    found: Vec<FoundPart>,
    records: Vec<Record>,
    /// Signatures of all parts so far.
    signatures: Set<Vec<u8>>,
    /// Shards of all parts so far.
    shards: Set<u32>,
}

impl Parts {
    /// No parts yet; `top` records are kept.
    pub(crate) fn new(top: usize) -> Self {
        Self {
            top,
            found: Vec::new(),
            records: Vec::new(),
            signatures: Set::default(),
            shards: Set::default(),
        }
    }

    /// Number of parts so far.
    pub(crate) fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether the part of a shard is in.
    pub(crate) fn contains(&self, shard: usize) -> bool {
        self.shards.contains(&(shard as u32))
    }

    /// Adds parts with their records. Parts of which one has a signature or a shard that occurred
    /// before are left out, as an answer must not name it twice, and so are those of which one has a
    /// signature that can't stand in a list.
    pub(crate) fn add(&mut self, parts: Vec<FoundPart>, body: &[u8]) {
        let is_known = |p: &FoundPart| {
            self.signatures.contains(&p.signature) || self.shards.contains(&p.shard)
        };
        if parts.iter().any(|p| is_known(p) || !is_plain_signature(&p.signature)) {
            return;
        }
        for part in &parts {
            self.signatures.insert(part.signature.clone());
            self.shards.insert(part.shard);
        }
        self.found.extend(parts);
        self.records.extend(body.as_chunks::<RECORD_LEN>().0);
        if self.records.len() > self.top + SPARE_RECORDS {
            self.keep_best();
        }
    }

    /// Whether parts were added since they were last taken.
    pub(crate) fn has_new(&self) -> bool {
        !self.found.is_empty()
    }

    /// Takes the parts that were added since the last time, and the best of their records.
    pub(crate) fn take(&mut self) -> (Vec<FoundPart>, Vec<u8>) {
        self.keep_best();
        let records = std::mem::take(&mut self.records);
        (std::mem::take(&mut self.found), records.concat())
    }

    /// The answer, with the records in falling order.
    pub(crate) fn into_answer(mut self) -> Gathered {
        self.keep_best();
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        let signatures: Vec<&[u8]> = self.found.iter().map(|p| &*p.signature).collect();
        let parts = signatures.len();
        match HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
            Ok(signatures) => {
                Gathered::Answer { signatures, parts, body: self.records.concat().into() }
            }
            Err(_) => Gathered::Incomplete { parts: 0, started: true },
        }
    }

    fn keep_best(&mut self) {
        if self.top > 0 && self.top < self.records.len() {
            self.records.select_nth_unstable_by(self.top - 1, |a, b| b.cmp(a));
        }
        self.records.truncate(self.top);
    }
}
