//! Restarts tasks that panic.

use std::time::Duration;

use tokio::task::JoinSet;

/// The delay before a task is started again. What made it panic may still be there.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs the task that `start` returns until it ends, and starts it again each time that it panics, so
/// that one record or message does not end what the process does for all others.
///
/// Aborting the caller aborts the task.
pub async fn keep_running<F, T>(name: &'static str, start: F)
where
    F: Fn() -> T,
    T: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut task = JoinSet::new();
        task.spawn(start());
        match task.join_next().await {
            Some(Err(error)) if error.is_panic() => {
                log::error!(task = name; "a task panicked and is started again: {error}");
                tokio::time::sleep(RESTART_DELAY).await;
            }
            Some(Ok(()) | Err(_)) | None => return,
        }
    }
}
