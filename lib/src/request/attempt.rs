//! One attempt at a request: one send to one target, and the check that the answer belongs to it.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;

use super::answer::BufferedAnswer;
use super::caller::AnswerShape;
use super::caller::CallerRequest;
use super::entry_context::EntryAnswer;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::UnknownReason;
use crate::clock::Clock;
use crate::connection::client::SendError;
use crate::ids::AttemptId;
use crate::request::route::ChosenTarget;
use crate::target::AnswerError;
use crate::target::AnswerEvent;
use crate::target::AnswerHead;
use crate::target::ConnectionChoice;
use crate::target::Submission;
use crate::target::TargetAnswer;
use crate::target::TargetClient;
use crate::target::wire;

/// The maximum size of a plain service's answer and of a target's error answer.
const PLAIN_ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Why an attempt gave no usable answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No byte of the request was sent, because there was no connection.
    #[display("not sent: {source}")]
    NotSent {
        /// The connection error.
        source: SendError,
    },
    /// No byte of the request was sent, because the target's gate closed after it was chosen.
    #[display("not sent: the target's gate closed")]
    GateClosed,
    /// A trusted target attests that it refused the request before execution.
    #[display("refused before the start with status {status}")]
    Refused {
        /// The HTTP status of the refusal.
        status: u16,
    },
    /// The target answered with a status of 400 or above.
    #[display("the target answered with status {}", answer.status)]
    Failed {
        /// The target's error, which is passed to the caller if there is no retry.
        answer: BufferedAnswer,
        /// Whether the target attests a refusal before execution, but is not trusted for that.
        is_refusal: bool,
    },
    /// The request may have run.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why the result is unknown.
        reason: UnknownReason,
    },
    /// The head of the answer did not arrive in time, and the attempt was given up.
    #[display("the target did not answer in time")]
    Silent,
}

impl AttemptFailure {
    /// Returns whether the request was certainly not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent { .. } | Self::GateClosed | Self::Refused { .. }
        )
    }

    /// Returns whether a retry on another target may succeed.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Failed { answer, is_refusal } => *is_refusal || answer.status >= 500,
            _ => true,
        }
    }

    /// Returns whether the target is at fault, so that the failure counts towards its ejection.
    pub fn is_target_fault(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::Silent => true,
            Self::GateClosed | Self::Refused { .. } => false,
            Self::Failed { answer, is_refusal } => !is_refusal && answer.status >= 500,
            Self::Unknown { reason } => *reason != UnknownReason::DeadlinePassed,
        }
    }

    /// Returns the failure's name in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "not-sent",
            Self::GateClosed => "gate-closed",
            Self::Refused { .. } => "refused",
            Self::Failed { .. } => "failed",
            Self::Unknown { .. } => "unknown",
            Self::Silent => "silent",
        }
    }
}

/// The parameters of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Sent to the target, which must repeat it in the head of its answer.
    pub attempt: AttemptId,
    /// The target and, for a model service, the generation of its group.
    pub target: ChosenTarget,
    /// The number of tokens that the caller already has; 0 for a new stream.
    pub resume_from_tokens: u64,
    /// Whether a pooled connection may be used.
    pub connection: ConnectionChoice,
    /// How long the target may take for the head of the answer before it counts as silent.
    pub head_timeout: Duration,
    /// Whether the target is trusted when it attests a refusal before execution.
    pub has_trusted_refusals: bool,
}

/// Sends an attempt once, if the target's gate is still open, and checks the head of the answer.
///
/// If the head takes longer than its timeout, `on_silence` returns how much longer to wait for it,
/// or `None` to give the attempt up as [`AttemptFailure::Silent`].
pub async fn start_attempt<E, S>(
    state: &E,
    request: &CallerRequest,
    plan: &AttemptPlan,
    mut on_silence: S,
) -> Result<EntryAnswer<E>, AttemptFailure>
where
    E: EntryContext,
    S: FnMut() -> Option<Duration>,
{
    let targets = state.targets();
    let not_sent = |source| AttemptFailure::NotSent { source };
    let connected = targets.connect(plan.target.address, plan.connection).await;
    let connection = connected.map_err(not_sent)?;
    if !state
        .services()
        .is_open(&request.service, &plan.target, state.clock().now())
    {
        return Err(AttemptFailure::GateClosed);
    }
    let sent = targets.submit(connection, submission(request, plan));
    let mut sent = std::pin::pin!(sent);
    let mut timeout = plan.head_timeout;
    let answered = loop {
        match tokio::time::timeout(timeout, &mut sent).await {
            Ok(answered) => break answered,
            Err(_) => timeout = on_silence().ok_or(AttemptFailure::Silent)?,
        }
    };
    let answer = answered.map_err(|error| match error {
        SendError::NotSent { .. } => not_sent(error),
        SendError::MaybeSent { .. } => AttemptFailure::Unknown {
            reason: UnknownReason::ConnectionLost,
        },
    })?;
    check_head(answer, plan).await
}

fn submission(request: &CallerRequest, plan: &AttemptPlan) -> Submission {
    let path = match request.shape {
        AnswerShape::Stream | AnswerShape::Completion => wire::CHAT_PATH.to_owned(),
        AnswerShape::Plain => format!("{}{}", wire::OPERATION_PATH_PREFIX, request.operation),
    };
    Submission {
        attempt: plan.attempt.clone(),
        path,
        group: plan.target.group.clone(),
        priority: request.priority,
        resume_from_tokens: plan.resume_from_tokens,
        content_type: request.content_type.clone(),
        body: request.body.clone(),
    }
}

async fn check_head<A>(answer: A, plan: &AttemptPlan) -> Result<A, AttemptFailure>
where
    A: TargetAnswer,
{
    let head = answer.head().clone();
    if let Some(reason) = answer_mismatch(&head, plan) {
        return Err(AttemptFailure::Unknown { reason });
    }
    if head.is_refused_before_start && plan.has_trusted_refusals {
        let status = head.status;
        return Err(AttemptFailure::Refused { status });
    }
    if head.status >= 400 {
        return Err(read_failure(answer, head).await);
    }
    Ok(answer)
}

/// Returns why an answer does not belong to the attempt, or `None` if it does.
fn answer_mismatch(head: &AnswerHead, plan: &AttemptPlan) -> Option<UnknownReason> {
    if head.attempt.as_ref() != Some(&plan.attempt) {
        return Some(UnknownReason::IncompleteAnswer);
    }
    let expected = plan.target.group.as_ref().map(|group| group.generation);
    let is_success = head.status < 400;
    if is_success && expected.is_some() && head.generation != expected {
        return Some(UnknownReason::WrongGeneration);
    }
    None
}

async fn read_failure<A>(answer: A, head: AnswerHead) -> AttemptFailure
where
    A: TargetAnswer,
{
    match answer.read_to_end(PLAIN_ANSWER_LIMIT_BYTES).await {
        Ok(body) => AttemptFailure::Failed {
            answer: BufferedAnswer {
                status: head.status,
                content_type: head.content_type,
                body,
            },
            is_refusal: head.is_refused_before_start,
        },
        Err(_) => AttemptFailure::Unknown {
            reason: UnknownReason::ConnectionLost,
        },
    }
}

/// Reads a plain service's answer to its end; an incomplete or too long one is an error.
pub async fn read_plain<A>(answer: A) -> Result<BufferedAnswer, AttemptFailure>
where
    A: TargetAnswer,
{
    let head = answer.head().clone();
    let read = answer.read_to_end(PLAIN_ANSWER_LIMIT_BYTES).await;
    let body: Bytes = read.map_err(|_| AttemptFailure::Unknown {
        reason: UnknownReason::IncompleteAnswer,
    })?;
    Ok(BufferedAnswer {
        status: head.status,
        content_type: head.content_type,
        body,
    })
}

/// The result of reading one event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamStep {
    /// The next token.
    Token {
        /// A chat-completions chunk in JSON.
        data: String,
    },
    /// A chunk without a token, such as the one with the finish reason.
    Note {
        /// A chat-completions chunk in JSON.
        data: String,
    },
    /// The end marker: the answer is complete.
    End,
    /// No event arrived within the silence bound.
    Silent,
    /// The stream broke, ended without the end marker, was malformed or skipped a token.
    Broken {
        /// The read or sequence error.
        source: AnswerError,
    },
}

/// Reads the next event and skips tokens below `expected_index`, which the caller already has.
///
/// A token above `expected_index` breaks the stream: the caller must never get an answer with a
/// missing token.
pub async fn next_step<A>(
    answer: &mut A,
    expected_index: u64,
    silence_bound: Duration,
) -> StreamStep
where
    A: TargetAnswer,
{
    loop {
        let event = match tokio::time::timeout(silence_bound, answer.next_event()).await {
            Err(_) => return StreamStep::Silent,
            Ok(Err(source)) => return StreamStep::Broken { source },
            Ok(Ok(event)) => event,
        };
        match event {
            AnswerEvent::End => return StreamStep::End,
            AnswerEvent::Note { data } => return StreamStep::Note { data },
            AnswerEvent::Token { index, .. } if index < expected_index => {}
            AnswerEvent::Token { index, data } if index == expected_index => {
                return StreamStep::Token { data };
            }
            AnswerEvent::Token { index, .. } => {
                let reason = format!("token {index} arrived instead of {expected_index}");
                let source = AnswerError::Malformed { reason };
                return StreamStep::Broken { source };
            }
        }
    }
}
