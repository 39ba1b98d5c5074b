//! Tests of the dependency direction between the library's modules.

use std::path::Path;
use std::path::PathBuf;

/// Modules that `process` depends on and that must not depend on it.
const LAYERS_BELOW_PROCESS: [&str; 3] = ["request", "connection", "target"];

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
fn layers_below_process_do_not_import_it() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for layer in LAYERS_BELOW_PROCESS {
        let files = source_files(&sources.join(layer));
        assert!(!files.is_empty(), "{layer} has no sources");
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            let importing = text.lines().find(|line| line.contains("crate::process"));
            assert_eq!(importing, None, "{}", file.display());
        }
    }
}
