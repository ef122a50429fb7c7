use super::*;

#[test]
fn a_late_event_finds_nobody_in_a_place_that_was_used_again() {
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
