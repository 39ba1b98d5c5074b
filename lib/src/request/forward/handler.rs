//! Handles a forwarded request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONNECTION;
use http::uri::PathAndQuery;
use hyper::body::Body as _;
use hyper::body::Incoming;

use super::buffered::forward_buffered;
use super::context::BodyRefusal;
use super::context::ForwardContext;
use super::context::TargetRequirements;
use super::hop::Hop;
use super::hop::add_handled_by;
use super::hop::take_hop;
use super::plan::SendPlan;
use super::protocol::CallerProtocol as _;
use super::protocol::CallerRequest;
use super::protocol::Failure;
use super::send::ForwardedRequest;
use super::send::log_request;
use super::sends::RequestSends;
use super::stream::forward_stream;
use crate::connection::body::ResponseBody;
use crate::connection::body_budget::BodyShare;
use crate::connection::request_body::RequestBodyError;
use crate::connection::request_body::RequestBodyLimits;
use crate::connection::request_body::discard_body;
use crate::connection::request_body::read_request_body;
use crate::connection::server::HttpHandler;
use crate::hash::content_digest;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::RequestFeature;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::UnknownReason;
use crate::version::routes::AccessDenial;
use crate::version::routes::AuthorizedRequest;
use crate::version::routes::RouteDocument;

/// The retry delay for callers whose request was not run, for example because there is no
/// configuration or no target. Groups form again in about this time.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// The divisor of the caller's timeout that gives the timeout for reading the request's body.
const BODY_TIME_DIVISOR: u32 = 2;
/// The bytes that are read and dropped of a refused body before the connection is closed. Bodies within
/// the usual limit are smaller, so that their senders get the answer and can keep the connection.
const DISCARD_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// The timeout of requests that do not set one.
const CALLER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// Where a request came from, and when.
struct Arrival {
    /// The hop, if another entry has passed the request on.
    hop: Option<Hop>,
    started_at: Instant,
}

/// Answers callers' requests by forwarding them to targets.
#[derive(Clone, Debug)]
pub struct ForwardHandler<X> {
    context: X,
}

impl<X> ForwardHandler<X>
where
    X: ForwardContext,
{
    /// Creates a handler that uses the clock, the configuration and the targets of `context`.
    pub fn new(context: X) -> Self {
        Self { context }
    }

    /// Answers a request, and tells in `handled_by` by which version of the configuration.
    async fn answer(
        &self,
        request: Request<Incoming>,
        started_at: Instant,
        handled_by: &mut Option<DocumentVersion>,
    ) -> (CallerRequest, Result<Response<ResponseBody>, Failure>) {
        let (mut head, body) = request.into_parts();
        let hop = self
            .context
            .is_behind_hop()
            .then(|| take_hop(&mut head.headers));
        let caller_request = match self.context.protocol().read_request(&head) {
            Ok(caller_request) => caller_request,
            Err(error) => {
                log::info!(path = head.uri.path(); "request can't be read: {error}");
                return (CallerRequest::default(), Err(Failure::Malformed));
            }
        };
        let read = self
            .read_body(&head, body, &caller_request, hop.as_ref(), handled_by)
            .await;
        let arrival = Arrival { hop, started_at };
        let prepared =
            read.and_then(|body| self.prepare(head, body, &caller_request, arrival, handled_by));
        let answer = match prepared {
            Ok(sends) => forward(sends).await,
            Err(failure) => Err(failure),
        };
        (caller_request, answer)
    }

    /// Refuses a request that need not be read for that; otherwise reads its body.
    ///
    /// What is left of the body of a refused request is discarded in the background, within limits.
    async fn read_body(
        &self,
        head: &http::request::Parts,
        mut body: Incoming,
        caller_request: &CallerRequest,
        hop: Option<&Hop>,
        handled_by: &mut Option<DocumentVersion>,
    ) -> Result<Bytes, Failure> {
        let admitted = self.admit(head, &body, caller_request, hop, handled_by);
        let (share, limits) = match admitted {
            Ok(admitted) => admitted,
            Err(failure) => {
                tokio::spawn(discard_body(body, DISCARD_LIMIT_BYTES));
                return Err(failure);
            }
        };
        let read = read_request_body(&mut body, share, limits).await;
        read.map_err(|error| {
            let (refusal, failure) = match &error {
                RequestBodyError::TooLong { .. } => (BodyRefusal::TooLong, Failure::TooLong),
                RequestBodyError::TooSlow { .. } => (BodyRefusal::Slow, Failure::BodyTooSlow),
                RequestBodyError::Exhausted(_) => {
                    (BodyRefusal::Budget, not_run(NotRunReason::Overloaded))
                }
                RequestBodyError::Broken { .. } => {
                    (BodyRefusal::Broken, not_run(NotRunReason::Overloaded))
                }
            };
            self.refuse_body(caller_request, refusal, &error);
            // A client that has stopped sends nothing that would have to be discarded.
            if failure != Failure::BodyTooSlow {
                tokio::spawn(discard_body(body, DISCARD_LIMIT_BYTES));
            }
            failure
        })
    }

    /// Decides by the head whether the body is read, and takes what is known of it from the budget.
    fn admit(
        &self,
        head: &http::request::Parts,
        body: &Incoming,
        caller_request: &CallerRequest,
        hop: Option<&Hop>,
        handled_by: &mut Option<DocumentVersion>,
    ) -> Result<(BodyShare, RequestBodyLimits), Failure> {
        // The document is not kept while the body is read. A request may wait for seconds, and as many
        // versions would be in memory as come in that time.
        let is_current = self.context.is_document_current();
        let document = self.document()?;
        *handled_by = Some(document.version);
        // The other entry may have shown its callers the effect of its version.
        if let Some(hop) = hop.filter(|hop| hop.version > document.version) {
            log::info!(
                request = caller_request.request_id.as_str(), from = hop.entry.as_str(),
                their_version = hop.version.0, version = document.version.0;
                "request of another entry is refused: its configuration is newer"
            );
            return Err(not_run(NotRunReason::NotReady));
        }
        let limit_bytes = document.limits.body_limit_bytes;
        if body.size_hint().lower() > limit_bytes as u64 {
            let error = RequestBodyError::TooLong { limit_bytes };
            self.refuse_body(caller_request, BodyRefusal::TooLong, &error);
            return Err(Failure::TooLong);
        }
        let timeout = caller_request.timeout.unwrap_or(CALLER_TIMEOUT_DEFAULT);
        let mut time = timeout / BODY_TIME_DIVISOR;
        // A request without a body is matched once, when it is prepared.
        if !body.is_end_stream() {
            let route = self
                .authorize(&document, is_current, head, caller_request)?
                .route;
            time = time.min(route.timeout);
            let service = route.pick_service(&caller_request.request_id);
            let service = service.ok_or(not_run(NotRunReason::NoTarget))?;
            let parts = caller_request.prompt_parts.iter().copied();
            let features: Vec<RequestFeature> = parts.map(RequestFeature::from).collect();
            if let Some(quarantine) = self.context.refusing_quarantine(service, &features) {
                return Err(Failure::NotRun {
                    reason: NotRunReason::PromptQuarantined,
                    retry_after: quarantine.time_left,
                });
            }
        }
        let limits = RequestBodyLimits { limit_bytes, time };
        let share = self.context.body_budget().admit(head_bytes(head));
        match share {
            Ok(share) => Ok((share, limits)),
            Err(exhausted) => {
                self.refuse_body(caller_request, BodyRefusal::Budget, &exhausted);
                Err(not_run(NotRunReason::Overloaded))
            }
        }
    }

    /// Counts and logs a request that is refused before or while its body is read.
    fn refuse_body<E>(&self, caller_request: &CallerRequest, refusal: BodyRefusal, error: &E)
    where
        E: std::error::Error,
    {
        let request_id = caller_request.request_id.as_str();
        if self.context.on_body_refusal(refusal, request_id) {
            log::info!(
                request = request_id, reason:% = refusal,
                held_bytes = self.context.body_budget().held_bytes() as u64;
                "body of a request is not read: {error}"
            );
        }
    }

    /// Returns the configuration in force.
    fn document(&self) -> Result<Arc<RouteDocument>, Failure> {
        let document = self.context.document();
        document.ok_or(not_run(NotRunReason::NotReady))
    }

    /// Matches a request to a route and an account of `document`.
    fn authorize<'a>(
        &self,
        document: &'a RouteDocument,
        is_current: bool,
        head: &http::request::Parts,
        caller_request: &CallerRequest,
    ) -> Result<AuthorizedRequest<'a>, Failure> {
        let authorized = document.authorize(
            &caller_request.host,
            head.uri.path(),
            caller_request.api_key.as_deref(),
        );
        authorized.map_err(|denial| {
            let age = self.context.document_age();
            let source = self.context.document_source();
            let source = source.map(|source| source.to_string());
            let revision = self.context.document_revision();
            log::info!(
                request = caller_request.request_id.as_str(), host = caller_request.host.as_str(),
                path = head.uri.path(), version = document.version.0,
                confirmed_ms_ago = age.map(|age| age.as_millis() as u64),
                revision = revision.map(|revision| revision.0), source = source.as_deref();
                "request is not allowed: {denial}"
            );
            if !is_current {
                return not_run(NotRunReason::NotReady);
            }
            match denial {
                AccessDenial::UnreadableRoute | AccessDenial::UnreadableAccount => {
                    not_run(NotRunReason::NotReady)
                }
                AccessDenial::NoRoute => Failure::NoRoute,
                AccessDenial::UnknownKey => Failure::UnknownKey,
            }
        })
    }

    /// Matches a request to the configuration in force and keeps a copy of what applies to it.
    fn prepare(
        &self,
        head: http::request::Parts,
        body: Bytes,
        caller_request: &CallerRequest,
        Arrival { hop, started_at }: Arrival,
        handled_by: &mut Option<DocumentVersion>,
    ) -> Result<RequestSends<X>, Failure> {
        // Asked before the document is taken, which may be replaced by the latest one meanwhile.
        let is_current = self.context.is_document_current();
        let document = self.document()?;
        *handled_by = Some(document.version);
        let authorized = self.authorize(&document, is_current, &head, caller_request)?;
        let route = authorized.route.clone();
        let service = route.pick_service(&caller_request.request_id).cloned();
        let service = service.ok_or(not_run(NotRunReason::NoTarget))?;
        let timeout = caller_request
            .timeout
            .unwrap_or(CALLER_TIMEOUT_DEFAULT)
            .min(route.timeout);
        let deadline = started_at + timeout;
        let is_logged = self
            .context
            .on_request(&service, &caller_request.request_id);
        let account = authorized.account.map(|account| account.account.clone());
        let priority = authorized.account.and_then(|account| account.priority);
        let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        let content = content_digest(&[
            account.as_ref().map_or("", AccountId::as_str).as_bytes(),
            head.method.as_str().as_bytes(),
            caller_request.host.as_bytes(),
            path.as_bytes(),
            &body,
        ]);
        let parts = caller_request.prompt_parts.iter().copied();
        let parts = parts.map(RequestFeature::from);
        let features = parts.chain([RequestFeature::from(content)]);
        let requirements = TargetRequirements {
            service: service.clone(),
            version: document.version,
            weights: caller_request.weights.clone(),
            prompt_tokens: caller_request.prompt_tokens,
            excluded: Vec::new(),
            latency_target: route.latency_target,
            time_left: timeout,
            is_new: caller_request.last_event.is_none(),
            priority: priority.unwrap_or(route.priority),
            account: account.clone(),
            route_timeout: route.timeout,
            caller_timeout: timeout,
            features: features.collect(),
        };
        let priority = authorized.account.and_then(|account| account.priority);
        let priority = priority.unwrap_or(route.priority);
        self.context.on_work(&requirements, priority);
        let sends_max = if self.context.is_behind_hop() {
            1
        } else {
            route.attempts_max
        };
        let plan = SendPlan::new(route.kind, sends_max, deadline, RETRY_AFTER);
        let request = ForwardedRequest {
            context: self.context.clone(),
            head,
            body,
            caller_request: caller_request.clone(),
            account,
            route,
            service,
            deadline,
            started_at,
            is_logged,
        };
        if let Some(hop) = hop {
            log_request!(
                request, from = hop.entry.as_str(), their_version = hop.version.0,
                version = document.version.0, time_left_ms = timeout.as_millis() as u64;
                "request is passed on by another entry"
            );
        }
        Ok(RequestSends::new(request, plan, requirements))
    }
}

async fn forward<X>(sends: RequestSends<X>) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let request = Arc::clone(&sends.request);
    let context = &request.context;
    let is_stream = request.route.kind.is_stream();
    let left = request.time_left();
    let answered = if is_stream {
        tokio::time::timeout(left, forward_stream(sends)).await
    } else {
        tokio::time::timeout(left, forward_buffered(sends)).await
    };
    // A target may be running the request at this point, so its result is unknown.
    let answered = answered.unwrap_or(Err(Failure::Unknown(UnknownReason::DeadlinePassed)));
    let waited = context.now().saturating_duration_since(request.started_at);
    let outcome = match &answered {
        Ok(_) if is_stream => return answered,
        Ok(_) => "answered",
        Err(Failure::NotRun { .. }) => "not run",
        Err(_) => "failed",
    };
    context.on_outcome(&request.service, outcome, waited);
    let status = answered
        .as_ref()
        .map_or(0, |response| response.status().as_u16());
    let failure = answered
        .as_ref()
        .err()
        .map(ToString::to_string)
        .unwrap_or_default();
    log_request!(
        request, route = request.route.name.as_str(), status = status,
        failure = failure.as_str(), elapsed_ms = waited.as_millis() as u64, outcome = outcome;
        "request ended"
    );
    answered
}

/// Returns about how many bytes of memory the head of a request takes.
fn head_bytes(head: &http::request::Parts) -> usize {
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len());
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    path + fields.sum::<usize>()
}

fn not_run(reason: NotRunReason) -> Failure {
    Failure::NotRun {
        reason,
        retry_after: RETRY_AFTER,
    }
}

impl<X> HttpHandler for ForwardHandler<X>
where
    X: ForwardContext,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let started_at = self.context.now();
        let protocol = self.context.protocol();
        // In HTTP/2 the rest of a body is cancelled by its stream.
        let is_http1 = request.version() < Version::HTTP_2;
        let request_id = protocol.request_id(request.headers()).unwrap_or_default();
        let mut handled_by = None;
        let (caller_request, answer) = tokio::select! {
            answered = self.answer(request, started_at, &mut handled_by) => answered,
            () = self.context.stop_limit_reached() => {
                log::warn!(request = request_id.as_str(); "request is not answered before the shutdown");
                let request = CallerRequest { request_id, ..CallerRequest::default() };
                (request, Err(Failure::Unknown(UnknownReason::ShutDown)))
            }
        };
        let closes_connection = answer
            .as_ref()
            .is_err_and(|failure| failure.closes_connection());
        // A request that was not run shows nothing of the configuration.
        let is_not_run = answer.as_ref().is_err_and(Failure::is_not_run);
        let mut response = match answer {
            Ok(response) => response,
            Err(failure) => {
                let mut response = protocol.failure_answer(&caller_request.request_id, failure);
                if self.context.is_behind_hop() && is_not_run {
                    protocol.attest_not_run(response.headers_mut());
                }
                response
            }
        };
        if self.context.is_draining() || (is_http1 && closes_connection) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        if self.context.is_behind_hop() {
            let shown = handled_by.filter(|_| !is_not_run);
            add_handled_by(response.headers_mut(), shown);
        }
        response
    }
}
