//! Runs requests whose answers are buffered and passed on only when complete.

use super::answer::BufferedAnswer;
use super::caller::AnswerShape;
use super::chat::ChatAccumulator;
use super::context::RequestContext;
use super::dispatch::AttemptTracker;
use super::dispatch::RequestFailure;
use super::entry_context::EntryContext;
use super::outcome::UnknownReason;
use super::plain::run_plain;
use super::token_stream::StreamPart;
use super::token_stream::TokenStream;

/// Runs a request and returns its complete answer in the shape that the caller asked for.
pub async fn run_buffered<E>(
    state: &E,
    context: &RequestContext,
    tracker: AttemptTracker,
) -> Result<BufferedAnswer, RequestFailure>
where
    E: EntryContext,
{
    if context.request.shape == AnswerShape::Plain {
        return run_plain(state, context, tracker).await;
    }
    let answer = collect_answer(state, context, tracker).await?;
    if context.request.shape == AnswerShape::Stream {
        return Ok(answer.into_events());
    }
    let completion = answer.into_completion(&context.request.id, &context.request.service);
    completion.map_err(|_| UnknownReason::IncompleteAnswer.into())
}

async fn collect_answer<E>(
    state: &E,
    context: &RequestContext,
    tracker: AttemptTracker,
) -> Result<ChatAccumulator, RequestFailure>
where
    E: EntryContext,
{
    let mut stream = TokenStream::start(state, context, tracker).await?;
    let mut answer = ChatAccumulator::default();
    loop {
        match stream.next(state, context).await {
            Ok(StreamPart::Token { index, data }) => answer.push_token(index, data),
            Ok(StreamPart::Note { data }) => answer.push_note(data),
            Ok(StreamPart::End) => break,
            Err(failure) => {
                stream.finish(state, context, false).await;
                return Err(failure);
            }
        }
    }
    stream.finish(state, context, true).await;
    Ok(answer)
}
