//! The answer that a request must get, derived from the request alone.
//!
//! A caller puts a unique marker into its body: the last word of a prompt, so that prompts can share a
//! prefix, or the member `marker` of a plain request. The stand-ins echo it, so that a
//! checker recognises another caller's answer and a truncated one without any further record.

use serde::Deserialize;
use serde_json::Value;

/// The number of tokens of an answer whose request names none.
pub const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// The longest marker, in bytes.
const MARKER_LIMIT_BYTES: usize = 96;

/// The parts of a chat request that the stand-ins look at.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The service that is asked for.
    #[serde(default)]
    pub model: String,
    /// The conversation.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The length of the answer, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
}

/// A message of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// The text.
    #[serde(default)]
    pub content: String,
}

impl ChatRequest {
    /// Returns the last message's text.
    pub fn prompt(&self) -> &str {
        let last = self.messages.last();
        last.map_or("", |message| message.content.as_str())
    }

    /// Returns the marker, which is the last word of the last message.
    pub fn marker(&self) -> String {
        let word = self.prompt().split_whitespace().next_back();
        bounded(word.unwrap_or_default())
    }

    /// Returns the number of tokens of the whole answer.
    pub fn answer_tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// Returns the text of the token at `index` of the answer to the request with `marker`.
pub fn token_text(marker: &str, index: u64) -> String {
    format!("{marker}:{index} ")
}

/// Returns the whole text of the answer to the request with `marker`.
pub fn full_answer_text(marker: &str, tokens: u64) -> String {
    let texts = (0..tokens).map(|index| token_text(marker, index));
    texts.collect()
}

/// Returns the marker of a plain request: the member `marker` of its JSON body.
pub fn plain_marker(body: &[u8]) -> String {
    let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let marker = value.get("marker").and_then(Value::as_str);
    bounded(marker.unwrap_or_default())
}

fn bounded(text: &str) -> String {
    let bytes_taken = |(start, c): (usize, char)| start + c.len_utf8();
    let taken = text.char_indices().map(bytes_taken);
    let end = taken.take_while(|end| *end <= MARKER_LIMIT_BYTES).last();
    text[..end.unwrap_or(0)].to_owned()
}
