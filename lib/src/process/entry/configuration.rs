//! The task that keeps the newest document of the environment in force.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::ids::Digest;
use crate::ids::digest_of;
use crate::ini::IniErrors;
use crate::platform::PlatformError;
use crate::platform::rows::HeadRow;
use crate::platform::rows::document_key;
use crate::platform::rows::head_key;
use crate::process::in_force::InForce;
use crate::target::Targets;
use crate::version::parse::parse_document;

/// The time between two reads of the environment's head.
const HEAD_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Why the newest document can't be put in force.
#[derive(Debug, Display, Error, From)]
pub enum ConfigurationError {
    /// The platform did not answer.
    Platform(PlatformError),
    /// The head row can't be read.
    #[display("the head row can't be read: {_0}. Hint: was it written by another version?")]
    Head(serde_json::Error),
    /// The document is not in the object store.
    #[display("document {digest} is missing. Hint: apply it again")]
    #[from(skip)]
    Missing {
        /// The digest that the head names.
        digest: Digest,
    },
    /// The document's bytes do not match its digest.
    #[display("document {digest} is damaged. Hint: apply it again")]
    #[from(skip)]
    Damaged {
        /// The digest that the head names.
        digest: Digest,
    },
    /// The document can't be read.
    Document(IniErrors),
}

/// Follows the environment's head until the task is dropped.
pub async fn follow_head<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let mut ticks = tokio::time::interval(HEAD_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        match refresh(&state).await {
            Ok(()) => state.note_platform("head", true),
            Err(ConfigurationError::Platform(error)) => {
                log::debug!("head not read: {error}");
                state.note_platform("head", false);
            }
            Err(error) => log::error!("document not put in force: {error}"),
        }
    }
}

async fn refresh<C, P, T>(state: &EntryState<C, P, T>) -> Result<(), ConfigurationError>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let key = head_key(&state.identity.environment);
    let rows = state.platform.read(vec![key]).await?;
    let Some(row) = rows.into_iter().flatten().next() else {
        return Ok(());
    };
    let head: HeadRow = serde_json::from_str(&row.value)?;
    let current = state.in_force.get().map(|current| current.version);
    if current >= Some(head.version) {
        return Ok(());
    }
    let bytes = state
        .platform
        .get_object(document_key(&head.digest))
        .await?;
    let Some(bytes) = bytes else {
        let digest = head.digest;
        return Err(ConfigurationError::Missing { digest });
    };
    install(state, head, bytes)
}

fn install<C, P, T>(
    state: &EntryState<C, P, T>,
    head: HeadRow,
    bytes: Vec<u8>,
) -> Result<(), ConfigurationError>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let text = match String::from_utf8(bytes) {
        Ok(text) if digest_of(text.as_bytes()) == head.digest => text,
        Ok(_) | Err(_) => {
            let digest = head.digest;
            return Err(ConfigurationError::Damaged { digest });
        }
    };
    let document = parse_document(&text)?;
    let now = state.clock.now();
    state.shards.on_document(&document, now);
    state.limits().set_accounts(&document.accounts, now);
    let version = head.version;
    let candidate = InForce {
        version,
        digest: head.digest,
        text,
        document,
    };
    if state.in_force.advance(Arc::new(candidate)) {
        state.metrics.document_version.set(version.0 as i64);
        log::info!(version:% = version; "document put in force");
    }
    Ok(())
}
