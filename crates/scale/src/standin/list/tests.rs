use super::*;
use routing::interface::Phase;

fn list() -> List {
    let (network, _claim) = Network::claim().expect("a network");
    List::new(network, 10, 4)
}

/// What a pooler reads of a document.
fn read(bytes: &[u8]) -> listing::ListUpdate {
    let text = std::str::from_utf8(bytes).expect("text");
    let (_, document) = text.split_once("\r\n").expect("a chunk");
    listing::parse(document.trim()).expect("a list")
}

#[test]
fn a_call_is_told_all_or_what_has_changed_since() {
    let mut list = list();
    let whole = read(&list.news(0).expect("news"));
    assert!(whole.is_full);
    assert_eq!((whole.version, whole.listings.len()), (1, 10));
    assert_eq!(whole.listings[9].group, 2);
    assert!(list.news(1).is_none(), "one that holds the latest is told nothing");
    assert_eq!(list.change(3, false), Some(2));
    assert_eq!(list.change(4, false), Some(3));
    assert_eq!(list.change(4, true), Some(4));
    let changed = read(&list.news(1).expect("news"));
    assert!(!changed.is_full);
    let phases: Vec<(&str, Phase)> =
        changed.listings.iter().map(|listing| (&*listing.name, listing.phase)).collect();
    assert_eq!(phases, [("db-3", Phase::Left), ("db-4", Phase::Active)]);
    assert_eq!(read(&list.news(0).expect("news")).listings.len(), 9);
    assert!(read(&list.news(77).expect("news")).is_full, "a version of another service means nothing here");
    assert_eq!(list.change(10, false), None);
}
