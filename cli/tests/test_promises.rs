//! Tests of the system's guarantees with entries as separate processes and real sockets.

use beryltray_stand_ins::relay;
use beryltray_stand_ins::relay::RelaySettings;

use crate::cluster::TestCluster;
use crate::cluster::eventually;
use crate::cluster::set_faults;

const BOOK: &str = "book-slot";
const LIST: &str = "list-slots";
/// Enough successes for the retry budget to allow a retry.
const SUCCESSES: usize = 30;
/// Enough idle connections that a separate poll of each would take longer than any wait here.
const IDLE_CONNECTIONS: usize = 50;

#[tokio::test]
async fn booking_same_key_at_two_entries_runs_once() {
    let cluster = TestCluster::start().await;
    let first = cluster.start_entry("entry-1").await;
    let second = cluster.start_entry("entry-2").await;
    for number in 0..5 {
        let marker = format!("m{number}");
        let sent = [&first, &second, &first, &second];
        let sent = sent.map(|entry| entry.send(BOOK, &marker, Some(&marker)));
        let [a, b, c, d] = sent;
        let answers = tokio::join!(a, b, c, d);
        let outcomes = [answers.0, answers.1, answers.2, answers.3].map(|answer| answer.outcome);
        assert!(outcomes.contains(&String::from("complete")), "{outcomes:?}");
        let is_known = |outcome: &String| ["complete", "in-progress"].contains(&outcome.as_str());
        assert!(outcomes.iter().all(is_known), "{outcomes:?}");
        assert_eq!(cluster.run_count(&marker).await, 1);
    }
}

#[tokio::test]
async fn booking_lost_answer_is_unknown_and_never_repeated() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry("entry-1").await;
    set_faults(cluster.plain.address(), r#"{"lost_answers": 1}"#).await;
    let answer = entry.send(BOOK, "m1", Some("k1")).await;
    assert_eq!(answer.outcome, "unknown");
    let again = entry.send(BOOK, "m1", Some("k1")).await;
    assert_eq!(again.outcome, "unknown");
    assert_eq!(cluster.run_count("m1").await, 1);
}

#[tokio::test]
async fn booking_same_key_gets_recorded_answer() {
    let cluster = TestCluster::start().await;
    let first = cluster.start_entry("entry-1").await;
    let second = cluster.start_entry("entry-2").await;
    let answer = first.send(BOOK, "m1", Some("k1")).await;
    assert_eq!(answer.outcome, "complete");
    // The result is recorded after the answer is sent; until then the work is in progress.
    eventually(async || {
        let replayed = second.send(BOOK, "m1", Some("k1")).await;
        if replayed.outcome == "in-progress" {
            assert!(replayed.has_retry_after);
            return false;
        }
        assert_eq!(replayed.outcome, "complete");
        assert_eq!(replayed.body, answer.body);
        true
    })
    .await;
    let other_body = second.send(BOOK, "m2", Some("k1")).await;
    assert_eq!(other_body.outcome, "invalid");
    assert_eq!(cluster.truth().await.works.len(), 1);
}

#[tokio::test]
async fn booking_platform_outage_is_not_run_only_at_first_try() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry("entry-1").await;
    for outage in ["silent", "refusing"] {
        let change = format!(r#"{{"outage": "{outage}"}}"#);
        set_faults(cluster.platform.address(), &change).await;
        let first = entry.send_first(BOOK, "m1", outage).await;
        assert_eq!(first.outcome, "not-run");
        assert!(first.has_retry_after);
        let maybe_repeated = entry.send(BOOK, "m1", Some("k1")).await;
        assert_eq!(maybe_repeated.outcome, "unknown");
        assert!(maybe_repeated.has_retry_after);
        let idempotent = entry.send(LIST, "m2", None).await;
        assert_eq!(idempotent.outcome, "complete");
    }
    set_faults(cluster.platform.address(), r#"{"outage": "none"}"#).await;
    assert_eq!(cluster.run_count("m1").await, 0);
    eventually(async || {
        let answer = entry.send(BOOK, "m1", Some("k1")).await;
        answer.outcome == "complete"
    })
    .await;
    assert_eq!(cluster.run_count("m1").await, 1);
}

#[tokio::test]
async fn booking_cut_off_from_platform_is_claimed_by_another_data_centre() {
    let cluster = TestCluster::start().await;
    let any_port = ([127, 0, 0, 1], 0).into();
    let settings = RelaySettings {
        listen: any_port,
        control: any_port,
        target: cluster.platform.address(),
    };
    let relay = relay::start(settings).await.unwrap();
    let other = cluster.start_remote_entry("entry-b1").await;
    let address = relay.relay.address();
    let entry = cluster
        .start_entry_with_platform_relay(address, "entry-a1", &other)
        .await;
    set_faults(relay.control_address, r#"{"mode": "cut"}"#).await;
    let answer = entry.send(BOOK, "m1", Some("k1")).await;
    assert_eq!(answer.outcome, "complete");
    let replayed = entry.send(BOOK, "m1", Some("k1")).await;
    assert_eq!(replayed.body, answer.body);
    assert_eq!(cluster.run_count("m1").await, 1);
}

#[tokio::test]
async fn booking_lost_commit_answers_run_once() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry("entry-1").await;
    set_faults(cluster.platform.address(), r#"{"lost_answers": 4}"#).await;
    eventually(async || {
        let answer = entry.send(BOOK, "m1", Some("k1")).await;
        answer.outcome == "complete"
    })
    .await;
    assert_eq!(cluster.run_count("m1").await, 1);
}

#[tokio::test]
async fn idempotent_target_stopped_after_start_is_unknown() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry("entry-1").await;
    for number in 0..SUCCESSES {
        let answer = entry.send(LIST, &format!("s{number}"), None).await;
        assert_eq!(answer.outcome, "complete");
    }
    set_faults(cluster.plain.address(), r#"{"delay_ms": 60000}"#).await;
    let (answer, ()) = tokio::join!(entry.send(LIST, "m1", None), async {
        eventually(async || cluster.run_count("m1").await == 1).await;
        cluster.plain.stop();
    });
    assert_eq!(answer.outcome, "unknown");
}

#[tokio::test]
async fn shutdown_graceful_completes_requests_in_flight() {
    let cluster = TestCluster::start().await;
    let mut entry = cluster.start_entry("entry-1").await;
    set_faults(cluster.plain.address(), r#"{"delay_ms": 2000}"#).await;
    let in_flight = entry.send(BOOK, "m1", Some("k1"));
    let (answer, ()) = tokio::join!(in_flight, async {
        eventually(async || cluster.run_count("m1").await == 1).await;
        set_faults(cluster.plain.address(), r#"{"is_paused": true}"#).await;
        entry.terminate().await;
        eventually(async || {
            let connected = tokio::net::TcpStream::connect(entry.callers).await;
            connected.is_err()
        })
        .await;
        set_faults(cluster.plain.address(), r#"{"is_paused": false}"#).await;
    });
    assert_eq!(answer.outcome, "complete");
    let status = entry.process.wait().await.unwrap();
    assert!(status.success());
    assert_eq!(cluster.run_count("m1").await, 1);
}

#[tokio::test]
async fn leaving_target_gets_no_new_work() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry("entry-1").await;
    set_faults(cluster.plain.address(), r#"{"is_leaving": true}"#).await;
    eventually(async || {
        let answer = entry.send(LIST, "m1", None).await;
        answer.outcome == "not-run"
    })
    .await;
    let before = cluster.truth().await.works.len();
    let answer = entry.send(LIST, "m1", None).await;
    assert_eq!(answer.outcome, "not-run");
    assert!(answer.has_retry_after);
    assert_eq!(cluster.truth().await.works.len(), before);
}

#[tokio::test]
async fn ready_entry_serves_at_once() {
    let cluster = TestCluster::start().await;
    let entry = cluster.start_entry_process("entry-1").await;
    eventually(async || entry.is_ready().await).await;
    let answer = entry.send(LIST, "m1", None).await;
    assert_eq!(answer.outcome, "complete");
}

#[tokio::test]
async fn silenced_connections_are_closed_without_separate_polls() {
    let cluster = TestCluster::start_with_relay().await;
    let entry = cluster.start_entry("entry-1").await;
    set_faults(cluster.plain.address(), r#"{"delay_ms": 500}"#).await;
    let answers = (0..IDLE_CONNECTIONS).map(|number| {
        let marker = format!("m{number}");
        let entry = &entry;
        async move { entry.send(LIST, &marker, None).await }
    });
    for answer in futures_util::future::join_all(answers).await {
        assert_eq!(answer.outcome, "complete");
    }
    let relay = cluster.relay.as_ref().unwrap();
    set_faults(relay.control_address, r#"{"silence_connections": true}"#).await;
    let before = cluster.relayed_connections().await;
    // This wait times out if each idle connection costs a separate poll.
    eventually(async || cluster.relayed_connections().await > before).await;
    eventually(async || entry.is_serving().await).await;
    let answer = entry.send(BOOK, "booking", Some("k1")).await;
    assert_eq!(answer.outcome, "complete");
}

#[tokio::test]
async fn idempotent_request_without_local_targets_is_relayed() {
    let cluster = TestCluster::start().await;
    let local = cluster.start_entry("entry-a1").await;
    let remote = cluster
        .start_remote_entry_with_seed("entry-b1", &local)
        .await;
    eventually(async || remote.is_ready().await).await;
    eventually(async || remote.send(LIST, "m1", None).await.outcome == "complete").await;
    assert!(cluster.run_count("m1").await >= 1);
    let booking = remote.send(BOOK, "m2", Some("k2")).await;
    assert_ne!(booking.outcome, "complete");
    assert_eq!(cluster.run_count("m2").await, 0);
}
