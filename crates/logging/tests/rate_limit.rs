//! Rate limit of the log.

#[test]
fn lines_of_a_call_site_are_rate_limited_and_the_level_can_change() {
    let handle = logging::start(operator::LogLevel::Error, operator::LogFormat::Json);
    for n in 0..1_000 {
        logging::error!(event = "flood", n, "repeated line");
    }
    assert_eq!(handle.suppressed_lines(), 800);
    logging::error!(event = "other", "a line of another call site passes");
    assert_eq!(handle.suppressed_lines(), 800);
    let flood = || (0..1_000).for_each(|n| logging::info!(event = "quiet", n, "logged at this level only"));
    flood();
    assert_eq!(handle.suppressed_lines(), 800, "not logged at this level, so nothing is suppressed");
    handle.set_level(operator::LogLevel::Info);
    flood();
    assert_eq!(handle.suppressed_lines(), 1_600);
}
