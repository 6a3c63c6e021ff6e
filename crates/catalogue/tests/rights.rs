//! Authorization of catalogue changes, and admission of new members.

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

fn is_rejected(change: impl Fn(&mut Catalogue)) -> bool {
    let mut new = catalogue();
    change(&mut new);
    authorize(&catalogue(), &new, "castlegate").is_err()
}

#[test]
fn owner_may_change_its_service() {
    let mut new = catalogue();
    new.services[0].class = "portal".into();

    assert_eq!(authorize(&catalogue(), &new, "castlegate").unwrap(), ["service clocks"]);
}

#[test]
fn changes_to_entries_of_other_members_are_rejected() {
    assert!(
        is_rejected(|c| c.services[1].class = "portal".into()),
        "change of another member's service"
    );
    assert!(is_rejected(|c| drop(c.services.pop())), "removal of another member's service");
    assert!(
        is_rejected(|c| c.services.push(service("new", "zeugenwerk"))),
        "new service owned by another member"
    );
    assert!(is_rejected(|c| c.services[1].owner = "castlegate".into()), "taking over a service");
    assert!(is_rejected(|c| c.services[0].owner = "zeugenwerk".into()), "handing over a service");
    assert!(is_rejected(|c| c.members[1].key = "stolen".into()), "key of another member");
    assert!(is_rejected(|c| drop(c.members.pop())), "removal of another member");
    assert!(is_rejected(|c| c.members.push(member("newcomer"))), "new member without approval");
}

#[test]
fn member_may_change_its_key_and_drain_any_data_centre() {
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
fn changed_proposal_needs_new_approvals() {
    let mut three = catalogue();
    three.members.push(member("third"));
    let proposed = propose(&three, member("newcomer"), "castlegate".into()).unwrap();
    let old = proposed.proposals[0].digest();
    let approved = approve(&proposed, "newcomer", &old, "zeugenwerk".into()).unwrap();
    let other = Member { name: "newcomer".into(), key: key_hash("another key") };

    let changed = propose(&approved, other, "castlegate".into()).unwrap();

    let missing = changed.proposals[0].missing(&changed);
    assert_eq!(missing, ["zeugenwerk".into(), "third".into()]);
    assert!(
        approve(&changed, "newcomer", &old, "zeugenwerk".into()).is_err(),
        "approval of the old digest"
    );
}

#[test]
fn proposal_needs_approval_of_members_that_joined_later() {
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
fn whole_hashes_are_compared() {
    let hash = key_hash("secret");

    assert!(is_same_hash(&hash, &hash));
    assert!(!is_same_hash(&hash, &hash[..63]));
    assert!(!is_same_hash(&hash, &key_hash("Secret")));
    assert!(!is_same_hash("0", &hash));
}
