//! Tests of tasks that are started again after a panic.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use beryltray_lib::process::supervise::keep_running;

// Guards against a process that stops following records because one of them made the task panic.
#[tokio::test]
async fn keep_running_task_that_panics_is_started_again_until_it_ends() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let start = move || {
        let number = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(number == 2, "a panic of the test");
        }
    };
    keep_running("test", start).await;
    assert_eq!(starts.load(Ordering::SeqCst), 3);
}
