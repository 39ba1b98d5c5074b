//! Tests of the JSON log lines of an entry's process.

use std::path::Path;
use std::time::Duration;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::ids::new_attempt_id;
use http::Request;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::cluster::eventually;
use crate::paced_target::put_paced_configuration;
use crate::stand_in::StoreStandIn;
use crate::stand_in::start;
use crate::test_gateway_soak::SoakEntry;

/// Longer than any connection takes.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the log lines whose message begins like this.
fn lines_with(log: &Path, message: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    // The last line may still be incomplete.
    let lines = text.split_inclusive('\n');
    let lines = lines.filter(|line| line.ends_with('\n'));
    let lines = lines.map(|line| serde_json::from_str::<Value>(line).unwrap());
    let is_wanted = |line: &Value| line["message"].as_str().unwrap().starts_with(message);
    lines.filter(is_wanted).collect()
}

fn is_number_or_null(line: &Value, field: &str) -> bool {
    line.get(field)
        .is_some_and(|value| value.is_u64() || value.is_null())
}

/// Guards against fields of log lines that are text like `Some(523)` instead of numbers, and against
/// refusals that don't say by which version, how old and read from where they were made.
#[tokio::test]
async fn log_lines_of_configurations_and_refusals_have_numbers() {
    let store = StoreStandIn::default();
    let store_address = start(store.clone()).await;
    put_paced_configuration(&store, 1);
    let log = std::env::temp_dir().join(format!("log-lines-{}.log", new_attempt_id()));
    let entry = SoakEntry::start_with_log(0, store_address, Some(&log)).await;
    let in_force = || lines_with(&log, "configuration is in force");
    eventually(async || in_force().len() == 1).await;
    put_paced_configuration(&store, 2);
    eventually(async || in_force().len() == 2).await;
    eventually(async || {
        let Ok(mut connection) = ClientConnection::open(entry.callers, TIMEOUT).await else {
            return false;
        };
        let request = Request::builder()
            .uri("/unknown/1")
            .header("host", "a.example")
            .header("beryltray-request-id", "9c41")
            .body(RequestBody::default());
        let answer = connection.send(request.unwrap()).await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::NOT_FOUND)
    })
    .await;
    let refused = || lines_with(&log, "request is not allowed");
    eventually(async || !refused().is_empty()).await;

    let in_force = in_force();
    for line in &in_force {
        assert!(is_number_or_null(line, "confirmed_ms_ago"), "{line}");
        assert!(is_number_or_null(line, "replaced"), "{line}");
        assert!(line["version"].is_u64(), "{line}");
    }
    assert!(in_force[0]["replaced"].is_null(), "{}", in_force[0]);
    assert_eq!(in_force[1]["replaced"], 1, "{}", in_force[1]);
    assert!(in_force[1]["confirmed_ms_ago"].is_u64(), "{}", in_force[1]);
    let line = &refused()[0];
    assert_eq!(line["version"], 2, "{line}");
    assert!(line["confirmed_ms_ago"].is_u64(), "{line}");
    assert_eq!(line["source"], "platform", "{line}");
    drop(entry);
    std::fs::remove_file(&log).unwrap();
}

/// Guards against a line in the log for each row of another writer at each read.
#[tokio::test]
async fn log_lines_of_other_writers_rows_are_few_and_name_one() {
    const ROWS: usize = 600;
    const LINES_MAX: usize = ROWS / 20;
    let store = StoreStandIn::default();
    put_paced_configuration(&store, 1);
    for number in 0..ROWS {
        let name = format!("odd&{number:03}");
        store.put_bytes("servers", &name, b"\xff");
        store.put("beryltray", &format!("entry/{name}"), &json!({"entry": 7}));
        store.put("op", &format!("evacuate/{name}"), &json!({}));
    }
    let log = std::env::temp_dir().join(format!("log-lines-{}.log", new_attempt_id()));
    let entry = SoakEntry::start_with_log(0, start(store.clone()).await, Some(&log)).await;
    for (message, key_field, first) in [
        ("skipping invalid target record", "target_key", "odd&000"),
        ("using ", "key", "entry/odd&000"),
        (
            "evacuated data centre has no valid name",
            "key",
            "evacuate/odd&000",
        ),
        ("invalid entry row", "key", "entry/odd&000"),
    ] {
        eventually(async || !lines_with(&log, message).is_empty()).await;
        let lines = lines_with(&log, message);
        assert!(lines.len() <= LINES_MAX, "{message}: {}", lines.len());
        assert_eq!(lines[0][key_field], first, "{}", lines[0]);
        assert_eq!(lines[0]["count"], ROWS, "{}", lines[0]);
    }
    drop(entry);
    std::fs::remove_file(&log).unwrap();
}
