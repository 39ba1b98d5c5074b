//! The generation of one answer, token by token.

use std::time::Duration;

use beryltray_lib::connection::body::BodySender;
use beryltray_lib::ids::AttemptId;
use beryltray_lib::target::wire;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde_json::json;

use super::faults::AnswerFault;
use super::place::Place;
use super::service::Body;
use super::service::EngineService;
use super::service::PAUSE_POLL;
use crate::answer::full_answer_text;
use crate::answer::token_text;
use crate::json::broken_response;
use crate::json::json_response;
use crate::server::lock;
use crate::truth::WorkEnd;
use crate::truth::now_unix_us;

/// One answer that is being generated.
pub(super) struct AnswerTask {
    pub(super) service: EngineService,
    pub(super) connection: u64,
    pub(super) work: usize,
    pub(super) marker: String,
    pub(super) model: String,
    pub(super) attempt: Option<AttemptId>,
    pub(super) next_token: u64,
    pub(super) answer_tokens: u64,
    pub(super) prefill_time: Duration,
}

/// What stops an answer before its last token.
enum Interruption {
    /// The body ends as if it were whole, but without its end marker.
    EndEarly,
    /// The body breaks off.
    BreakOff(WorkEnd),
}

impl AnswerTask {
    /// Sends the answer as server-sent events.
    pub(super) async fn stream(mut self, sender: BodySender, mut place: Place) {
        if !self.wait_for_place(&mut place, Some(&sender)).await {
            return self.record_end(WorkEnd::BrokenOff);
        }
        while self.next_token < self.answer_tokens {
            if let Err(interruption) = self.send_token(&sender).await {
                return self.interrupt(sender, interruption);
            }
        }
        let event = format!("data: {}\n\n", wire::END_MARKER);
        if sender.send(Bytes::from(event)).await.is_err() {
            return self.record_end(WorkEnd::BrokenOff);
        }
        self.record_end(WorkEnd::Whole);
        sender.finish();
    }

    /// Returns the answer in one JSON body.
    pub(super) async fn whole(mut self, mut place: Place) -> Response<Body> {
        self.wait_for_place(&mut place, None).await;
        while self.next_token < self.answer_tokens {
            if let Err(interruption) = self.make_token().await {
                let end = match interruption {
                    Interruption::EndEarly => WorkEnd::BrokenOff,
                    Interruption::BreakOff(end) => end,
                };
                self.record_end(end);
                return broken_response();
            }
        }
        self.record_end(WorkEnd::Whole);
        let text = full_answer_text(&self.marker, self.answer_tokens);
        let message = json!({"role": "assistant", "content": text});
        let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
        let answer = json!({
            "id": self.attempt,
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        json_response(StatusCode::OK, &answer)
    }

    async fn wait_for_place(&self, place: &mut Place, sender: Option<&BodySender>) -> bool {
        let entered = async {
            place.run().await;
            tokio::time::sleep(self.prefill_time).await;
        };
        match sender {
            None => entered.await,
            Some(sender) => tokio::select! {
                () = entered => (),
                () = sender.closed() => return false,
            },
        }
        true
    }

    async fn send_token(&mut self, sender: &BodySender) -> Result<(), Interruption> {
        let gone = Interruption::BreakOff(WorkEnd::BrokenOff);
        tokio::select! {
            made = self.make_token() => made?,
            () = sender.closed() => return Err(gone),
        }
        let sent = sender.send(Bytes::from(self.events())).await;
        sent.map_err(|_| gone)
    }

    /// Takes the time of a token, and waits while the replica can't generate.
    async fn make_token(&mut self) -> Result<(), Interruption> {
        tokio::time::sleep(self.service.token_time()).await;
        self.service.answering(self.connection).await;
        while self.is_stalled() {
            tokio::time::sleep(PAUSE_POLL).await;
        }
        self.check_interruption()?;
        self.next_token += 1;
        let mut state = lock(&self.service.state);
        state.generated_tokens += 1;
        state.truth.works[self.work].sent_tokens += 1;
        Ok(())
    }

    fn is_stalled(&self) -> bool {
        let state = lock(&self.service.state);
        let is_cancelled = state.truth.works[self.work].end == WorkEnd::Cancelled;
        !is_cancelled && !state.missing.hosts.is_empty()
    }

    fn check_interruption(&self) -> Result<(), Interruption> {
        let state = lock(&self.service.state);
        let work = &state.truth.works[self.work];
        if work.end == WorkEnd::Cancelled {
            return Err(Interruption::BreakOff(WorkEnd::Cancelled));
        }
        if state.own() != work.own {
            return Err(Interruption::BreakOff(WorkEnd::BrokenOff));
        }
        let is_reached = |limit: Option<u64>| limit.is_some_and(|limit| work.sent_tokens >= limit);
        if is_reached(state.faults.end_after_tokens) {
            return Err(Interruption::EndEarly);
        }
        if is_reached(state.faults.break_after_tokens) {
            return Err(Interruption::BreakOff(WorkEnd::BrokenOff));
        }
        Ok(())
    }

    fn interrupt(&self, sender: BodySender, interruption: Interruption) {
        match interruption {
            Interruption::EndEarly => {
                self.record_end(WorkEnd::BrokenOff);
                sender.finish();
            }
            Interruption::BreakOff(end) => self.record_end(end),
        }
    }

    fn record_end(&self, end: WorkEnd) {
        let mut state = lock(&self.service.state);
        let work = &mut state.truth.works[self.work];
        work.end = end;
        work.ended_unix_us = now_unix_us();
    }

    /// Returns the events of the token before `next_token`, but for a fault of the answer.
    fn events(&self) -> String {
        let index = self.next_token - 1;
        match lock(&self.service.state).faults.answer {
            AnswerFault::DuplicateTokens => self.event(index) + &self.event(index),
            AnswerFault::SwappedTokens => self.event(index ^ 1),
            AnswerFault::None | AnswerFault::PreviousAnswer => self.event(index),
        }
    }

    fn event(&self, index: u64) -> String {
        let text = token_text(&self.marker, index);
        let is_last = index + 1 == self.answer_tokens;
        let choice = json!({
            "index": 0,
            "delta": {"content": text},
            "finish_reason": is_last.then_some("stop"),
        });
        let chunk = json!({
            "id": self.attempt,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        format!("id: {index}\ndata: {chunk}\n\n")
    }
}
