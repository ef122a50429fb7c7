//! Groups of control instances, and the group of a session.

mod network;

use directory::placement::PlacementError;
use directory::{Placement, SessionKey, Timing};
use network::control_instances;

fn placement(count: usize, size: usize) -> Placement {
    Placement::new(control_instances(count), size, &Timing::default()).unwrap()
}

#[test]
fn each_control_instance_is_in_as_many_groups_as_a_group_has_members() {
    for size in [1, 3, 5] {
        let placement = placement(13, size);
        assert_eq!(placement.groups(), 13);
        for instance in 0..13 {
            let groups = (0..13).filter(|group| placement.members(*group).contains(&instance));
            assert_eq!(groups.count(), size);
        }
    }
}

#[test]
fn members_are_in_different_regions_if_regions_are_balanced() {
    let placement = placement(12, 3);
    for group in 0..placement.groups() {
        let mut regions: Vec<&str> = placement
            .members(group)
            .iter()
            .map(|instance| &*placement.instances()[*instance].region)
            .collect();
        regions.sort_unstable();
        regions.dedup();
        assert_eq!(regions.len(), 3, "group {group}");
    }
}

#[test]
fn sessions_are_distributed_evenly_regardless_of_list_order() {
    let all = placement(13, 3);
    let mut reversed = control_instances(13);
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
fn timing_is_part_of_the_digest() {
    let other = Timing { lease: 3_000, ..Timing::default() };
    let other = Placement::new(control_instances(13), 3, &other).unwrap();
    assert_ne!(placement(13, 3).digest(), other.digest());
}

#[test]
fn invalid_lists_are_rejected() {
    let error =
        |control_instances, size| Placement::new(control_instances, size, &Timing::default()).unwrap_err();
    assert_eq!(error(control_instances(13), 2), PlacementError::GroupSize(2));
    assert_eq!(error(control_instances(2), 3), PlacementError::InstanceCount(2));
    assert_eq!(error(control_instances(65), 3), PlacementError::InstanceCount(65));
    let mut duplicate = control_instances(3);
    duplicate[2].name = duplicate[0].name.clone();
    assert_eq!(error(duplicate, 3), PlacementError::Duplicate(2));
}
