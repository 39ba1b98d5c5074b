//! The expected answer, which is a function of the request.
//!
//! A caller puts a unique marker into its request: the last word of a prompt, so that prompts can
//! share a prefix, or the member `marker` of a plain request. The stand-ins echo the marker, so
//! that a checker can detect a truncated answer and the answer to another request without further
//! records.

use serde::Deserialize;
use serde_json::Value;

/// Length in tokens of an answer whose request has no `max_tokens`.
pub const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// A longer marker is truncated.
const MARKER_LIMIT_BYTES: usize = 96;

/// The fields of a chat request that the stand-ins use.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The name of the service.
    #[serde(default)]
    pub model: String,
    /// The messages, in order; the last one is the prompt.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Length of the answer in tokens; [`DEFAULT_ANSWER_TOKENS`] if absent.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

/// A message of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// The message's text.
    #[serde(default)]
    pub content: String,
}

impl ChatRequest {
    /// Returns the text of the last message, or an empty text without messages.
    pub fn prompt(&self) -> &str {
        let last = self.messages.last();
        last.map_or("", |message| message.content.as_str())
    }

    /// Returns the marker: the last word of the last message, truncated to 96 bytes.
    pub fn marker(&self) -> String {
        let word = self.prompt().split_whitespace().next_back();
        truncate_marker(word.unwrap_or_default())
    }

    /// Returns the number of tokens of the complete answer.
    pub fn answer_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// Returns the text of the token at `index` of the answer to the request with `marker`.
pub fn token_text(marker: &str, index: u64) -> String {
    format!("{marker}:{index} ")
}

/// Returns the complete text of the answer to the request with `marker`.
pub fn full_answer_text(marker: &str, tokens: u64) -> String {
    let texts = (0..tokens).map(|index| token_text(marker, index));
    texts.collect()
}

/// Returns the marker of a plain request: the member `marker` of its JSON body, truncated to 96
/// bytes. It is empty if the body has none.
pub fn plain_marker(body: &[u8]) -> String {
    let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let marker = value.get("marker").and_then(Value::as_str);
    truncate_marker(marker.unwrap_or_default())
}

/// Truncates `text` at a character boundary.
fn truncate_marker(text: &str) -> String {
    let char_end = |(start, c): (usize, char)| start + c.len_utf8();
    let char_ends = text.char_indices().map(char_end);
    let end = char_ends
        .take_while(|end| *end <= MARKER_LIMIT_BYTES)
        .last();
    text[..end.unwrap_or(0)].to_owned()
}
