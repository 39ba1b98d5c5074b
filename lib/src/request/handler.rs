//! The callers' interface: a request in, its one outcome out.

use std::sync::Arc;

use http::Request;
use http::Response;
use hyper::body::Incoming;

use super::answer::WholeAnswer;
use super::answer::broken_stream_event;
use super::answer::outcome_answer;
use super::answer::refusal_answer;
use super::answer::stream_answer;
use super::answer::whole_answer;
use super::attempt::read_plain;
use super::caller::AnswerShape;
use super::caller::CallerError;
use super::caller::CallerHead;
use super::chat::GatheredChat;
use super::chat::end_event;
use super::chat::note_event;
use super::chat::token_event;
use super::context::RequestContext;
use super::dispatch::Ending;
use super::dispatch::dispatch;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use super::token_stream::StreamPart;
use super::token_stream::TokenStream;
use crate::clock::Clock;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::read_body;
use crate::connection::body::streamed_body;
use crate::connection::server::HttpHandler;
use crate::ids::new_attempt_id;
use crate::process::entry::EntryState;
use crate::process::entry::Platform;
use crate::target::Targets;

/// When a caller of an entry that is not ready should come back.
const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Answers callers.
#[derive(Debug)]
pub struct CallerHandler<C, P, T> {
    state: Arc<EntryState<C, P, T>>,
}

impl<C, P, T> CallerHandler<C, P, T> {
    /// Creates a handler.
    pub fn new(state: Arc<EntryState<C, P, T>>) -> Self {
        Self { state }
    }
}

impl<C, P, T> Clone for CallerHandler<C, P, T> {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.state))
    }
}

impl<C, P, T> HttpHandler for CallerHandler<C, P, T>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.accept(request).await {
            Ok(context) => self.answer(context).await,
            Err(refusal) => refusal,
        }
    }
}

impl<C, P, T> CallerHandler<C, P, T>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    /// Reads and checks a request, or returns the answer that refuses it.
    async fn accept(
        &self,
        request: Request<Incoming>,
    ) -> Result<RequestContext, Response<ResponseBody>> {
        let refuse = |error: CallerError| {
            self.state.metrics.count_refusal(error.status());
            refusal_answer(&error)
        };
        let received_at = self.state.clock.now();
        let (parts, body) = request.into_parts();
        let head = CallerHead::parse(&parts).map_err(refuse)?;
        let Some(in_force) = self.state.in_force.get() else {
            let outcome = Outcome::NotRun {
                reason: NotRunReason::NotReady,
                retry_after: NOT_READY_RETRY_AFTER,
            };
            return Err(outcome_answer(&head.id, &outcome));
        };
        let bounds = self.state.settings.callers;
        let body = read_body(body, bounds.body_limit.0 as usize, bounds.body_timeout).await;
        let body = body.map_err(|source| refuse(CallerError::Body { source }))?;
        let request = head.with_body(body).map_err(refuse)?;
        RequestContext::new(request, in_force, received_at).map_err(refuse)
    }

    async fn answer(&self, context: RequestContext) -> Response<ResponseBody> {
        self.state.metrics.in_flight.inc();
        if context.request.shape == AnswerShape::Stream && context.is_idempotent {
            return self.answer_stream(context).await;
        }
        let ended = self.run_whole(&context).await;
        self.state.metrics.in_flight.dec();
        let outcome = ended
            .as_ref()
            .map_or_else(|end| end.outcome, |_| Outcome::Complete);
        self.note_outcome(&context, &outcome);
        let id = &context.request.id;
        match ended {
            Ok(answer) => whole_answer(id, &outcome, answer),
            Err(Ending {
                answer: Some(answer),
                ..
            }) => whole_answer(id, &outcome, answer),
            Err(Ending { answer: None, .. }) => outcome_answer(id, &outcome),
        }
    }

    /// Runs a request whose answer is passed on only when it is whole.
    async fn run_whole(&self, context: &RequestContext) -> Result<WholeAnswer, Ending> {
        let state = &self.state;
        let dispatched = dispatch(state, context, &new_attempt_id()).await?;
        if context.request.shape == AnswerShape::Plain {
            let target = dispatched.target.choice.target.clone();
            let remaining = context.remaining(state.clock.now());
            let read = tokio::time::timeout(remaining, read_plain(dispatched.answer)).await;
            let service = &context.request.service;
            let now = state.clock.now();
            state.shards.on_finished(service, &target, None, now);
            return match read {
                Ok(read) => read.map_err(Ending::from_failure),
                Err(_) => Err(unknown(UnknownReason::DeadlinePassed)),
            };
        }
        let mut stream = TokenStream::new(dispatched);
        let mut gathered = GatheredChat::default();
        loop {
            match stream.next(state, context).await {
                Ok(StreamPart::Token { index, data }) => gathered.push_token(index, data),
                Ok(StreamPart::Note { data }) => gathered.push_note(data),
                Ok(StreamPart::End) => break,
                Err(reason) => {
                    stream.finish(state, context, false).await;
                    return Err(unknown(reason));
                }
            }
        }
        stream.finish(state, context, true).await;
        if context.request.shape == AnswerShape::Stream {
            return Ok(gathered.into_events());
        }
        let completion = gathered.into_completion(&context.request.id, &context.request.service);
        completion.map_err(|_| unknown(UnknownReason::NotWhole))
    }

    /// Runs a request whose answer is passed on token by token.
    async fn answer_stream(&self, context: RequestContext) -> Response<ResponseBody> {
        let dispatched = dispatch(&self.state, &context, &new_attempt_id()).await;
        let dispatched = match dispatched {
            Ok(dispatched) => dispatched,
            Err(ending) => return self.end_stream_early(&context, ending),
        };
        let mut stream = TokenStream::new(dispatched);
        let first = match stream.next(&self.state, &context).await {
            Ok(first) => first,
            Err(reason) => {
                stream.finish(&self.state, &context, false).await;
                return self.end_stream_early(&context, unknown(reason));
            }
        };
        let id = context.request.id.clone();
        let (sender, body) = streamed_body();
        let handler = self.clone();
        tokio::spawn(async move {
            handler.forward(context, stream, first, sender).await;
        });
        stream_answer(&id, body)
    }

    fn end_stream_early(&self, context: &RequestContext, ending: Ending) -> Response<ResponseBody> {
        self.state.metrics.in_flight.dec();
        self.note_outcome(context, &ending.outcome);
        let id = &context.request.id;
        match ending.answer {
            Some(answer) => whole_answer(id, &ending.outcome, answer),
            None => outcome_answer(id, &ending.outcome),
        }
    }

    /// Passes tokens on until the answer's end, its break, or the caller's going.
    async fn forward(
        &self,
        context: RequestContext,
        mut stream: TokenStream<T::Answer>,
        first: StreamPart,
        sender: BodySender,
    ) {
        let mut part = Ok(first);
        let ended = loop {
            match part {
                Ok(StreamPart::Token { index, data }) => {
                    if sender.send(token_event(index, &data)).await.is_err() {
                        break Err(None);
                    }
                }
                Ok(StreamPart::Note { data }) => {
                    if sender.send(note_event(&data)).await.is_err() {
                        break Err(None);
                    }
                }
                Ok(StreamPart::End) => break Ok(()),
                Err(reason) => break Err(Some(reason)),
            }
            part = tokio::select! {
                part = stream.next(&self.state, &context) => part,
                () = sender.closed() => break Err(None),
            };
        };
        stream.finish(&self.state, &context, ended.is_ok()).await;
        self.state.metrics.in_flight.dec();
        match ended {
            Ok(()) => {
                if sender.send(end_event()).await.is_ok() {
                    sender.finish();
                }
                self.note_outcome(&context, &Outcome::Complete);
            }
            Err(None) => log::debug!(request:% = context.request.id; "the caller went away"),
            Err(Some(reason)) => {
                let outcome = Outcome::Unknown { reason };
                // A reader that is gone needs no word of the break.
                let _ = sender.send(broken_stream_event(&outcome)).await;
                self.note_outcome(&context, &outcome);
            }
        }
    }

    fn note_outcome(&self, context: &RequestContext, outcome: &Outcome) {
        let request = &context.request;
        self.state.metrics.count_outcome(&request.service, outcome);
        log::debug!(
            request:% = request.id, service:% = request.service, outcome:% = outcome;
            "request ended"
        );
    }
}

fn unknown(reason: UnknownReason) -> Ending {
    Outcome::Unknown { reason }.into()
}
