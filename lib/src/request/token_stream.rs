//! A model's answer, read token by token from one target.

use std::time::Instant;

use super::attempt::StreamStep;
use super::attempt::next_step;
use super::context::RequestContext;
use super::dispatch::Dispatched;
use super::outcome::UnknownReason;
use super::route::FinishedAnswer;
use crate::clock::Clock;
use crate::process::entry::EntryState;
use crate::process::entry::Platform;
use crate::target::TargetAnswer;
use crate::target::Targets;
use crate::units::TokenCount;

/// A model's answer as it comes from a target.
#[derive(Debug)]
pub struct TokenStream<A> {
    dispatched: Dispatched<A>,
    next_index: u64,
    first_token_at: Option<Instant>,
}

/// The next part of a model's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamPart {
    /// A token.
    Token {
        /// The token's position in the answer.
        index: u64,
        /// The chunk that holds it.
        data: String,
    },
    /// A chunk without a token.
    Note {
        /// The chunk.
        data: String,
    },
    /// The end of the whole answer.
    End,
}

impl<A> TokenStream<A>
where
    A: TargetAnswer,
{
    /// Starts to read an answer.
    pub fn new(dispatched: Dispatched<A>) -> Self {
        Self {
            dispatched,
            next_index: 0,
            first_token_at: None,
        }
    }

    /// Returns the next part, or why there is none.
    pub async fn next<C, P, T>(
        &mut self,
        state: &EntryState<C, P, T>,
        context: &RequestContext,
    ) -> Result<StreamPart, UnknownReason>
    where
        C: Clock,
        P: Platform,
        T: Targets<Answer = A>,
    {
        let silence = context.silence_bound(state.clock.now());
        let step = next_step(&mut self.dispatched.answer, self.next_index, silence).await;
        match step {
            StreamStep::Token { data } => Ok(self.on_token(state, context, data)),
            StreamStep::Note { data } => Ok(StreamPart::Note { data }),
            StreamStep::End => Ok(StreamPart::End),
            StreamStep::Silent if context.remaining(state.clock.now()).is_zero() => {
                Err(UnknownReason::DeadlinePassed)
            }
            StreamStep::Silent => Err(UnknownReason::ConnectionLost),
            StreamStep::Broken { source } => {
                log::debug!(request:% = context.request.id; "stream broke: {source}");
                Err(UnknownReason::NotWhole)
            }
        }
    }

    fn on_token<C, P, T>(
        &mut self,
        state: &EntryState<C, P, T>,
        context: &RequestContext,
        data: String,
    ) -> StreamPart
    where
        C: Clock,
        P: Platform,
        T: Targets,
    {
        if self.first_token_at.is_none() {
            let now = state.clock.now();
            self.first_token_at = Some(now);
            let wait = now.saturating_duration_since(context.received_at);
            let service = &context.request.service;
            state.metrics.observe_first_token(service, wait);
        }
        let index = self.next_index;
        self.next_index += 1;
        StreamPart::Token { index, data }
    }

    /// Tells the router and the target how the answer ended.
    pub async fn finish<C, P, T>(
        self,
        state: &EntryState<C, P, T>,
        context: &RequestContext,
        is_whole: bool,
    ) where
        C: Clock,
        P: Platform,
        T: Targets<Answer = A>,
    {
        let now = state.clock.now();
        let service = &context.request.service;
        let target = &self.dispatched.target;
        let generation_time = self
            .first_token_at
            .map(|first| now.saturating_duration_since(first));
        let finished = generation_time.map(|generation_time| FinishedAnswer {
            tokens: TokenCount(self.next_index),
            generation_time,
        });
        let finished = finished.filter(|_| is_whole);
        state
            .shards
            .on_finished(service, &target.choice.target, finished, now);
        if is_whole {
            state.metrics.count_attempt(service, "complete");
            self.dispatched.answer.keep_connection().await;
            return;
        }
        state.metrics.count_attempt(service, "broken");
        let (address, attempt) = (target.address, self.dispatched.attempt.clone());
        drop(self.dispatched);
        if let Err(error) = state.targets.cancel(address, attempt).await {
            log::debug!(request:% = context.request.id; "not cancelled: {error}");
        }
    }
}
