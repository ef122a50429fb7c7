use super::*;

#[test]
fn poolers_members_and_services_have_distinct_addresses() {
    let (network, claim) = Network::claim().expect("a network");
    let (other, _other_claim) = Network::claim().expect("another network");
    assert_ne!(network, other);
    let numbers = [0, 1, 255, 256, 1_299, MAX_ADDRESSES - 1];
    let mut all: Vec<SocketAddr> = numbers.map(|n| network.pooler(n)).into();
    all.extend(numbers.map(|n| network.member(n)));
    all.extend(numbers.map(|n| network.clients(n)));
    all.push(network.discovery());
    all.push(claim.local_addr().expect("an address"));
    assert!(all.iter().all(|address| address.ip().is_loopback()));
    let distinct: std::collections::BTreeSet<&SocketAddr> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
    for number in numbers {
        assert_eq!(network.pooler_at(network.pooler(number)), Some(number));
        assert_eq!(network.pooler_at(network.member(number)), None);
        assert_eq!(network.pooler_at(network.clients(number)), None);
        assert_eq!(other.pooler_at(network.pooler(number)), None);
    }
}

#[test]
fn eight_zones_belong_to_three_regions() {
    let regions: Vec<usize> = (0..ZONES).map(region_of).collect();
    assert_eq!(regions, [0, 0, 0, 1, 1, 1, 2, 2]);
    assert_eq!(zones_of(2), [6, 7]);
    assert_eq!(Distance::between(3, 3), Distance::OwnZone);
    assert_eq!(Distance::between(3, 5), Distance::OtherZone);
    assert_eq!(Distance::between(3, 6), Distance::OtherRegion);
}
