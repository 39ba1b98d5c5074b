//! What a request holds while its work is claimed.

use log::debug;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ids::AttemptId;

use super::types::LiveEntry;
use super::types::RecordedAnswer;
use super::types::WorkKey;

/// What the task of claims is told.
#[derive(Debug)]
pub(super) enum Mark {
    Done {
        work: WorkKey,
        answer: RecordedAnswer,
    },
    NotRun {
        work: WorkKey,
    },
    Unknown {
        work: WorkKey,
    },
    Live(Vec<LiveEntry>),
    Flush(oneshot::Sender<()>),
}

/// A claim, and the mark that its drop leaves unless another one was made before.
#[derive(Debug)]
struct Held {
    work: WorkKey,
    attempt: AttemptId,
    marks: mpsc::UnboundedSender<Mark>,
    drop_mark: Option<Mark>,
}

impl Held {
    fn mark(&mut self, mark: Mark) {
        self.drop_mark = None;
        if self.marks.send(mark).is_err() {
            debug!(work:% = self.work; "the task of claims has ended");
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(mark) = self.drop_mark.take() {
            self.mark(mark);
        }
    }
}

/// A durable claim on work that was not sent yet.
///
/// Dropping it marks the work as not run.
#[derive(Debug)]
pub struct ClaimGrant {
    held: Held,
}

impl ClaimGrant {
    pub(super) fn new(
        work: WorkKey,
        attempt: AttemptId,
        marks: mpsc::UnboundedSender<Mark>,
    ) -> Self {
        let drop_mark = Some(Mark::NotRun { work: work.clone() });
        Self {
            held: Held {
                work,
                attempt,
                marks,
                drop_mark,
            },
        }
    }

    /// Returns the attempt to send under.
    pub fn attempt(&self) -> &AttemptId {
        &self.held.attempt
    }

    /// Begins the one send; call it before the first byte goes out.
    pub fn begin_send(mut self) -> ActiveClaim {
        let work = self.held.work.clone();
        self.held.drop_mark = Some(Mark::Unknown { work });
        ActiveClaim { held: self.held }
    }
}

/// A claim on work that may have been sent.
///
/// Dropping it marks the result as unknown.
#[derive(Debug)]
pub struct ActiveClaim {
    held: Held,
}

impl ActiveClaim {
    /// Returns the attempt that the work is sent under.
    pub fn attempt(&self) -> &AttemptId {
        &self.held.attempt
    }

    /// Records the work's answer, which the same key gets from now on.
    pub fn record_done(mut self, answer: RecordedAnswer) {
        let work = self.held.work.clone();
        self.held.mark(Mark::Done { work, answer });
    }

    /// Records that the work was certainly not run, so that its key can be claimed again.
    ///
    /// That is known only if no byte was sent, or if a target that is trusted for it attests that
    /// it refused the work before the start.
    pub fn record_not_run(mut self) {
        let work = self.held.work.clone();
        self.held.mark(Mark::NotRun { work });
    }
}
