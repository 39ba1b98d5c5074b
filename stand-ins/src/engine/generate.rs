//! The generation of an answer, token by token.

use std::time::Duration;

use beryltray_lib::connection::body::BodySender;
use beryltray_lib::ids::AttemptId;
use beryltray_lib::target::wire;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde_json::json;

use super::batch_slot::BatchSlot;
use super::faults::AnswerFault;
use super::service::Body;
use super::service::EngineService;
use super::service::PAUSE_POLL_INTERVAL;
use crate::answer::full_answer_text;
use crate::answer::token_text;
use crate::json::broken_response;
use crate::json::json_response;
use crate::server::lock;
use crate::truth::WorkEnd;
use crate::truth::now_unix_us;

/// The generation of one answer.
pub(super) struct AnswerTask {
    pub(super) service: EngineService,
    pub(super) connection: u64,
    /// The index of the request in [`crate::truth::EngineTruth::works`].
    pub(super) work: usize,
    pub(super) marker: String,
    pub(super) model: String,
    pub(super) attempt: Option<AttemptId>,
    pub(super) next_token: u64,
    pub(super) answer_tokens: u64,
    pub(super) prefill_time: Duration,
}

/// Why an answer ends before its last token.
enum Interruption {
    /// The body ends regularly, but without the end marker.
    EndEarly,
    /// The body is aborted.
    BreakOff(WorkEnd),
}

impl AnswerTask {
    /// Sends the answer as server-sent events.
    pub(super) async fn stream(mut self, sender: BodySender, mut slot: BatchSlot) {
        if !self.wait_for_slot(&mut slot, Some(&sender)).await {
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

    /// Returns the complete answer in one JSON body.
    pub(super) async fn buffered(mut self, mut slot: BatchSlot) -> Response<Body> {
        self.wait_for_slot(&mut slot, None).await;
        while self.next_token < self.answer_tokens {
            if let Err(interruption) = self.generate_token().await {
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

    /// Waits for a slot and for the prefill. Returns `false` if the client disconnects before.
    async fn wait_for_slot(&self, slot: &mut BatchSlot, sender: Option<&BodySender>) -> bool {
        let prefilled = async {
            slot.wait_until_running().await;
            tokio::time::sleep(self.prefill_time).await;
        };
        match sender {
            None => prefilled.await,
            Some(sender) => tokio::select! {
                () = prefilled => (),
                () = sender.closed() => return false,
            },
        }
        true
    }

    async fn send_token(&mut self, sender: &BodySender) -> Result<(), Interruption> {
        let disconnected = Interruption::BreakOff(WorkEnd::BrokenOff);
        tokio::select! {
            generated = self.generate_token() => generated?,
            () = sender.closed() => return Err(disconnected),
        }
        let sent = sender.send(Bytes::from(self.token_events())).await;
        sent.map_err(|_| disconnected)
    }

    /// Generates a token in the configured time, plus the time in which the replica is stalled.
    async fn generate_token(&mut self) -> Result<(), Interruption> {
        tokio::time::sleep(self.service.token_time()).await;
        self.service.wait_until_responsive(self.connection).await;
        while self.is_stalled() {
            tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
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
        !is_cancelled && !state.missing_members.hosts.is_empty()
    }

    fn check_interruption(&self) -> Result<(), Interruption> {
        let state = lock(&self.service.state);
        let work = &state.truth.works[self.work];
        if work.end == WorkEnd::Cancelled {
            return Err(Interruption::BreakOff(WorkEnd::Cancelled));
        }
        if state.group_generation() != work.own {
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

    /// Returns the event of the token before `next_token`, changed by an injected [`AnswerFault`].
    fn token_events(&self) -> String {
        let index = self.next_token - 1;
        match lock(&self.service.state).faults.answer {
            AnswerFault::DuplicateTokens => self.token_event(index) + &self.token_event(index),
            AnswerFault::SwappedTokens => self.token_event(index ^ 1),
            AnswerFault::None | AnswerFault::PreviousAnswer => self.token_event(index),
        }
    }

    fn token_event(&self, index: u64) -> String {
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
