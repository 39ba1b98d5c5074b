//! Chunks of a model's answer in the common chat-completions shape.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::answer::BufferedAnswer;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::target::wire::END_MARKER;

/// A chunk as a target streams it; fields that nobody here needs are passed over.
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

/// Returns a token's event as the caller gets it.
pub fn token_event(index: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {index}\ndata: {data}\n\n"))
}

/// Returns the event of a chunk without a token.
pub fn note_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Returns the event that ends a whole answer.
pub fn end_event() -> Bytes {
    Bytes::from(format!("data: {END_MARKER}\n\n"))
}

/// The chunks of an answer, gathered until it is whole.
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

    /// Returns the whole answer as one stream of events.
    pub fn into_events(mut self) -> BufferedAnswer {
        self.events.extend_from_slice(&end_event());
        BufferedAnswer {
            status: 200,
            content_type: String::from("text/event-stream"),
            body: self.events.into(),
        }
    }

    /// Returns the whole answer as one JSON object.
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
