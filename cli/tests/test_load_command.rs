//! Tests of `beryltray load` against engine stand-ins, which serve the same chat path as entries.

use std::process::Output;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::pool::ConnectionPool;
use beryltray_lib::connection::pool::PoolSettings;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::target::TargetClient as _;
use beryltray_lib::target::http::HttpTargetClient;
use beryltray_lib::target::wire::Order;
use beryltray_lib::target::wire::OrderAction;
use beryltray_lib::target::wire::OrderMember;
use beryltray_stand_ins::answer::full_answer_text;
use beryltray_stand_ins::control::TRUTH_PATH;
use beryltray_stand_ins::engine;
use beryltray_stand_ins::engine::EngineSettings;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use beryltray_stand_ins::server::RunningStandIn;
use beryltray_stand_ins::truth::EngineTruth;
use http::Request;
use http::header::HOST;
use serde_json::Value;

const LIMIT_BYTES: usize = 1 << 20;
const CONTROL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

async fn start_engine() -> RunningStandIn {
    let weights = "beryl".parse().unwrap();
    let settings = EngineSettings {
        loaded_weights: vec![weights],
        ..EngineSettings::new("a1".parse().unwrap())
    };
    let running = engine::start(settings).await.unwrap();
    let member = OrderMember {
        host: "a1".parse().unwrap(),
        address: running.address(),
    };
    let order = Order {
        epoch: Epoch(1),
        attempt: new_attempt_id(),
        action: OrderAction::Join {
            group: "g1".parse().unwrap(),
            generation: Generation(1),
            members: vec![member],
            weights: "beryl".parse().unwrap(),
        },
    };
    let pool = ConnectionPool::new(SystemClock, PoolSettings::default());
    let targets = HttpTargetClient::new(pool, CONTROL_TIMEOUT);
    targets.order(running.address(), order).await.unwrap();
    running
}

async fn load(arguments: &[&str]) -> Output {
    let command = tokio::process::Command::new(env!("CARGO_BIN_EXE_beryltray"))
        .arg("load")
        .args(arguments)
        .output();
    command.await.unwrap()
}

#[tokio::test]
async fn load_complete_answers_are_counted() {
    let running = start_engine().await;
    let entry = running.address().to_string();
    let directory = std::env::temp_dir();
    let history = directory.join(format!("load-{}.jsonl", std::process::id()));
    let arguments = [
        ["--entry", &entry],
        ["--account", "harbour=secret*3"],
        ["--work", "beryl-writers"],
        ["--duration", "500ms"],
        ["--rate", "50/s"],
        ["--tokens", "4"],
        ["--format", "json"],
        ["--history", history.to_str().unwrap()],
    ];
    let mut arguments = arguments.concat();
    arguments.extend(["--require-complete", "--quiet"]);
    let output = load(&arguments).await;
    assert!(output.status.success());
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let requests = report["requests"].as_u64().unwrap();
    assert_eq!(report["outcomes"][0]["requests"], requests);
    let text = std::fs::read_to_string(&history).unwrap();
    std::fs::remove_file(&history).unwrap();
    let lines = text.lines().map(serde_json::from_str::<Invocation>);
    let invocations = lines.collect::<Result<Vec<_>, _>>().unwrap();
    assert_eq!(invocations.len() as u64, requests);
    for invocation in invocations {
        assert_eq!(invocation.outcome, CallerOutcome::Complete);
        assert_eq!(invocation.answer, full_answer_text(&invocation.marker, 4));
    }
}

#[tokio::test]
async fn load_refused_connection_is_not_complete() {
    let running = start_engine().await;
    let entry = running.address().to_string();
    running.stop();
    let arguments = [
        ["--entry", &entry],
        ["--account", "harbour=secret"],
        ["--work", "beryl-writers"],
        ["--duration", "200ms"],
        ["--rate", "50/s"],
    ];
    let mut arguments = arguments.concat();
    arguments.push("--require-complete");
    let output = load(&arguments).await;
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("not-sent"));
}

#[tokio::test]
async fn load_without_work_is_usage_error() {
    let arguments = ["--entry", "127.0.0.1:1", "--account", "harbour=secret"];
    let output = load(&arguments).await;
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("Hint:"));
}

#[tokio::test]
async fn load_unready_entry_gets_no_request() {
    let ready = start_engine().await;
    let unready = start_engine().await;
    let stopped = start_engine().await;
    stopped.stop();
    let ready_entry = ready.address().to_string();
    let unready_entry = format!("{},{}", unready.address(), stopped.address());
    let arguments = [
        ["--entry", &ready_entry],
        ["--entry", &unready_entry],
        ["--account", "harbour=secret"],
        ["--work", "beryl-writers"],
        ["--duration", "300ms"],
        ["--rate", "50/s"],
    ];
    let output = load(&arguments.concat()).await;
    assert!(output.status.success());
    assert!(!engine_truth(&ready).await.works.is_empty());
    assert!(engine_truth(&unready).await.works.is_empty());
}

async fn engine_truth(running: &RunningStandIn) -> EngineTruth {
    let address = running.address();
    let mut connection = ClientConnection::open(address, CONTROL_TIMEOUT)
        .await
        .unwrap();
    let request = Request::get(TRUTH_PATH)
        .header(HOST, address.to_string())
        .body(RequestBody::default());
    let response = connection.send(request.unwrap()).await.unwrap();
    let body = read_body(response.into_body(), LIMIT_BYTES, CONTROL_TIMEOUT).await;
    serde_json::from_slice(&body.unwrap()).unwrap()
}
