//! The kept corpus of the fuzzer, played again: each input that opened a new path once, or found something.

#[test]
fn what_was_found_once_stays_found() {
    for (name, machine) in explore::ALL {
        let inputs = explore::corpus(name).unwrap();
        assert!(inputs.len() >= 100, "{name}: {} inputs; its corpus is missing", inputs.len());
        inputs.iter().for_each(|input| machine(input));
    }
}
