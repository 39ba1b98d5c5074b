//! Events and chunks of a model's answer in the chat-completions format.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::answer::BufferedAnswer;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::target::wire::END_MARKER;

/// A chunk that a target streams; fields that are not needed here are ignored.
#[derive(Clone, Debug, Deserialize)]
struct ChatChunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Clone, Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    finish_reason: Option<String>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

#[derive(Debug, Serialize)]
struct ChatCompletion {
    id: String,
    object: &'static str,
    model: ServiceId,
    choices: Vec<CompletionChoice>,
    usage: CompletionUsage,
}

#[derive(Debug, Serialize)]
struct CompletionChoice {
    index: u32,
    message: CompletionMessage,
    finish_reason: String,
}

#[derive(Debug, Serialize)]
struct CompletionMessage {
    role: &'static str,
    content: String,
}

#[derive(Debug, Serialize)]
struct CompletionUsage {
    completion_tokens: u64,
}

/// Returns the server-sent event for a token; its `id` is the token's index in the answer.
pub fn token_event(index: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {index}\ndata: {data}\n\n"))
}

/// Returns the server-sent event for a chunk without a token.
pub fn note_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Returns the server-sent event that marks an answer as complete.
pub fn end_event() -> Bytes {
    Bytes::from(format!("data: {END_MARKER}\n\n"))
}

/// Collects the chunks of an answer until it is complete.
#[derive(Clone, Debug, Default)]
pub struct ChatAccumulator {
    chunks: Vec<String>,
    events: Vec<u8>,
    token_count: u64,
}

impl ChatAccumulator {
    /// Adds the next token.
    pub fn push_token(&mut self, index: u64, data: String) {
        self.events.extend_from_slice(&token_event(index, &data));
        self.chunks.push(data);
        self.token_count += 1;
    }

    /// Adds a chunk without a token.
    pub fn push_note(&mut self, data: String) {
        self.events.extend_from_slice(&note_event(&data));
        self.chunks.push(data);
    }

    /// Returns the complete answer as server-sent events, including the end marker.
    pub fn into_events(mut self) -> BufferedAnswer {
        self.events.extend_from_slice(&end_event());
        BufferedAnswer {
            status: 200,
            content_type: String::from("text/event-stream"),
            body: self.events.into(),
        }
    }

    /// Returns the complete answer as one JSON object; fails if a chunk is not valid JSON.
    pub fn into_completion(
        self,
        id: &RequestId,
        model: &ServiceId,
    ) -> Result<BufferedAnswer, serde_json::Error> {
        let mut content = String::new();
        let mut finish_reason = String::from("stop");
        for data in &self.chunks {
            let chunk: ChatChunk = serde_json::from_str(data)?;
            for choice in chunk.choices {
                content.push_str(&choice.delta.content.unwrap_or_default());
                finish_reason = choice.finish_reason.unwrap_or(finish_reason);
            }
        }
        let completion = ChatCompletion {
            id: id.to_string(),
            object: "chat.completion",
            model: model.clone(),
            choices: vec![CompletionChoice {
                index: 0,
                message: CompletionMessage {
                    role: "assistant",
                    content,
                },
                finish_reason,
            }],
            usage: CompletionUsage {
                completion_tokens: self.token_count,
            },
        };
        Ok(BufferedAnswer {
            status: 200,
            content_type: String::from("application/json"),
            body: serde_json::to_vec(&completion)?.into(),
        })
    }
}
