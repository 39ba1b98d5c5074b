//! Runs the [`Change`] state machine against the platform.

use crate::attempt_ids::AttemptIdSource;
use crate::clock::Clock;
use crate::ids::DocumentVersion;
use crate::ids::digest_of;
use crate::platform::ObjectStore;
use crate::platform::Table;
use crate::platform::rows::HeadRow;
use crate::version::store::VersionStore;
use crate::version::store::VersionStoreError;

use super::Change;
use super::ChangeAction;
use super::ChangeOutcome;
use super::ChangeRequest;
use super::ChangeSettings;
use super::conflict::ConflictReport;
use super::conflict::ConflictTexts;

/// Applies changes to the head of one environment.
#[derive(Clone, Debug)]
pub struct ChangeDriver<T, C> {
    store: VersionStore<T>,
    clock: C,
    settings: ChangeSettings,
}

impl<T, C> ChangeDriver<T, C>
where
    T: Table + ObjectStore,
    C: Clock,
{
    /// Creates a driver that uses `settings` for every change.
    pub fn new(store: VersionStore<T>, clock: C, settings: ChangeSettings) -> Self {
        Self {
            store,
            clock,
            settings,
        }
    }

    /// Tries to make `text` the head. Failed calls are retried until the retry timeout is over.
    ///
    /// `text` must be the one that the request's digest was computed from.
    pub async fn apply<A>(
        &self,
        request: ChangeRequest,
        text: &str,
        attempt_ids: A,
    ) -> ChangeOutcome
    where
        A: AttemptIdSource,
    {
        let now = self.clock.now();
        let mut change = Change::new(request, self.settings.clone(), attempt_ids, now);
        let mut action = change.start();
        loop {
            action = match action {
                ChangeAction::Finish(outcome) => return outcome,
                other => self.step(&mut change, other, text).await,
            };
        }
    }

    async fn step<A>(
        &self,
        change: &mut Change<A>,
        action: ChangeAction,
        text: &str,
    ) -> ChangeAction
    where
        A: AttemptIdSource,
    {
        match action {
            ChangeAction::ReadHead => match self.store.head().await {
                Ok(stored) => change.on_head(stored),
                Err(error) => change.on_failed(error, self.clock.now()),
            },
            ChangeAction::PutText => {
                let digest = digest_of(text.as_bytes());
                match self.store.put_text(&digest, text).await {
                    Ok(()) => change.on_text_stored(),
                    Err(error) => change.on_failed(error, self.clock.now()),
                }
            }
            ChangeAction::Commit {
                attempt,
                row,
                observed,
            } => {
                let result = self.store.commit_head(attempt, &row, observed).await;
                change.on_commit(result, self.clock.now())
            }
            ChangeAction::ReadHistory(version) => match self.store.history_version(version).await {
                Ok(recorded) => change.on_history_version(recorded, self.clock.now()),
                Err(error) => change.on_failed(error, self.clock.now()),
            },
            ChangeAction::WaitUntil(at) => {
                let delay = at.saturating_duration_since(self.clock.now());
                tokio::time::sleep(delay).await;
                change.on_tick()
            }
            ChangeAction::Finish(_) => action,
        }
    }

    /// Reads the texts of a conflict and returns both changes as diffs.
    ///
    /// A base without a history row, such as version 0, counts as an empty text.
    pub async fn conflict_report(
        &self,
        base: DocumentVersion,
        current: HeadRow,
        refused: &str,
    ) -> Result<ConflictReport, VersionStoreError> {
        let base_text = match self.store.history_version(base).await? {
            Some(recorded) => self.store.text(&recorded.row.digest).await?,
            None => String::new(),
        };
        let current_text = self.store.text(&current.digest).await?;
        let texts = ConflictTexts {
            base: &base_text,
            current: &current_text,
            refused,
        };
        Ok(ConflictReport::new(base, current, texts))
    }
}
