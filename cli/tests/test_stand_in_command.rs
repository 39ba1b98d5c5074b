//! Tests of `beryltray stand-in` as a separate process.

use std::process::Stdio;

use tokio::io::AsyncBufReadExt as _;
use tokio::io::BufReader;
use tokio::process::Command;

#[tokio::test]
async fn stand_in_plain_prints_address_and_stops_on_die_fault() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .args(["stand-in", "plain", "--host", "desk-1"])
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let address = line.strip_prefix("listening on ").unwrap();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let body = r#"{"die": true}"#;
    let length = body.len();
    let request = format!(
        "POST /control/faults HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
        .await
        .unwrap();
    let status = child.wait().await.unwrap();
    assert!(status.success());
}

#[tokio::test]
async fn stand_in_platform_malformed_host_is_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .args(["stand-in", "platform", "--host", "a1,writers"])
        .output();
    let output = output.await.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("NAME,SERVICE,ADDRESS,DATA_CENTRE,DOMAIN"));
}
