//! The modules of the crate use each other without cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The modules that each module refers to by `crate::`, and through the crate's root as `Policy`.
fn dependencies() -> BTreeMap<String, BTreeSet<String>> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut uses = BTreeMap::new();
    for file in fs::read_dir(source).unwrap().map(|entry| entry.unwrap().path()) {
        let module = file.file_stem().unwrap().to_str().unwrap().to_string();
        if module == "lib" || !file.is_file() {
            continue;
        }
        let text = fs::read_to_string(&file).unwrap();
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        let named = code.flat_map(|line| line.split("crate::").skip(1).map(module_name).collect::<Vec<_>>());
        uses.insert(module, named.collect());
    }
    uses
}

/// The module at the start of a path after `crate::`.
fn module_name(path: &str) -> String {
    assert!(!path.starts_with('{'), "one module per line, so that this test sees it: {path}");
    let end = path.find(|c: char| !c.is_alphanumeric() && c != '_').unwrap_or(path.len());
    match &path[..end] {
        "Policy" => "policy".into(),
        module => module.into(),
    }
}

#[test]
fn modules_have_no_cycles() {
    let mut left = dependencies();
    assert!(left.len() > 10 && left["policy"].contains("state"), "{left:?}");
    // Removes the modules that use none of those left, until only cycles remain.
    while let Some(lowest) = left
        .iter()
        .find(|(_, used)| !used.iter().any(|module| left.contains_key(module)))
        .map(|(module, _)| module.clone())
    {
        left.remove(&lowest);
    }
    assert!(left.is_empty(), "in a cycle, or dependent on one: {left:?}");
}
