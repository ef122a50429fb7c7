use super::*;

#[test]
fn ids_are_remembered_for_a_time_and_up_to_a_number() {
    let mut departed = DepartedRequests::default();
    departed.insert("first", 0.0);
    assert!(departed.contains("first", RETENTION - 1.0));
    assert!(!departed.contains("other", 1.0));
    assert!(!departed.contains("first", RETENTION));
    (0..2 * MAX_IDS).for_each(|n| departed.insert(&n.to_string(), 100.0));
    assert_eq!((departed.hashes.len(), departed.order.len()), (MAX_IDS, MAX_IDS));
    assert!(!departed.contains("0", 100.0));
    assert!(departed.contains(&(2 * MAX_IDS - 1).to_string(), 100.0));
}
