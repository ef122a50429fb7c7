//! Replays the fuzzer's stored corpus: inputs that once covered a new path or found a fault.

#[test]
fn targets_accept_the_stored_corpus() {
    for (name, target) in explore::TARGETS {
        let inputs = explore::corpus(name).unwrap();
        assert!(inputs.len() >= 100, "{name}: {} inputs; its corpus is missing", inputs.len());
        inputs.iter().for_each(|input| target(input));
    }
}
