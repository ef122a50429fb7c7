use super::*;
use routing::interface::Phase;

fn list() -> List {
    let (network, _claim) = Network::claim().expect("a network");
    List::new(network, 10, 4)
}

/// Parses a document as a pooler does.
fn read(bytes: &[u8]) -> listing::ListUpdate {
    let text = std::str::from_utf8(bytes).expect("text");
    let (_, document) = text.split_once("\r\n").expect("a chunk");
    listing::parse(document.trim()).expect("a list")
}

#[test]
fn a_list_request_gets_the_full_list_or_the_changes_since_its_version() {
    let mut list = list();
    let full = read(&list.update_since(0).expect("an update"));
    assert!(full.is_full);
    assert_eq!((full.version, full.listings.len()), (1, 10));
    assert_eq!(full.listings[9].group, 2);
    assert!(list.update_since(1).is_none(), "no update for the latest version");
    assert_eq!(list.set_serving(3, false), Some(2));
    assert_eq!(list.set_serving(4, false), Some(3));
    assert_eq!(list.set_serving(4, true), Some(4));
    let changed = read(&list.update_since(1).expect("an update"));
    assert!(!changed.is_full);
    let phases: Vec<(&str, Phase)> =
        changed.listings.iter().map(|listing| (&*listing.name, listing.phase)).collect();
    assert_eq!(phases, [("db-3", Phase::Left), ("db-4", Phase::Active)]);
    assert_eq!(read(&list.update_since(0).expect("an update")).listings.len(), 9);
    assert!(
        read(&list.update_since(77).expect("an update")).is_full,
        "an unknown version gets the full list"
    );
    assert_eq!(list.set_serving(10, false), None);
}
