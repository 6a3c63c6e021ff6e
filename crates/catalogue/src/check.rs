//! Validation rules for a catalogue.

use crate::check_moves::check_moves;
use crate::{Catalogue, Error, Limits, Name, PARTITION_SPACE, Result, Service, Set, Shard, Target};

/// Maximum length of an entry's name, in bytes.
const NAME_LIMIT: usize = 64;

/// Validates the catalogue; stops at the first violated rule.
pub(crate) fn check(catalogue: &Catalogue) -> Result<()> {
    check_unique("members", catalogue.members.iter().map(|m| &m.name))?;
    check_unique("proposals", catalogue.proposals.iter().map(|p| &p.member.name))?;
    check_unique("data_centres", catalogue.data_centres.iter().map(|d| &d.name))?;
    check_unique("services", catalogue.services.iter().map(|s| &s.name))?;
    for (i, service) in catalogue.services.iter().enumerate() {
        check_service(catalogue, service, &format!("services[{i}]"))?;
    }
    check_targets(catalogue)?;
    check_moves(catalogue)
}

pub(crate) fn check_unique<'a>(path: &str, names: impl Iterator<Item = &'a Name>) -> Result<()> {
    let mut seen = Set::default();
    for (i, name) in names.enumerate() {
        check_name(name, &format!("{path}[{i}].name"))?;
        if !seen.insert(name) {
            let found = format!("{name:?} appears twice");
            return Err(Error::rule(format!("{path}[{i}].name"), found, "unique names"));
        }
    }
    Ok(())
}

pub(crate) fn check_name(name: &str, path: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.chars().all(allowed) {
        let expected = "1 to 64 letters, digits, '-', '_' or '.'";
        return Err(Error::rule(path.into(), format!("{name:?}"), expected));
    }
    Ok(())
}

fn check_service(catalogue: &Catalogue, service: &Service, path: &str) -> Result<()> {
    check_name(&service.class, &format!("{path}.class"))?;
    if catalogue.member(&service.owner).is_none() {
        let found = format!("{:?}", service.owner);
        return Err(Error::rule(format!("{path}.owner"), found, "the name of a member"));
    }
    check_limits(&service.limits, path)?;
    check_unique(&format!("{path}.shards"), service.shards.iter().map(|s| &s.name))?;
    check_spans(&service.shards, path)
}

fn check_limits(limits: &Limits, path: &str) -> Result<()> {
    check_positive(limits.concurrency, &format!("{path}.limits.concurrency"))?;
    if limits.deadline.is_zero() {
        return Err(Error::rule(format!("{path}.limits.deadline"), "0", "a deadline above 0"));
    }
    Ok(())
}

fn check_positive(value: u32, path: &str) -> Result<()> {
    if value == 0 {
        return Err(Error::rule(path.into(), "0", "a limit of 1 or more"));
    }
    Ok(())
}

/// Checks that the spans of the shards cover the partition space without gaps or overlaps.
fn check_spans(shards: &[Shard], path: &str) -> Result<()> {
    let mut order: Vec<usize> = (0..shards.len()).collect();
    order.sort_by_key(|&i| shards[i].span);
    let mut next = 0;
    for i in order {
        let span = shards[i].span;
        let field = || format!("{path}.shards[{i}].span");
        if !span.is_valid() {
            let found = format!("{}..{}", span.start, span.end);
            return Err(Error::rule(field(), found, "a non-empty span within 0..65536"));
        }
        if span.start < next {
            let found = format!("overlap at partition {}", span.start);
            return Err(Error::rule(field(), found, "shards that do not overlap"));
        }
        if span.start > next {
            let found = format!("partitions {next}..{} missing", span.start);
            return Err(Error::rule(field(), found, "shards without gaps"));
        }
        next = span.end;
    }
    if next != PARTITION_SPACE {
        let found = format!("partitions {next}..{PARTITION_SPACE} missing");
        return Err(Error::rule(format!("{path}.shards"), found, "shards without gaps"));
    }
    Ok(())
}

fn check_targets(catalogue: &Catalogue) -> Result<()> {
    let mut seen = Set::default();
    for (i, service) in catalogue.services.iter().enumerate() {
        for (j, shard) in service.shards.iter().enumerate() {
            for (k, target) in shard.targets.iter().enumerate() {
                let path = format!("services[{i}].shards[{j}].targets[{k}]");
                check_target(catalogue, target, &path)?;
                if !seen.insert(&target.name) {
                    let found = format!("{:?} appears twice", target.name);
                    return Err(Error::rule(format!("{path}.name"), found, "unique names"));
                }
            }
        }
    }
    Ok(())
}

fn check_target(catalogue: &Catalogue, target: &Target, path: &str) -> Result<()> {
    check_name(&target.name, &format!("{path}.name"))?;
    check_name(&target.version, &format!("{path}.version"))?;
    if catalogue.data_centre(&target.data_centre).is_none() {
        let found = format!("{:?}", target.data_centre);
        let path = format!("{path}.data_centre");
        return Err(Error::rule(path, found, "the name of a data centre"));
    }
    check_positive(target.slots, &format!("{path}.slots"))?;
    check_positive(target.connections, &format!("{path}.connections"))?;
    check_positive(target.cold, &format!("{path}.cold"))?;
    if target.cold > target.slots {
        let found = target.cold.to_string();
        return Err(Error::rule(format!("{path}.cold"), found, "at most the target's slots"));
    }
    Ok(())
}
