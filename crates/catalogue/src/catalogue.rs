//! The catalogue document and its parser.

use serde::{Deserialize, Serialize};

use crate::check::check;
use crate::{DataCentre, Error, Member, Move, Name, Proposal, Result, Service, Target};

/// The catalogue document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Catalogue {
    /// Organisations that share the tier.
    pub members: Vec<Member>,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Services with their shards and targets.
    pub services: Vec<Service>,
    /// Open and recently ended moves.
    pub moves: Vec<Move>,
    /// Pending proposals of new members.
    pub proposals: Vec<Proposal>,
}

impl Catalogue {
    /// Service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Member with the given name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.name == name)
    }

    /// Data centre with the given name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        self.data_centres.iter().find(|d| &*d.name == name)
    }

    /// Move with the given id.
    pub fn find_move(&self, id: &str) -> Option<&Move> {
        self.moves.iter().find(|m| &*m.id == id)
    }

    /// Target with the given name, in any service.
    pub fn target(&self, name: &str) -> Option<&Target> {
        let shards = self.services.iter().flat_map(|s| &s.shards);
        shards.flat_map(|s| &s.targets).find(|t| &*t.name == name)
    }

    /// Names of all members.
    pub fn member_names(&self) -> impl Iterator<Item = &Name> {
        self.members.iter().map(|m| &m.name)
    }

    /// Validates the catalogue.
    ///
    /// # Errors
    ///
    /// The first violated rule, with the path to the field.
    pub fn check(&self) -> Result<()> {
        check(self)
    }
}

/// Parses a catalogue from JSON with comments and validates it.
///
/// # Errors
///
/// Syntax errors with line and column; violated rules with the path to the field.
pub fn from_text(text: &str) -> Result<Catalogue> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let catalogue: Catalogue = serde_json::from_reader(reader).map_err(Error::syntax)?;
    catalogue.check()?;
    Ok(catalogue)
}
