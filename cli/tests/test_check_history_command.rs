//! Tests of `beryltray check-history`.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const INVOCATION: &str = r#"{"marker":"m1","account":"harbour","service":"slot-ledger","operation":"book","key":"k1","expected_tokens":0,"intended_unix_us":10,"sent_unix_us":10,"ended_unix_us":50,"outcome":"complete","answer":"{\"marker\":\"m1\"}"}"#;

/// Returns the record of one run of the booking.
fn work(received_unix_us: u64) -> String {
    format!(
        r#"{{"received_unix_us":{received_unix_us},"operation":"book","attempt":"t{received_unix_us}","marker":"m1","leaving_for_ms":null,"is_run":true,"end":"whole"}}"#
    )
}

fn write(name: &str, text: &str) -> PathBuf {
    let file = format!("check-history-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    path
}

/// Checks the history of one booking against a plain service's records of its runs.
fn check(name: &str, works: &[String]) -> Output {
    let history = write(&format!("{name}-history"), INVOCATION);
    let works = works.join(",");
    let truth = format!(r#"{{"host":"desk-1","works":[{works}]}}"#);
    let plain = write(&format!("{name}-plain"), &truth);
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .arg("check-history")
        .arg("--history")
        .arg(&history)
        .arg("--plain")
        .arg(&plain)
        .output()
        .unwrap();
    std::fs::remove_file(history).unwrap();
    std::fs::remove_file(plain).unwrap();
    output
}

#[test]
fn check_history_without_violation_exits_with_0() {
    let output = check("kept", &[work(20)]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn check_history_second_run_exits_with_1() {
    let output = check("broken", &[work(20), work(30)]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("m1 ran 2 times"));
}

#[test]
fn check_history_unreadable_line_is_named() {
    let history = write("unreadable", "\n{}\n");
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .arg("check-history")
        .arg("--history")
        .arg(&history)
        .output()
        .unwrap();
    std::fs::remove_file(history).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("line 2"));
}
