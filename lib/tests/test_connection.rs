//! Tests of HTTP connections: a request is sent at most once, errors say whether it was sent, and
//! slow or dead peers are disconnected.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::body_memory::BodyMemory;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::client::SendError;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::connection::server::ServerSettings;
use beryltray_lib::connection::server::serve;
use beryltray_lib::connection::tcp_options::set_tcp_options;
use bytes::Bytes;
use futures_util::FutureExt as _;
use http::Request;
use http::Response;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

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

/// Guards against statuses that HTTP doesn't have and that pass for those of an answer: the client is that of targets,
/// of their reports, of the platform and of other entries.
#[tokio::test]
async fn send_answered_with_status_outside_http_fails() {
    for status in ["000", "099", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 5\r\n\r\nwhole");
        let server = tokio::spawn(async move {
            let (mut accepted, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            assert!(accepted.read(&mut buffer).await.unwrap() > 0);
            accepted.write_all(answer.as_bytes()).await.unwrap();
        });
        let mut connection = ClientConnection::open(address, CONNECT_TIMEOUT)
            .await
            .unwrap();
        let sent = connection.send(request()).await;
        assert!(
            matches!(sent, Err(SendError::MaybeSent { .. })),
            "status {status}: {sent:?}"
        );
        server.await.unwrap();
    }
}

#[tokio::test]
async fn open_refused_is_not_sent() {
    // The socket is bound but does not listen, which keeps the port from parallel tests.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let opened = ClientConnection::open(address, CONNECT_TIMEOUT).await;
    assert!(matches!(opened, Err(SendError::NotSent { .. })));
}

/// Answers every request with the same response.
#[derive(Clone, Copy, Debug)]
struct FixedAnswer;

impl HttpHandler for FixedAnswer {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        Response::new(full_body("good"))
    }
}

#[tokio::test]
async fn serve_slow_head_is_closed_while_others_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = ServerSettings {
        head_timeout: Duration::from_millis(150),
        ..ServerSettings::default()
    };
    tokio::spawn(serve(
        listener,
        FixedAnswer,
        settings,
        CancellationToken::new(),
    ));
    let mut slow = TcpStream::connect(address).await.unwrap();
    slow.write_all(b"GET / HTTP/1.1\r\nhost: a").await.unwrap();
    let mut connection = ClientConnection::open(address, CONNECT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(connection.send(request()).await.unwrap().status(), 200);
    let mut rest = Vec::new();
    let read = slow.read_to_end(&mut rest);
    // A connection reset is accepted as well.
    let _ = tokio::time::timeout(CONNECT_TIMEOUT, read).await.unwrap();
    assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 408"));
}

#[tokio::test]
async fn set_tcp_options_enables_keepalive_and_user_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    assert!(!SockRef::from(&stream).keepalive().unwrap());
    set_tcp_options(&stream).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(user_timeout <= Duration::from_secs(4));
}

// Guards against a body of tiny chunks that keeps a read buffer of the connection for each of them.
#[tokio::test]
async fn read_body_tiny_frames_release_their_buffers() {
    #[derive(Clone)]
    struct ReadBuffer(Arc<[u8; 4096]>);
    impl AsRef<[u8]> for ReadBuffer {
        fn as_ref(&self) -> &[u8] {
            &self.0[..]
        }
    }
    let buffer = ReadBuffer(Arc::new([b'a'; 4096]));
    let held_max = AtomicUsize::new(0);
    let frames = (0..1000).map(|_| {
        held_max.fetch_max(Arc::strong_count(&buffer.0), Ordering::Relaxed);
        Ok::<_, Infallible>(Frame::data(Bytes::from_owner(buffer.clone()).slice(..1)))
    });
    let body = StreamBody::new(tokio_stream::iter(frames));
    let read = read_body(body, 1000, CONNECT_TIMEOUT).await.unwrap();
    assert_eq!(read.len(), 1000);
    assert!(held_max.into_inner() <= 2);
}

// Guards against large bodies that wait for each other's memory, or whose memory is free too early.
#[tokio::test]
async fn body_memory_bodies_beyond_limit_take_turns() {
    let size = 1024 * 1024;
    let memory = BodyMemory::new(128 * 1024, size);
    let (mut first, mut second) = (memory.reservation(), memory.reservation());
    first.grow_to(128 * 1024).await;
    second.grow_to(128 * 1024).await;
    first.grow_to(size).await;
    let body = first.keep_with(Bytes::from(vec![0; size]));
    let mut waits = std::pin::pin!(second.grow_to(size));
    assert!(waits.as_mut().now_or_never().is_none());
    drop(body);
    assert!(waits.now_or_never().is_some());
}
