//! Splitting a catalogue into parts and joining them.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Map, Name, Service};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Rejection;

/// Length of a part's digest, a truncated SHA-256, in bytes.
const DIGEST_BYTES: usize = 16;

/// Maximum size of a part, in bytes; the store limits values to one megabyte.
const PART_LIMIT: usize = 1_000_000;

/// Serialized part.
pub type Part = Arc<[u8]>;

/// Digests of the parts of a catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartKeys {
    /// Digest of everything except the services.
    pub rest: Name,
    /// Digests of the services by name.
    pub services: BTreeMap<Name, Name>,
}

impl PartKeys {
    /// Iterates over all digests.
    pub fn all(&self) -> impl Iterator<Item = &Name> {
        std::iter::once(&self.rest).chain(self.services.values())
    }
}

/// A catalogue with its parts.
#[derive(Clone, Debug)]
pub struct Snapshot {
    keys: PartKeys,
    parts: Map<Name, Part>,
    catalogue: Arc<Catalogue>,
}

impl Snapshot {
    /// Splits a catalogue into parts.
    ///
    /// # Errors
    ///
    /// A part exceeds the size limit.
    pub fn split(mut catalogue: Catalogue) -> Result<Self, Rejection> {
        catalogue.services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut parts = Map::default();
        let mut services = BTreeMap::new();
        for service in &catalogue.services {
            let key = add_part(&mut parts, &service.name, service)?;
            services.insert(service.name.clone(), key);
        }
        let rest = Catalogue { services: Vec::new(), ..catalogue.clone() };
        let rest = add_part(&mut parts, "members, data centres and moves", &rest)?;
        Ok(Self { keys: PartKeys { rest, services }, parts, catalogue: Arc::new(catalogue) })
    }

    /// Joins the parts returned by `find` into a catalogue, and validates digests and catalogue.
    ///
    /// # Errors
    ///
    /// A part is missing or does not match its digest, or the catalogue violates a rule.
    pub fn join(keys: &PartKeys, find: impl Fn(&str) -> Option<Part>) -> Result<Self, Rejection> {
        let mut parts = Map::default();
        for key in keys.all() {
            let part = find(key).filter(|p| digest(p) == *key);
            let part = part.ok_or_else(|| Rejection::Unavailable(format!("part {key} missing")))?;
            parts.insert(key.clone(), part);
        }
        let mut catalogue: Catalogue = parse_part(&parts[&keys.rest])?;
        for key in keys.services.values() {
            let service: Service = parse_part(&parts[key])?;
            catalogue.services.push(service);
        }
        catalogue.check().map_err(|e| Rejection::Invalid(e.to_string()))?;
        Ok(Self { keys: keys.clone(), parts, catalogue: Arc::new(catalogue) })
    }

    /// Digests of the parts.
    pub fn keys(&self) -> &PartKeys {
        &self.keys
    }

    /// Parts by digest.
    pub fn parts(&self) -> &Map<Name, Part> {
        &self.parts
    }

    /// The catalogue, with its services sorted by name.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }
}

fn add_part(
    parts: &mut Map<Name, Part>,
    label: &str,
    value: &impl Serialize,
) -> Result<Name, Rejection> {
    let bytes = serde_json::to_vec(value).map_err(|e| Rejection::Invalid(e.to_string()))?;
    if bytes.len() > PART_LIMIT {
        let reason = format!("{label}: {} bytes, expected at most {PART_LIMIT}", bytes.len());
        return Err(Rejection::Invalid(reason));
    }
    let key = digest(&bytes);
    parts.insert(key.clone(), bytes.into());
    Ok(key)
}

pub(crate) fn digest(bytes: &[u8]) -> Name {
    let hash = Sha256::digest(bytes);
    hash[..DIGEST_BYTES].iter().map(|b| format!("{b:02x}")).collect::<String>().into()
}

fn parse_part<T: for<'a> Deserialize<'a>>(part: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(part).map_err(|e| Rejection::Invalid(format!("read part: {e}")))
}
