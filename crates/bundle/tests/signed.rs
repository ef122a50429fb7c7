//! Accepted and rejected signatures, and key rotation.

use bundle::{sign, verify, Key, SignatureError};

fn key(byte: &str) -> Key {
    Key::parse(&format!("{}\n", byte.repeat(32))).unwrap()
}

#[test]
fn either_key_is_accepted_during_a_rotation() {
    let (old, new) = (key("a1"), key("b2"));
    let text = sign("listen = \"127.0.0.1:1\"", &old).unwrap();
    let keys = [key("b2"), key("a1")];
    assert_eq!(verify(&text, &keys), Ok(old.id()));
    let signed_again = sign(&text, &new).unwrap();
    assert_eq!(verify(&signed_again, &keys), Ok(new.id()));
    assert_eq!(signed_again.matches("dewferry-signature").count(), 1);
    assert_eq!(verify(&signed_again, &keys[1..]), Err(SignatureError::UnknownKey(new.id().into())));
}

#[test]
fn change_of_any_byte_is_detected() {
    let keys = [key("a1")];
    let text = sign("a = 1\nb = 2\n", &keys[0]).unwrap();
    for at in 0..text.trim_end().len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] ^= 1;
        let Ok(changed) = String::from_utf8(bytes) else { continue };
        assert!(verify(&changed, &keys).is_err(), "{at}");
    }
    assert!(verify(&text.replace("b = 2", "b = 2\nc = 3"), &keys).is_err());
    assert!(verify(&format!("{text}c = 3\n"), &keys).is_err());
}

#[test]
fn invalid_keys_and_signatures_are_distinguished() {
    assert_eq!(Key::parse("a1").unwrap_err(), SignatureError::InvalidKey);
    assert_eq!(Key::parse(&"zz".repeat(32)).unwrap_err(), SignatureError::InvalidKey);
    let keys = [key("a1")];
    assert_eq!(verify("a = 1\n", &keys), Err(SignatureError::Unsigned));
    assert_eq!(verify("a = 1\n# dewferry-signature: 2 x y\n", &keys), Err(SignatureError::UnsupportedFormat));
    assert!(!format!("{:?}", keys[0]).contains("a1a1"));
}
