//! Sends one attempt of a request to an entry and records the answer as its caller sees it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::Clock;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::receive_limit::ReceivedBody;
use beryltray_lib::ids::IdempotencyKey;
use beryltray_lib::request::caller::CHAT_PATH;
use beryltray_lib::request::caller::DEADLINE_HEADER;
use beryltray_lib::request::caller::FIRST_TRY_HEADER;
use beryltray_lib::request::caller::IDEMPOTENCY_KEY_HEADER;
use beryltray_lib::request::caller::OUTCOME_HEADER;
use beryltray_lib::request::caller::PRIORITY_HEADER;
use beryltray_lib::request::caller::SERVICES_PATH_PREFIX;
use beryltray_lib::target::wire::END_MARKER;
use beryltray_stand_ins::invocation::CallerOutcome;
use futures_util::StreamExt as _;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;
use sse_stream::SseStream;

use super::arrivals::Arrival;
use super::balancer::Balancer;

/// The timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after the deadline of a request its answer is still awaited.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// The maximum length of an answer that is not streamed.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// The number of words in a prompt prefix.
const PREFIX_WORDS: usize = 48;

/// Settings that all requests of a load share.
#[derive(Clone, Debug)]
pub(crate) struct CallSettings {
    /// The entries; if connecting to one fails, the next one is tried.
    pub(crate) entries: Balancer,
    /// The deadline of each request, sent in its header.
    pub(crate) deadline: Duration,
    /// The length of a model's answer, in tokens.
    pub(crate) tokens: u64,
}

/// The answer to one attempt, as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    /// The outcome in the header of a buffered answer; otherwise how the exchange ended.
    pub(crate) outcome: CallerOutcome,
    /// The received part of the answer: the tokens' text, or a plain answer's body.
    pub(crate) answer: String,
    /// The arrival times of the tokens; empty for a plain answer.
    pub(crate) tokens_at: Vec<Instant>,
    /// The delay from the `Retry-After` header, if the answer has one.
    pub(crate) retry_after: Option<Duration>,
}

impl Observation {
    fn without_answer(outcome: CallerOutcome) -> Self {
        Self {
            outcome,
            answer: String::new(),
            tokens_at: Vec::new(),
            retry_after: None,
        }
    }
}

/// A request that can be sent several times.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The scheduled request.
    pub(crate) arrival: Arrival,
    /// A unique text in the body, by which the stand-ins' records identify the request; retries
    /// repeat it.
    pub(crate) marker: String,
    /// The idempotency key; `None` for work without one.
    pub(crate) key: Option<IdempotencyKey>,
    /// Whether the caller states that it has sent no earlier request with the key.
    pub(crate) is_first_try: bool,
}

impl Call {
    /// Sends the request once, starting with the entry of index `first_entry`.
    pub(crate) async fn send(&self, settings: &CallSettings, first_entry: usize) -> Observation {
        let Some((address, connection)) = connect(&settings.entries, first_entry).await else {
            return Observation::without_answer(CallerOutcome::NotSent);
        };
        let limit = settings.deadline + DEADLINE_GRACE;
        let exchange = self.exchange(settings, address, connection);
        let bounded = tokio::time::timeout(limit, exchange).await;
        bounded.unwrap_or_else(|_| Observation::without_answer(CallerOutcome::NoAnswer))
    }

    async fn exchange(
        &self,
        settings: &CallSettings,
        address: SocketAddr,
        mut connection: ClientConnection,
    ) -> Observation {
        let Ok(request) = self.request(settings, address) else {
            return Observation::without_answer(CallerOutcome::Invalid);
        };
        match connection.send(request).await {
            Err(_) => Observation::without_answer(CallerOutcome::NoAnswer),
            Ok(response) if is_event_stream(&response) => read_stream(response.into_body()).await,
            Ok(response) => read_buffered(response, settings.deadline).await,
        }
    }

    fn request(
        &self,
        settings: &CallSettings,
        address: SocketAddr,
    ) -> Result<Request<RequestBody>, http::Error> {
        let arrival = &self.arrival;
        let path = match &arrival.work.operation {
            None => CHAT_PATH.to_owned(),
            Some(operation) => {
                format!("{SERVICES_PATH_PREFIX}{}/{operation}", arrival.work.service)
            }
        };
        let bearer = format!("Bearer {}", arrival.account.credential);
        let deadline_ms = settings.deadline.as_millis().to_string();
        let mut request = Request::post(path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, bearer)
            .header(CONTENT_TYPE, "application/json")
            .header(DEADLINE_HEADER, deadline_ms)
            .header(PRIORITY_HEADER, arrival.priority.to_string());
        if let Some(key) = &self.key {
            request = request
                .header(IDEMPOTENCY_KEY_HEADER, key.as_str())
                .header(FIRST_TRY_HEADER, self.is_first_try.to_string());
        }
        request.body(RequestBody::new(self.body(settings).to_string().into()))
    }

    fn body(&self, settings: &CallSettings) -> Value {
        if self.arrival.work.operation.is_some() {
            return json!({"marker": self.marker});
        }
        let prefix = format!("prefix-{} ", self.arrival.prefix).repeat(PREFIX_WORDS);
        let message = json!({"role": "user", "content": format!("{prefix}{}", self.marker)});
        json!({
            "model": self.arrival.work.service,
            "stream": true,
            "max_tokens": settings.tokens,
            "messages": [message],
        })
    }
}

async fn connect(entries: &Balancer, first_entry: usize) -> Option<(SocketAddr, ClientConnection)> {
    for address in entries.candidates(first_entry) {
        if let Ok(connection) = ClientConnection::open(address, CONNECT_TIMEOUT).await {
            return Some((address, connection));
        }
    }
    None
}

fn is_event_stream(response: &Response<ReceivedBody>) -> bool {
    let media_type = header_text(response, CONTENT_TYPE.as_str());
    media_type.is_some_and(|text| text.starts_with("text/event-stream"))
}

fn header_text<'a>(response: &'a Response<ReceivedBody>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

async fn read_stream(body: ReceivedBody) -> Observation {
    let mut events = SseStream::new(body);
    let mut observation = Observation::without_answer(CallerOutcome::Broken);
    while let Some(Ok(event)) = events.next().await {
        let data = event.data.unwrap_or_default();
        if data == END_MARKER {
            observation.outcome = CallerOutcome::Complete;
            return observation;
        }
        if let Some(text) = token_text(&data) {
            observation.tokens_at.push(SystemClock.now());
            observation.answer.push_str(&text);
        }
    }
    observation
}

fn token_text(data: &str) -> Option<String> {
    let chunk = serde_json::from_str::<Value>(data).ok()?;
    let text = chunk.pointer("/choices/0/delta/content")?;
    text.as_str().map(str::to_owned)
}

async fn read_buffered(response: Response<ReceivedBody>, limit: Duration) -> Observation {
    let label = header_text(&response, OUTCOME_HEADER);
    let outcome = label.and_then(CallerOutcome::from_label);
    let retry_after = header_text(&response, RETRY_AFTER.as_str());
    let retry_after_s = retry_after.and_then(|text| text.parse().ok());
    match read_body(response.into_body(), ANSWER_LIMIT_BYTES, limit).await {
        Err(_) => Observation::without_answer(CallerOutcome::NoAnswer),
        Ok(bytes) => Observation {
            answer: String::from_utf8_lossy(&bytes).into_owned(),
            retry_after: retry_after_s.map(Duration::from_secs),
            ..Observation::without_answer(outcome.unwrap_or(CallerOutcome::Failed))
        },
    }
}
