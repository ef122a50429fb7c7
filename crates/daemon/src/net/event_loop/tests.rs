use mio::Token;

use super::*;

#[test]
fn slot_of_removed_entry_does_not_match_new_entry_of_same_index() {
    let mut slots = Slots::new();
    let old = slots.insert("old");
    for source in [Source::Server(old), Source::PeerStream(old), Source::PeerDatagrams, Source::PeerListener]
    {
        assert_eq!(Source::from(Token::from(source)), source);
    }
    slots.remove(old);
    let new = slots.insert("new");
    assert_eq!(new.index, old.index);
    assert_eq!(slots.get_mut(old), None);
    assert_eq!(slots.remove(old), None);
    assert_eq!(slots.get_mut(new), Some(&mut "new"));
}
