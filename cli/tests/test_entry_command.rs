//! Tests of `beryltray entry`: an invalid settings file ends the process with a clear message.

use std::process::Command;

use beryltray_lib::ids::new_attempt_id;

const SETTINGS: &str = "[entry]
name = entry-1
environment = trial
data-centre = lakes-a
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
relay = 127.0.0.1:0
[platform]
address = 127.0.0.1:9
";

/// Runs an entry with the invalid settings `text` and returns its exit code and standard error.
fn run_invalid(text: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("entry-{}.ini", new_attempt_id()));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .arg("entry")
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(printed.contains(".ini:"), "{printed}");
    (output.status.code(), printed)
}

#[test]
fn entry_misspelt_key_names_line_and_key() {
    let text = SETTINGS.replace("operators =", "operator =");
    let (code, printed) = run_invalid(&text);
    assert_eq!(code, Some(2));
    assert!(printed.contains(":7"), "{printed}");
    assert!(printed.contains("operator"), "{printed}");
    assert!(
        printed.contains("Hint: did you mean `operators`?"),
        "{printed}"
    );
}

#[test]
fn entry_bad_unit_says_what_was_expected() {
    let text = format!("{SETTINGS}timeout = 5\n");
    let (code, printed) = run_invalid(&text);
    assert_eq!(code, Some(2));
    assert!(printed.contains(":12"), "{printed}");
    assert!(printed.contains("duration"), "{printed}");
}

#[test]
fn entry_missing_value_is_named() {
    let text = SETTINGS.replace("address = 127.0.0.1:9\n", "");
    let (code, printed) = run_invalid(&text);
    assert_eq!(code, Some(2));
    assert!(printed.contains("address"), "{printed}");
}

#[test]
fn entry_missing_file_is_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .args(["entry", "--settings", "no-such-file.ini"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(printed.contains("Hint:"), "{printed}");
}
