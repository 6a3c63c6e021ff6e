//! Who may change what, and how members join.

#![allow(clippy::unwrap_used)]

use sapphirerack_catalogue::{
    Catalogue, DataCentre, Limits, Member, Presence, Service, approve, authorize, is_same_hash,
    key_hash, propose,
};

fn member(name: &str) -> Member {
    Member { name: name.into(), key: key_hash(name) }
}

fn service(name: &str, owner: &str) -> Service {
    Service {
        name: name.into(),
        owner: owner.into(),
        class: "search".into(),
        limits: Limits { concurrency: 1, deadline: std::time::Duration::from_secs(1) },
        shards: Vec::new(),
    }
}

fn catalogue() -> Catalogue {
    Catalogue {
        members: vec![member("castlegate"), member("zeugenwerk")],
        data_centres: vec![DataCentre { name: "leith".into(), presence: Presence::In }],
        services: vec![service("clocks", "castlegate"), service("deeds", "zeugenwerk")],
        ..Catalogue::default()
    }
}

fn refused(change: impl Fn(&mut Catalogue)) -> bool {
    let mut new = catalogue();
    change(&mut new);
    authorize(&catalogue(), &new, "castlegate").is_err()
}

#[test]
fn owner_changes_its_own_service() {
    let mut new = catalogue();
    new.services[0].class = "portal".into();

    assert_eq!(authorize(&catalogue(), &new, "castlegate").unwrap(), ["service clocks"]);
}

#[test]
fn entries_of_others_are_refused() {
    assert!(refused(|c| c.services[1].class = "portal".into()), "change");
    assert!(refused(|c| drop(c.services.pop())), "removal");
    assert!(refused(|c| c.services.push(service("new", "zeugenwerk"))), "on another's behalf");
    assert!(refused(|c| c.services[1].owner = "castlegate".into()), "taking over");
    assert!(refused(|c| c.services[0].owner = "zeugenwerk".into()), "handing over");
    assert!(refused(|c| c.members[1].key = "stolen".into()), "another's key");
    assert!(refused(|c| drop(c.members.pop())), "removing another member");
    assert!(refused(|c| c.members.push(member("newcomer"))), "a member without approval");
}

#[test]
fn member_changes_its_own_key_and_any_member_takes_a_data_centre_out() {
    let mut new = catalogue();
    new.members[0].key = key_hash("new key");
    new.data_centres[0].presence = Presence::Out;

    let changed = authorize(&catalogue(), &new, "castlegate").unwrap();

    assert_eq!(changed, ["member castlegate", "data centre leith"]);
}

#[test]
fn member_joins_with_the_last_approval() {
    let proposed = propose(&catalogue(), member("newcomer"), "castlegate".into()).unwrap();
    let digest = proposed.proposals[0].digest();
    assert_eq!(proposed.members.len(), 2);
    assert_eq!(proposed.proposals[0].missing(&proposed), ["zeugenwerk".into()]);

    let joined = approve(&proposed, "newcomer", &digest, "zeugenwerk".into()).unwrap();

    assert!(joined.member("newcomer").is_some());
    assert!(joined.proposals.is_empty());
}

#[test]
fn changed_proposal_needs_approvals_anew() {
    let mut three = catalogue();
    three.members.push(member("third"));
    let proposed = propose(&three, member("newcomer"), "castlegate".into()).unwrap();
    let old = proposed.proposals[0].digest();
    let approved = approve(&proposed, "newcomer", &old, "zeugenwerk".into()).unwrap();
    let other = Member { name: "newcomer".into(), key: key_hash("another key") };

    let changed = propose(&approved, other, "castlegate".into()).unwrap();

    let missing = changed.proposals[0].missing(&changed);
    assert_eq!(missing, ["zeugenwerk".into(), "third".into()]);
    assert!(approve(&changed, "newcomer", &old, "zeugenwerk".into()).is_err(), "old digest");
}

#[test]
fn proposal_waits_for_members_that_joined_meanwhile() {
    let one = propose(&catalogue(), member("one"), "castlegate".into()).unwrap();
    let both = propose(&one, member("two"), "castlegate".into()).unwrap();
    let digest = |c: &Catalogue, name: &str| {
        c.proposals.iter().find(|p| &*p.member.name == name).unwrap().digest()
    };
    let first = digest(&both, "one");
    let joined = approve(&both, "one", &first, "zeugenwerk".into()).unwrap();
    let second = digest(&joined, "two");

    let approved = approve(&joined, "two", &second, "zeugenwerk".into()).unwrap();

    assert!(approved.member("two").is_none());
    assert_eq!(approved.proposals[0].missing(&approved), ["one".into()]);
}

#[test]
fn hashes_are_compared_whole() {
    let hash = key_hash("secret");

    assert!(is_same_hash(&hash, &hash));
    assert!(!is_same_hash(&hash, &hash[..63]));
    assert!(!is_same_hash(&hash, &key_hash("Secret")));
    assert!(!is_same_hash("0", &hash));
}
