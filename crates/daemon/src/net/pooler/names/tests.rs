use super::*;

#[test]
fn long_session_keys_are_kept_as_digests_that_differ() {
    assert_eq!(&*session_name("7f3a".into()), "7f3a");
    let (one, other) = ("a".repeat(100_000), "a".repeat(100_001));
    assert_eq!(session_name(one.clone()).len(), "sha256:".len() + 64);
    assert_eq!(session_name(one.clone()), session_name(one.clone()));
    assert_ne!(session_name(one), session_name(other));
}

#[test]
fn logged_names_are_cut_at_a_character() {
    assert_eq!(for_log("id-1"), "id-1");
    assert_eq!(for_log(&"é".repeat(100)), "é".repeat(32));
    assert_eq!(for_log(&format!("a{}", "é".repeat(100))).len(), 63);
}
