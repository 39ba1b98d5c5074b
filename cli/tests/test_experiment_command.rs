//! Tests of `beryltray experiment`.

use std::process::Command;

/// Runs the admission experiment, which has the least work, and returns its output.
fn admission(seed: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .args([
            "experiment",
            "admission",
            "--format",
            "json",
            "--seed",
            seed,
        ])
        .output()
        .unwrap();
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn experiment_same_seed_gives_same_figures() {
    let first = admission("7");
    assert_eq!(first, admission("7"));
    assert_ne!(first, admission("8"));
}

#[test]
fn experiment_json_has_the_baselines() {
    let report: serde_json::Value = serde_json::from_str(&admission("7")).unwrap();
    let rows = report["sections"][0]["rows"].as_array().unwrap();
    let cases: Vec<_> = rows
        .iter()
        .map(|row| row["case"].as_str().unwrap())
        .collect();
    assert_eq!(cases, ["plain queue", "plain queue of 256", "admission"]);
}
