#![no_main]
libfuzzer_sys::fuzz_target!(|bytes: &[u8]| explore::scanner(bytes));
