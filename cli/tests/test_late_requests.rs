//! Tests of requests that come late in the graceful end of an entry's process, and whose targets do
//! not answer before it.

use std::time::Duration;

use beryltray_testutils::seeds::extra_seed;
use tokio::task::JoinSet;

use crate::cluster::eventually;
use crate::gateway_process::CallEnd;
use crate::gateway_process::CallEnds;
use crate::gateway_process::GatewayProcess;
use crate::gateway_process::SignalName;
use crate::paced_target::AnswerPace;

/// The time from SIGTERM to the end of the process.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// The number of entries that end at the same time.
const ENTRIES: u64 = 4;

/// Ends a gateway while callers go on to use their connections; with an odd seed, SIGTERM comes again
/// half-way.
async fn end_with_late_callers(seed: u64) -> CallEnds {
    let mut gateway = GatewayProcess::start_with_stop_limit("8s").await;
    let callers = gateway.start_late_callers(seed, STOP_LIMIT);
    gateway.wait_until_all_called().await;
    SignalName::Terminate.send(&gateway.process).await;
    if !seed.is_multiple_of(2) {
        tokio::time::sleep(STOP_LIMIT / 2).await;
        SignalName::Terminate.send(&gateway.process).await;
    }
    let ends = CallEnds::concat(callers.join_all().await);
    assert!(gateway.wait().await.success());
    ends
}

// Guards against requests that may not be repeated and end without an answer, since they were accepted
// late in the graceful end of the process and their target had not answered when it was over.
#[tokio::test]
async fn late_requests_to_targets_that_do_not_answer_are_not_cut() {
    let mut runs = JoinSet::new();
    let first = extra_seed() * ENTRIES;
    for seed in first..first + ENTRIES {
        runs.spawn(async move { (seed, end_with_late_callers(seed).await) });
    }
    while let Some(run) = runs.join_next().await {
        let (seed, ends) = run.unwrap();
        assert_eq!(ends.count(CallEnd::Cut), 0, "{seed}: {}", ends.summary());
        assert!(ends.count(CallEnd::Whole) > 0, "{}", ends.summary());
        assert!(ends.count(CallEnd::Failed) > 0, "{}", ends.summary());
    }
}

// Guards against a request behind another one on its connection that is passed on although the
// connection closes after the answer to the first.
#[tokio::test]
async fn late_pipelined_request_is_answered_or_not_passed_on() {
    let mut gateway = GatewayProcess::start_with_stop_limit("8s").await;
    let plain = |delay_ms| AnswerPace::Plain {
        delay: Duration::from_millis(delay_ms),
    };
    let calls = [(plain(4_000), "first"), (plain(4_500), "second")];
    let (answers, ()) = tokio::join!(gateway.call_pipelined(&calls), async {
        eventually(async || gateway.target.has_received("first")).await;
        SignalName::Terminate.send(&gateway.process).await;
    });
    let answered = answers.matches("HTTP/1.1 ").count();
    let passed_on = 1 + usize::from(gateway.target.has_received("second"));
    assert!(answers.contains("beryltray-request-id: first"), "{answers}");
    assert_eq!(answered, passed_on, "{answers}");
    assert!(gateway.wait().await.success());
}
