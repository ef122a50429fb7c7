//! Groups of control instances, and the group of a session.

mod network;

use directory::placement::PlacementError;
use directory::{Placement, SessionKey, Timing};
use network::machines;

fn placement(count: usize, size: usize) -> Placement {
    Placement::new(machines(count), size, &Timing::default()).unwrap()
}

#[test]
fn each_machine_is_in_as_many_groups_as_a_group_has_members() {
    for size in [1, 3, 5] {
        let placement = placement(13, size);
        assert_eq!(placement.groups(), 13);
        for machine in 0..13 {
            let groups = (0..13).filter(|group| placement.members(*group).contains(&machine));
            assert_eq!(groups.count(), size);
        }
    }
}

#[test]
fn members_are_of_different_regions_where_there_are_as_many_of_each() {
    let placement = placement(12, 3);
    for group in 0..placement.groups() {
        let mut regions: Vec<&str> =
            placement.members(group).iter().map(|machine| &*placement.instances()[*machine].region).collect();
        regions.sort_unstable();
        regions.dedup();
        assert_eq!(regions.len(), 3, "group {group}");
    }
}

#[test]
fn sessions_are_spread_evenly_and_the_order_of_the_list_does_not_matter() {
    let all = placement(13, 3);
    let mut reversed = machines(13);
    reversed.reverse();
    let reversed = Placement::new(reversed, 3, &Timing::default()).unwrap();
    assert_eq!(all.digest(), reversed.digest());
    let mut counts = [0; 13];
    for n in 0..13_000 {
        let session = SessionKey::new(&n.to_string());
        assert_eq!(all.group(session), reversed.group(session));
        counts[all.group(session)] += 1;
    }
    assert!(counts.iter().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn other_terms_make_another_directory() {
    let other = Timing { lease: 3_000, ..Timing::default() };
    let other = Placement::new(machines(13), 3, &other).unwrap();
    assert_ne!(placement(13, 3).digest(), other.digest());
}

#[test]
fn a_list_that_is_none_is_turned_down() {
    let wrong = |machines, size| Placement::new(machines, size, &Timing::default()).unwrap_err();
    assert_eq!(wrong(machines(13), 2), PlacementError::GroupSize(2));
    assert_eq!(wrong(machines(2), 3), PlacementError::InstanceCount(2));
    assert_eq!(wrong(machines(65), 3), PlacementError::InstanceCount(65));
    let mut twice = machines(3);
    twice[2].name = twice[0].name.clone();
    assert_eq!(wrong(twice, 3), PlacementError::Duplicate(2));
}
