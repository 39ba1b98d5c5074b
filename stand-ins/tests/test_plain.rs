//! Tests of the plain service stand-in.

use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::client::SendError;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::target::ConnectionChoice;
use beryltray_lib::target::Submission;
use beryltray_lib::target::TargetAnswer as _;
use beryltray_lib::target::TargetClient as _;
use beryltray_lib::target::http::HttpAnswer;
use beryltray_lib::target::wire;
use beryltray_lib::version::document::Priority;
use beryltray_stand_ins::plain;
use beryltray_stand_ins::plain::PlainSettings;
use beryltray_stand_ins::server::RunningStandIn;
use beryltray_stand_ins::truth::PlainTruth;
use beryltray_stand_ins::truth::WorkEnd;

use crate::common::set_faults;
use crate::common::target_client;
use crate::common::truth;

async fn start() -> RunningStandIn {
    let settings = PlainSettings::new("desk-1".parse().unwrap());
    plain::start(settings).await.unwrap()
}

async fn submit(
    running: &RunningStandIn,
    marker: &str,
) -> Result<HttpAnswer<SystemClock>, SendError> {
    let targets = target_client();
    let connection = targets
        .connect(running.address(), ConnectionChoice::New)
        .await;
    let submission = Submission {
        attempt: new_attempt_id(),
        path: format!("{}raise-order", wire::OPERATION_PATH_PREFIX),
        group: None,
        priority: Priority::Normal,
        resume_from_tokens: 0,
        content_type: String::from("application/json"),
        body: format!(r#"{{"marker": "{marker}"}}"#).into(),
    };
    targets.submit(connection.unwrap(), submission).await
}

#[tokio::test]
async fn operation_complete_is_recorded() {
    let running = start().await;
    let answer = submit(&running, "m1").await.unwrap();
    assert_eq!(answer.head().status, 200);
    let truth: PlainTruth = truth(running.address()).await;
    assert_eq!(truth.works[0].marker, "m1");
    assert!(truth.works[0].is_run);
}

#[tokio::test]
async fn operation_refused_is_attested_and_not_run() {
    let running = start().await;
    set_faults(running.address(), r#"{"refusals": 1}"#).await;
    let answer = submit(&running, "m1").await.unwrap();
    assert!(answer.head().is_refused_before_start);
    let truth: PlainTruth = truth(running.address()).await;
    assert_eq!(truth.works[0].end, WorkEnd::Refused);
    assert!(!truth.works[0].is_run);
}

#[tokio::test]
async fn operation_lost_answer_is_run() {
    let running = start().await;
    set_faults(running.address(), r#"{"lost_answers": 1}"#).await;
    let answer = submit(&running, "m1").await;
    assert!(matches!(answer, Err(SendError::MaybeSent { .. })));
    let truth: PlainTruth = truth(running.address()).await;
    assert_eq!(truth.works[0].end, WorkEnd::BrokenOff);
    assert!(truth.works[0].is_run);
}
