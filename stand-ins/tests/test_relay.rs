//! Tests of the relay in front of an echo server.

use std::net::SocketAddr;

use beryltray_stand_ins::relay;
use beryltray_stand_ins::relay::RelaySettings;
use beryltray_stand_ins::relay::RelayTruth;
use beryltray_stand_ins::relay::RunningRelay;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::common::eventually;
use crate::common::set_faults;
use crate::common::truth;

const LINE: &[u8] = b"line";

async fn start_relay() -> RunningRelay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RelaySettings {
        listen: any,
        control: any,
        target,
    };
    relay::start(settings).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(LINE).await?;
    let mut answer = [0; LINE.len()];
    stream.read_exact(&mut answer).await?;
    assert_eq!(answer, LINE);
    Ok(())
}

#[tokio::test]
async fn relay_silenced_connection_stalls_and_new_one_works() {
    let running = start_relay().await;
    let mut old = TcpStream::connect(running.relay.address()).await.unwrap();
    echo(&mut old).await.unwrap();
    set_faults(running.control_address, r#"{"silence_connections": true}"#).await;
    old.write_all(LINE).await.unwrap();
    let mut new = TcpStream::connect(running.relay.address()).await.unwrap();
    echo(&mut new).await.unwrap();
    let truth: RelayTruth = truth(running.control_address).await;
    assert_eq!(truth.to_target_bytes, 2 * LINE.len() as u64);
}

#[tokio::test]
async fn relay_held_to_client_reaches_target_only() {
    let running = start_relay().await;
    let mut stream = TcpStream::connect(running.relay.address()).await.unwrap();
    set_faults(running.control_address, r#"{"mode": "hold_to_client"}"#).await;
    stream.write_all(LINE).await.unwrap();
    eventually(async || {
        let truth: RelayTruth = truth(running.control_address).await;
        truth.to_target_bytes == LINE.len() as u64
    })
    .await;
    let held: RelayTruth = truth(running.control_address).await;
    assert_eq!(held.to_client_bytes, 0);
    set_faults(running.control_address, r#"{"mode": "pass"}"#).await;
    let mut answer = [0; LINE.len()];
    stream.read_exact(&mut answer).await.unwrap();
}

#[tokio::test]
async fn relay_cut_closes_old_and_new() {
    let running = start_relay().await;
    let mut old = TcpStream::connect(running.relay.address()).await.unwrap();
    echo(&mut old).await.unwrap();
    set_faults(running.control_address, r#"{"mode": "cut"}"#).await;
    assert!(echo(&mut old).await.is_err());
    let mut new = TcpStream::connect(running.relay.address()).await.unwrap();
    assert!(echo(&mut new).await.is_err());
    set_faults(running.control_address, r#"{"mode": "pass"}"#).await;
    let mut healed = TcpStream::connect(running.relay.address()).await.unwrap();
    echo(&mut healed).await.unwrap();
}
