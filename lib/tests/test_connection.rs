//! Tests of the client connection: one send, and an honest word on whether it left.

use std::time::Duration;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::client::SendError;
use http::Request;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

fn request() -> Request<RequestBody> {
    Request::post("/work")
        .body(RequestBody::new("body".into()))
        .unwrap()
}

#[tokio::test]
async fn send_closed_after_read_is_sent_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        let read = first.read(&mut buffer).await.unwrap();
        drop(first);
        let second = tokio::time::timeout(Duration::from_millis(200), listener.accept()).await;
        (read, second.is_ok())
    });
    let mut connection = ClientConnection::open(address, CONNECT_TIMEOUT)
        .await
        .unwrap();
    let sent = connection.send(request()).await;
    assert!(matches!(sent, Err(SendError::MaybeSent { .. })));
    let (read_bytes, is_sent_again) = server.await.unwrap();
    assert!(read_bytes > 0);
    assert!(!is_sent_again);
}

#[tokio::test]
async fn open_refused_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let opened = ClientConnection::open(address, CONNECT_TIMEOUT).await;
    assert!(matches!(opened, Err(SendError::NotSent { .. })));
}
