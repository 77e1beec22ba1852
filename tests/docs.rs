//! Checks that the on-call page and the program name the same log lines.

use std::collections::BTreeSet;
use std::path::Path;

/// Collects the level and message of each log call in the sources under a folder.
fn collect_log_lines(folder: &Path, found: &mut BTreeSet<(String, String)>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_log_lines(&path, found);
            continue;
        }
        let source = std::fs::read_to_string(&path).unwrap();
        for level in ["crit", "error", "warn", "info", "debug"] {
            for call in source.split(&format!("{level}!(")).skip(1) {
                let text = call.split('"').nth(1).unwrap();
                found.insert((level.to_owned(), text.to_owned()));
            }
        }
    }
}

#[test]
fn the_on_call_page_names_exactly_the_log_lines_of_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut logged = BTreeSet::new();
    collect_log_lines(&root.join("src"), &mut logged);
    let page = std::fs::read_to_string(root.join("docs/on-call.md")).unwrap();
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        let (level, text) = (cells.next()?, cells.next()?.strip_prefix('`')?.strip_suffix('`')?);
        Some((level.to_owned(), text.to_owned()))
    });
    assert_eq!(rows.collect::<BTreeSet<_>>(), logged);
}
