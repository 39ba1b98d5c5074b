//! Tests of the engine stand-in with a replica of two hosts.

use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::target::AnswerError;
use beryltray_lib::target::AnswerEvent;
use beryltray_lib::target::ConnectionChoice;
use beryltray_lib::target::GroupGeneration;
use beryltray_lib::target::Submission;
use beryltray_lib::target::TargetAnswer as _;
use beryltray_lib::target::TargetClient as _;
use beryltray_lib::target::http::HttpAnswer;
use beryltray_lib::target::wire;
use beryltray_lib::target::wire::Order;
use beryltray_lib::target::wire::OrderAction;
use beryltray_lib::target::wire::OrderAnswer;
use beryltray_lib::target::wire::OrderMember;
use beryltray_lib::version::document::Priority;
use beryltray_stand_ins::answer::token_text;
use beryltray_stand_ins::engine;
use beryltray_stand_ins::engine::EngineSettings;
use beryltray_stand_ins::server::RunningStandIn;
use beryltray_stand_ins::truth::EngineTruth;
use beryltray_stand_ins::truth::WorkEnd;

use crate::common::eventually;
use crate::common::set_faults;
use crate::common::target_client;
use crate::common::truth;

struct Replica {
    leader: RunningStandIn,
    member: RunningStandIn,
}

async fn start_host(name: &str) -> RunningStandIn {
    let settings = EngineSettings::new(name.parse().unwrap());
    engine::start(settings).await.unwrap()
}

fn join(replica: &Replica, epoch: u64, generation: u64) -> Order {
    let member = |name: &str, running: &RunningStandIn| OrderMember {
        host: name.parse().unwrap(),
        address: running.address(),
    };
    let members = vec![member("a1", &replica.leader), member("a2", &replica.member)];
    Order {
        epoch: Epoch(epoch),
        attempt: new_attempt_id(),
        action: OrderAction::Join {
            group: "g1".parse().unwrap(),
            generation: Generation(generation),
            members,
            weights: "beryl".parse().unwrap(),
        },
    }
}

async fn start_replica() -> Replica {
    let replica = Replica {
        leader: start_host("a1").await,
        member: start_host("a2").await,
    };
    for running in [&replica.leader, &replica.member] {
        let order = join(&replica, 1, 1);
        target_client()
            .order(running.address(), order)
            .await
            .unwrap();
    }
    for running in [&replica.leader, &replica.member] {
        eventually(async || is_ready(running).await).await;
    }
    replica
}

async fn is_ready(running: &RunningStandIn) -> bool {
    let report = target_client().report(running.address()).await.unwrap();
    report.membership.is_some_and(|own| own.is_ready)
}

async fn submit(
    replica: &Replica,
    generation: u64,
    resume_from_tokens: u64,
) -> HttpAnswer<SystemClock> {
    let targets = target_client();
    let address = replica.leader.address();
    let connection = targets.connect(address, ConnectionChoice::New).await;
    let message = r#"[{"role": "user", "content": "write a notice m1"}]"#;
    let body = format!(
        r#"{{"model": "writers", "stream": true, "max_tokens": 4, "messages": {message}}}"#
    );
    let submission = Submission {
        attempt: new_attempt_id(),
        path: String::from(wire::CHAT_PATH),
        group: Some(GroupGeneration {
            group: "g1".parse().unwrap(),
            generation: Generation(generation),
        }),
        priority: Priority::Normal,
        resume_from_tokens,
        content_type: String::from("application/json"),
        body: body.into(),
    };
    targets
        .submit(connection.unwrap(), submission)
        .await
        .unwrap()
}

/// Reads the answer to its end. Returns the indices of the tokens and how the answer ended.
async fn read_tokens(mut answer: HttpAnswer<SystemClock>) -> (Vec<u64>, Result<(), AnswerError>) {
    let mut indices = Vec::new();
    loop {
        match answer.next_event().await {
            Ok(AnswerEvent::Token { index, data }) => {
                assert!(data.contains(&token_text("m1", index)));
                indices.push(index);
            }
            Ok(AnswerEvent::Note { .. }) => panic!("unexpected event without a token number"),
            Ok(AnswerEvent::End) => return (indices, Ok(())),
            Err(error) => return (indices, Err(error)),
        }
    }
}

async fn engine_truth(running: &RunningStandIn) -> EngineTruth {
    truth(running.address()).await
}

#[tokio::test]
async fn chat_stream_has_numbered_tokens_and_end() {
    let replica = start_replica().await;
    let answer = submit(&replica, 1, 0).await;
    assert_eq!(answer.head().generation, Some(Generation(1)));
    assert_eq!(read_tokens(answer).await, (vec![0, 1, 2, 3], Ok(())));
}

#[tokio::test]
async fn chat_resumed_continues_at_token() {
    let replica = start_replica().await;
    let answer = submit(&replica, 1, 2).await;
    assert_eq!(read_tokens(answer).await, (vec![2, 3], Ok(())));
}

#[tokio::test]
async fn chat_other_generation_is_refused() {
    let replica = start_replica().await;
    let answer = submit(&replica, 2, 0).await;
    assert_eq!(answer.head().status, 409);
    assert!(answer.head().is_refused_before_start);
}

#[tokio::test]
async fn chat_stopped_member_stalls() {
    let replica = start_replica().await;
    replica.member.stop();
    eventually(async || {
        let answer = submit(&replica, 1, 0).await;
        drop(answer);
        let truth = engine_truth(&replica.leader).await;
        let last = truth.works.last().unwrap();
        !last.missing_members.is_empty()
    })
    .await;
    let answer = submit(&replica, 1, 0).await;
    assert_eq!(answer.head().status, 200);
    drop(answer);
    eventually(async || {
        let truth = engine_truth(&replica.leader).await;
        truth.works.last().unwrap().end == WorkEnd::BrokenOff
    })
    .await;
    let truth = engine_truth(&replica.leader).await;
    assert_eq!(truth.works.last().unwrap().sent_tokens, 0);
}

#[tokio::test]
async fn chat_ended_early_has_no_end_marker() {
    let replica = start_replica().await;
    set_faults(replica.leader.address(), r#"{"end_after_tokens": 2}"#).await;
    let (tokens, end) = read_tokens(submit(&replica, 1, 0).await).await;
    assert_eq!(
        (tokens, end),
        (vec![0, 1], Err(AnswerError::MissingEndMarker))
    );
    set_faults(replica.leader.address(), r#"{"end_after_tokens": null}"#).await;
    let (_, end) = read_tokens(submit(&replica, 1, 0).await).await;
    assert_eq!(end, Ok(()));
}

#[tokio::test]
async fn order_old_epoch_is_stale_unless_fencing_ignored() {
    let replica = start_replica().await;
    let address = replica.member.address();
    let newer = join(&replica, 5, 2);
    target_client().order(address, newer).await.unwrap();
    let old = join(&replica, 4, 1);
    let refused = target_client().order(address, old.clone()).await.unwrap();
    let highest_epoch = Epoch(5);
    assert_eq!(refused, OrderAnswer::Stale { highest_epoch });
    set_faults(address, r#"{"ignores_fencing": true}"#).await;
    let carried_out = target_client().order(address, old).await.unwrap();
    assert_eq!(carried_out, OrderAnswer::Accepted);
    let truth = engine_truth(&replica.member).await;
    assert!(truth.memberships.last().unwrap().is_stale);
}

#[tokio::test]
async fn report_forgotten_group_has_new_incarnation() {
    let replica = start_replica().await;
    let address = replica.member.address();
    let before = target_client().report(address).await.unwrap();
    set_faults(address, r#"{"forget_group": true, "is_leaving": true}"#).await;
    let after = target_client().report(address).await.unwrap();
    assert_eq!(after.membership, None);
    assert!(after.incarnation > before.incarnation);
    assert_eq!(after.loaded_weights, before.loaded_weights);
    assert!(after.is_leaving);
}
