//! A version of the catalogue, split into parts and put together.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Map, Name, Service};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Rejection;

/// Bytes of the SHA-256 that name a part.
const DIGEST_BYTES: usize = 16;

/// Largest part, in bytes; the store holds values up to a megabyte.
const PART_LIMIT: usize = 1_000_000;

/// Bytes of a part.
pub type Part = Arc<[u8]>;

/// Digests of the parts of a catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Everything but the services.
    pub rest: Name,
    /// Services by name.
    pub services: BTreeMap<Name, Name>,
}

impl Keys {
    /// All digests.
    pub fn all(&self) -> impl Iterator<Item = &Name> {
        std::iter::once(&self.rest).chain(self.services.values())
    }
}

/// A catalogue with the parts that it consists of.
#[derive(Clone, Debug)]
pub struct Snapshot {
    keys: Keys,
    parts: Map<Name, Part>,
    catalogue: Arc<Catalogue>,
}

impl Snapshot {
    /// Splits a catalogue.
    ///
    /// # Errors
    ///
    /// A part exceeds what the store holds.
    pub fn split(mut catalogue: Catalogue) -> Result<Self, Rejection> {
        catalogue.services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut parts = Map::default();
        let mut services = BTreeMap::new();
        for service in &catalogue.services {
            let key = add(&mut parts, &service.name, service)?;
            services.insert(service.name.clone(), key);
        }
        let rest = Catalogue { services: Vec::new(), ..catalogue.clone() };
        let rest = add(&mut parts, "members, data centres and moves", &rest)?;
        Ok(Self { keys: Keys { rest, services }, parts, catalogue: Arc::new(catalogue) })
    }

    /// Puts a catalogue together from parts that `find` gives, and checks all of it.
    ///
    /// # Errors
    ///
    /// A part is missing or is not what its digest says; the catalogue breaks a rule.
    pub fn join(keys: &Keys, find: impl Fn(&str) -> Option<Part>) -> Result<Self, Rejection> {
        let mut parts = Map::default();
        for key in keys.all() {
            let part = find(key).filter(|p| digest(p) == *key);
            let part = part.ok_or_else(|| Rejection::Unavailable(format!("part {key} missing")))?;
            parts.insert(key.clone(), part);
        }
        let mut catalogue: Catalogue = read(&parts[&keys.rest])?;
        for key in keys.services.values() {
            let service: Service = read(&parts[key])?;
            catalogue.services.push(service);
        }
        catalogue.check().map_err(|e| Rejection::Invalid(e.to_string()))?;
        Ok(Self { keys: keys.clone(), parts, catalogue: Arc::new(catalogue) })
    }

    /// Digests of the parts.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Parts by digest.
    pub fn parts(&self) -> &Map<Name, Part> {
        &self.parts
    }

    /// The catalogue, its services in the order of their names.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }
}

fn add(parts: &mut Map<Name, Part>, what: &str, value: &impl Serialize) -> Result<Name, Rejection> {
    let bytes = serde_json::to_vec(value).map_err(|e| Rejection::Invalid(e.to_string()))?;
    if bytes.len() > PART_LIMIT {
        let reason = format!("{what}: {} bytes, expected at most {PART_LIMIT}", bytes.len());
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

fn read<T: for<'a> Deserialize<'a>>(part: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(part).map_err(|e| Rejection::Invalid(format!("read part: {e}")))
}
