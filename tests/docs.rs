//! The page for staff on call and the program must name the same log lines.

use std::collections::BTreeSet;
use std::path::Path;

/// The texts of all log lines under a folder, with their levels.
fn lines(folder: &Path, found: &mut BTreeSet<(String, String)>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            lines(&path, found);
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
fn the_page_for_staff_on_call_names_every_log_line_and_no_other() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut logged = BTreeSet::new();
    lines(&root.join("src"), &mut logged);
    let page = std::fs::read_to_string(root.join("docs/on-call.md")).unwrap();
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        let (level, text) = (cells.next()?, cells.next()?.strip_prefix('`')?.strip_suffix('`')?);
        Some((level.to_owned(), text.to_owned()))
    });
    assert_eq!(rows.collect::<BTreeSet<_>>(), logged);
}
