//! Tests that the tests and files which the documentation refers to exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
const TEST_FOLDERS: [&str; 3] = ["lib/tests", "stand-ins/tests", "cli/tests"];

fn test_sources() -> String {
    let mut sources = String::new();
    for folder in TEST_FOLDERS {
        for entry in fs::read_dir(Path::new(ROOT).join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "rs") {
                sources.push_str(&fs::read_to_string(path).unwrap());
            }
        }
    }
    sources
}

#[test]
fn promises_named_tests_exist() {
    let page = fs::read_to_string(Path::new(ROOT).join("docs/promises.md")).unwrap();
    let rows = page.lines();
    let rows = rows.filter(|row| row.starts_with("| tests") || row.starts_with("| faulty"));
    let names: Vec<&str> = rows
        .flat_map(|row| row.split('`').skip(1).step_by(2))
        .collect();
    assert!(names.len() > 50);
    let sources = test_sources();
    for name in names {
        assert!(sources.contains(&format!("fn {name}(")), "no test {name}");
    }
}

fn collect_pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

#[test]
fn pages_links_resolve() {
    let mut found = vec![Path::new(ROOT).join("README.md")];
    collect_pages(&Path::new(ROOT).join("docs"), &mut found);
    for page in found {
        let text = fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let path = page.parent().unwrap().join(target);
            assert!(path.exists(), "{}: {target}", page.display());
        }
    }
}
