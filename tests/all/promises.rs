//! Checks of the documentation: tests, links and event kinds that pages name exist.

use std::path::Path;

/// First path segments that name a crate; tests without one are in tests/all.
const CRATE_NAMES: [&str; 5] = ["catalogue", "engine", "store", "wire", "standin"];
const COLUMN_COUNT: usize = 4;
const TEST_COLUMN: usize = 2;

fn test_file(path: &str) -> (String, String) {
    let parts: Vec<&str> = path.split("::").collect();
    match parts.as_slice() {
        [place, module, name] if CRATE_NAMES.contains(place) => {
            (format!("crates/{place}/tests/{module}.rs"), (*name).into())
        }
        [place, module, part, name] if CRATE_NAMES.contains(place) => {
            let file = format!("crates/{place}/tests/{module}/{part}.rs");
            (file, (*name).into())
        }
        ["platform", module, name] => (format!("platform/tests/{module}.rs"), (*name).into()),
        [module, name] => (format!("tests/all/{module}.rs"), (*name).into()),
        _ => panic!("{path} is not crate::module::test or module::test"),
    }
}

#[test]
fn tests_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page =
        std::fs::read_to_string(root.join("docs/PROMISES.md")).expect("the page is committed");
    let mut test_count = 0;
    for line in page.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), COLUMN_COUNT, "{line}");
        assert!(
            cells.iter().all(|cell| !cell.is_empty()),
            "a cell is empty: {line}"
        );
        for path in cells[TEST_COLUMN]
            .split('`')
            .filter(|word| word.contains("::"))
        {
            let (file, name) = test_file(path);
            let text = std::fs::read_to_string(root.join(&file));
            let text = text.unwrap_or_else(|error| panic!("{path}: {file}: {error}"));
            assert!(
                text.contains(&format!("fn {name}(")),
                "{path} is not in {file}"
            );
            test_count += 1;
        }
    }
    assert!(test_count > 0, "the page names no test");
}

#[test]
fn summary_complete() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let summary = std::fs::read_to_string(docs.join("SUMMARY.md")).expect("the page is committed");
    let mut page_count = 0;
    for folder in ["", "design", "incidents", "operators"] {
        let entries = std::fs::read_dir(docs.join(folder)).expect("the folder is committed");
        for entry in entries {
            let path = entry.expect("the folder is readable").path();
            let is_page = path.extension().is_some_and(|ending| ending == "md");
            if !is_page || path.ends_with("SUMMARY.md") {
                continue;
            }
            let page = path
                .strip_prefix(&docs)
                .expect("the path is inside docs/")
                .display()
                .to_string();
            assert!(
                summary.contains(&format!("({page})")),
                "SUMMARY.md lacks {page}"
            );
            page_count += 1;
        }
    }
    assert!(page_count > 0, "no page was found");
}

#[test]
fn links_resolve() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let summary = std::fs::read_to_string(docs.join("SUMMARY.md")).expect("the page is committed");
    let links = summary
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next());
    for link in links {
        assert!(docs.join(link).is_file(), "SUMMARY.md names {link}");
    }
}

/// docs/LOGS.md lists every event kind of the timeline.
#[test]
fn kinds_listed() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let source = std::fs::read_to_string(root.join("crates/engine/src/timeline.rs"));
    let source = source.expect("the source is committed");
    let page = std::fs::read_to_string(root.join("docs/LOGS.md")).expect("the page is committed");
    let body = source.split("pub enum TimelineEvent {").nth(1);
    let body = body.and_then(|rest| rest.split("\n}\n").next());
    let variants = body
        .expect("the source holds the enum")
        .lines()
        .filter_map(|line| {
            let name = line.strip_prefix("    ")?;
            let name = name.trim_end_matches([',', '{', ' ']);
            let is_variant = name.starts_with(|first: char| first.is_ascii_uppercase())
                && name.chars().all(|letter| letter.is_ascii_alphanumeric());
            is_variant.then(|| snake_case(name))
        });
    let variants: Vec<String> = variants.collect();
    assert!(variants.len() > 20, "{variants:?}");
    let missing: Vec<&String> = variants
        .iter()
        .filter(|kind| !page.contains(&format!("`{kind}`")))
        .collect();
    assert!(missing.is_empty(), "docs/LOGS.md lacks {missing:?}");
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(letter.to_ascii_lowercase());
    }
    text
}
