//! A gatherer of another data centre that gathers some of the parts of a query.

use std::rc::Rc;
use std::time::Instant;

use sapphirerack_catalogue::Name;
use sapphirerack_protocol::{FoundPart, GatherReply, GatherScope};

use crate::delegated::{Delegated, accept_time, message};
use crate::host::Host;
use crate::query::Query;

/// A partner in a query.
pub(crate) struct Partner {
    host: Rc<Host>,
    delegated: Delegated,
    /// Shards in the order in which the partner was asked for them.
    pub asked: Vec<usize>,
    /// Shards without a part.
    pub shards: Vec<usize>,
    /// Time until which it must accept the query.
    accept_by: Instant,
}

/// An event of a partner.
pub(crate) enum PartnerEvent {
    /// It replied.
    Reply(GatherReply),
    /// The link broke.
    Lost,
    /// It has not accepted the query in time.
    NotAccepted,
}

impl Partner {
    /// Asks a gatherer of a data centre for the parts of some shards.
    ///
    /// # Errors
    ///
    /// There is none that can be asked; returns the shards.
    pub(crate) fn ask(
        host: &Rc<Host>,
        query: &Query<'_>,
        centre: &str,
        shards: Vec<usize>,
    ) -> Result<Self, Vec<usize>> {
        let Some(gatherer) = host.fleet.choose_partner(centre, host.now()) else {
            return Err(shards);
        };
        let services: Vec<Name> = shards.iter().map(|s| query.service(*s).clone()).collect();
        let now = host.now();
        let attempts = query.call.route.attempts;
        let message = message(query, GatherScope::Parts, services, attempts, now);
        let Some(delegated) = Delegated::send(host, &gatherer, message) else {
            return Err(shards);
        };
        let accept_by = now + accept_time(query.aim.at(), now);
        let host = host.clone();
        Ok(Self { host, delegated, asked: shards.clone(), shards, accept_by })
    }

    /// Waits for the next event.
    pub(crate) async fn next(mut self) -> (Self, PartnerEvent) {
        let reply = if self.delegated.acceptances() > 0 {
            self.delegated.reply().await
        } else {
            match tokio::time::timeout_at(self.accept_by.into(), self.delegated.reply()).await {
                Ok(reply) => reply,
                Err(_) if self.delegated.acceptances() == 0 => {
                    return (self, PartnerEvent::NotAccepted);
                }
                Err(_) => self.delegated.reply().await,
            }
        };
        let event = reply.map_or(PartnerEvent::Lost, PartnerEvent::Reply);
        (self, event)
    }

    /// Marks parts as received; returns them with the shards' indexes in the whole query, without
    /// those that were not outstanding.
    pub(crate) fn take(&mut self, parts: Vec<FoundPart>) -> Vec<FoundPart> {
        let mut found = Vec::with_capacity(parts.len());
        for part in parts {
            let Some(shard) = self.asked.get(part.shard as usize).copied() else { continue };
            let before = self.shards.len();
            self.shards.retain(|s| *s != shard);
            if self.shards.len() < before {
                found.push(FoundPart { shard: shard as u32, ..part });
            }
        }
        found
    }

    /// Ends a partner that has failed; returns whether it may have sent requests to targets.
    pub(crate) fn fail(self, query: &Query<'_>, event: &PartnerEvent) -> bool {
        let (reason, maybe_started) = match event {
            PartnerEvent::Reply(_) => ("declined", false),
            PartnerEvent::Lost => ("link lost", self.delegated.may_have_arrived()),
            PartnerEvent::NotAccepted => ("not accepted", self.delegated.may_have_arrived()),
        };
        self.host.log_moved(&query.call.id, self.delegated.gatherer(), reason);
        if matches!(event, PartnerEvent::NotAccepted) {
            self.delegated.give_up();
        }
        maybe_started
    }
}
