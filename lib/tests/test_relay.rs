//! Tests of relays between entries: a request is submitted once and never relayed again, and its
//! answer is complete or visibly broken.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beryltray_lib::connection::relay::AnswerPart;
use beryltray_lib::connection::relay::OutboundRequest;
use beryltray_lib::connection::relay::RelayHandler;
use beryltray_lib::connection::relay::RelayedRequest;
use beryltray_lib::connection::relay::client::RelayConnection;
use beryltray_lib::connection::relay::client::RelayError;
use beryltray_lib::connection::relay::client::RelaySettings;
use beryltray_lib::connection::relay::generated::RelayRequest;
use beryltray_lib::connection::relay::generated::relay_client::RelayClient;
use beryltray_lib::connection::relay::server::serve_relays;
use beryltray_lib::version::document::Priority;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// A relay handler that answers with fixed parts and counts the requests.
#[derive(Clone, Default)]
struct FixedAnswer {
    parts: Vec<AnswerPart>,
    requests: Arc<AtomicUsize>,
}

impl RelayHandler for FixedAnswer {
    async fn relay(&self, _: RelayedRequest, parts: mpsc::Sender<AnswerPart>) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        for part in &self.parts {
            parts.send(part.clone()).await.unwrap();
        }
    }
}

fn request() -> OutboundRequest {
    OutboundRequest {
        request: "request-1".parse().unwrap(),
        account: "harbour".parse().unwrap(),
        service: "beryl-writers".parse().unwrap(),
        operation: "chat".parse().unwrap(),
        priority: Priority::Emergency,
        time_left: Duration::from_secs(5),
        idempotency_key: None,
        content_type: "application/json".to_owned(),
        body: "{}".into(),
    }
}

fn head() -> AnswerPart {
    AnswerPart::Head {
        status: 200,
        content_type: "text/event-stream".to_owned(),
    }
}

async fn start(handler: FixedAnswer, stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = RelaySettings::default();
    tokio::spawn(serve_relays(listener, handler, settings, stop));
    address
}

async fn relay(handler: FixedAnswer) -> Result<Vec<AnswerPart>, RelayError> {
    let stop = CancellationToken::new();
    let address = start(handler, stop.clone()).await;
    let mut connection = RelayConnection::open(address, RelaySettings::default()).await?;
    let mut answer = connection.submit(request()).await?;
    let mut parts = Vec::new();
    while let Some(part) = answer.next().await? {
        parts.push(part);
    }
    stop.cancel();
    Ok(parts)
}

#[tokio::test]
async fn relay_complete_answer_arrives_in_order() {
    let data = |text: &'static str| AnswerPart::Data(text.into());
    let parts = vec![head(), data("one"), data("two"), AnswerPart::End];
    let handler = FixedAnswer {
        parts: parts.clone(),
        ..FixedAnswer::default()
    };
    assert_eq!(relay(handler).await, Ok(parts));
}

#[tokio::test]
async fn relay_refusal_carries_retry_after() {
    let parts = vec![AnswerPart::NotRun {
        reason: "over the account's limit".to_owned(),
        retry_after: Duration::from_secs(2),
    }];
    let handler = FixedAnswer {
        parts: parts.clone(),
        ..FixedAnswer::default()
    };
    assert_eq!(relay(handler).await, Ok(parts));
}

#[tokio::test]
async fn relay_without_end_marker_is_broken_off_and_not_repeated() {
    let handler = FixedAnswer {
        parts: vec![head(), AnswerPart::Data("one".into())],
        ..FixedAnswer::default()
    };
    let relayed = relay(handler.clone()).await;
    assert!(matches!(relayed, Err(RelayError::BrokenOff { .. })));
    assert_eq!(handler.requests.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn relay_connection_closed_after_read_is_not_repeated() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            let mut buffer = [0; 1024];
            // The first read gets the HTTP/2 preface and settings, the second the request.
            for _ in 0..2 {
                tokio::io::AsyncReadExt::read(&mut stream, &mut buffer)
                    .await
                    .unwrap();
            }
        }
    });
    let mut connection = RelayConnection::open(address, RelaySettings::default())
        .await
        .unwrap();
    let relayed = connection.submit(request()).await;
    assert!(matches!(relayed, Err(RelayError::BrokenOff { .. })));
    assert_eq!(accepted.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn relay_refused_connection_is_not_sent() {
    // The port is bound without a listener: connections are refused, and no parallel test can get
    // the same port.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let opened = RelayConnection::open(address, RelaySettings::default()).await;
    assert!(matches!(opened, Err(RelayError::NotSent { .. })));
}

#[tokio::test]
async fn relay_of_relayed_request_is_refused() {
    let stop = CancellationToken::new();
    let handler = FixedAnswer::default();
    let address = start(handler.clone(), stop.clone()).await;
    let mut client = RelayClient::connect(format!("http://{address}"))
        .await
        .unwrap();
    let message = RelayRequest {
        relay_count: 2,
        ..RelayRequest::default()
    };
    let status = client.submit(message).await.unwrap_err();
    assert_eq!(status.code(), tonic::Code::InvalidArgument);
    assert_eq!(handler.requests.load(Ordering::Relaxed), 0);
    stop.cancel();
}
