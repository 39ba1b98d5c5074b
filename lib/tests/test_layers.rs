//! Tests of the direction in which the library's modules use each other.

use std::path::Path;
use std::path::PathBuf;

/// What serves a request is used by the process and never uses it.
const BELOW_THE_PROCESS: [&str; 3] = ["request", "connection", "target"];

fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                return source_files(&path);
            }
            vec![path]
        })
        .collect()
}

#[test]
fn layers_below_the_process_never_import_it() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for layer in BELOW_THE_PROCESS {
        let files = source_files(&sources.join(layer));
        assert!(!files.is_empty(), "{layer} has no sources");
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            let importing = text.lines().find(|line| line.contains("crate::process"));
            assert_eq!(importing, None, "{}", file.display());
        }
    }
}
