use replication::message::{encode, Body, VERSION};
use replication::{Identity, Keys};

use super::*;

#[test]
fn the_kind_of_a_sealed_datagram_is_read_from_its_body() {
    let from = Identity {
        name: "pooler-1".into(),
        zone: "zone-1".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        start: 3,
        renewal: 0,
    };
    let header = Header { version: VERSION, from, number: 70_000, to: 9 };
    let keys = Keys::parse([crate::settings::KEY]).expect("a key");
    let kind = |body: Body| MessageKind::of_datagram(&keys.seal(encode(&header, &body)));
    assert_eq!(kind(Body::Swim(vec![1, 2])), MessageKind::Swim);
    assert_eq!(kind(Body::Views { round: 1, views: Vec::new(), usage: Vec::new() }), MessageKind::Views);
    assert_eq!(kind(Body::Roster { from: 0, upto: 1, instances: Vec::new() }), MessageKind::Roster);
    assert_eq!(kind(Body::Leave { upto: 1 }), MessageKind::Other);
    assert_eq!(MessageKind::of_datagram(b"no datagram"), MessageKind::Other);
}

#[test]
fn counts_are_subtracted_summed_scaled_and_serialized() {
    let near = (MessageKind::Ask, Distance::OwnZone, Direction::Sent);
    let far = (MessageKind::Ask, Distance::OtherRegion, Direction::Sent);
    let (mut before, mut after) = (Traffic::default(), Traffic::default());
    before.count(near, 1, 100);
    after.count(near, 3, 300);
    after.count(far, 2, 50);
    let since = after.since(&before);
    assert_eq!(since.sum(|_| true), Count { messages: 4.0, bytes: 250.0 });
    assert_eq!(
        since.sum(|(_, distance, _)| *distance == Distance::OwnZone),
        Count { messages: 2.0, bytes: 200.0 }
    );
    assert_eq!(since.scaled(0.5).sum(|_| true), Count { messages: 2.0, bytes: 125.0 });
    let text = serde_json::to_string(&since).expect("text");
    assert_eq!(serde_json::from_str::<Traffic>(&text).expect("counts"), since);
}
