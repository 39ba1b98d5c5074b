//! Tests of claims: non-idempotent work runs at most once, and decisions match what ran.

use std::time::Duration;

use beryltray_lib::request::claim::ClaimDecision;
use beryltray_lib::request::claim::ClaimSettings;
use beryltray_testutils::claims::ClaimEvent;
use beryltray_testutils::claims::ClaimSimulation;
use beryltray_testutils::claims::ClaimStep;
use beryltray_testutils::claims::ClaimVariant;
use beryltray_testutils::claims::KEYS;
use beryltray_testutils::claims::SendResult;
use beryltray_testutils::claims::SimulatedRequest;
use beryltray_testutils::seeds::quickcheck_with_seed;
use beryltray_testutils::table::TableFault;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

const SEED: u64 = 0x434c_4149;
const SCHEDULES: u64 = 2000;
const SCHEDULE_SIZE: usize = 64;

fn run(variant: ClaimVariant, steps: &[ClaimStep]) -> ClaimSimulation {
    let mut simulation = ClaimSimulation::new(variant, ClaimSettings::default());
    simulation.run(steps);
    simulation
}

fn is_detected(variant: ClaimVariant) -> bool {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<ClaimStep>::arbitrary(&mut generator));
    schedules.any(|steps| run(variant, &steps).violation().is_some())
}

#[test]
fn claim_any_schedule_runs_at_most_once() {
    fn is_satisfied(steps: Vec<ClaimStep>) -> bool {
        run(ClaimVariant::Correct, &steps).violation().is_none()
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(is_satisfied as fn(Vec<ClaimStep>) -> bool);
}

#[test]
fn claim_any_schedule_decides_each_request() {
    fn is_satisfied(steps: Vec<ClaimStep>) -> bool {
        let is_kill = |step: &ClaimStep| matches!(step, ClaimStep::Kill { .. });
        let simulation = run(ClaimVariant::Correct, &steps);
        steps.iter().any(is_kill)
            || simulation
                .requests
                .iter()
                .all(|request| request.decision.is_some())
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(is_satisfied as fn(Vec<ClaimStep>) -> bool);
}

#[test]
fn claim_schedules_reach_every_decision() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut reached = [0; 6];
    for _ in 0..SCHEDULES {
        let steps = Vec::<ClaimStep>::arbitrary(&mut generator);
        let simulation = run(ClaimVariant::Correct, &steps);
        for decision in simulation
            .requests
            .iter()
            .filter_map(|request| request.decision.as_ref())
        {
            let index = match decision {
                ClaimDecision::Granted { .. } => 0,
                ClaimDecision::Replay { .. } => 1,
                ClaimDecision::InProgress { .. } => 2,
                ClaimDecision::OtherBody => 3,
                ClaimDecision::Abandoned => 4,
                ClaimDecision::NotRun { .. } => 5,
            };
            reached[index] += 1;
        }
    }
    println!("decisions reached: {reached:?}");
    assert!(reached.iter().all(|count| *count > 0), "{reached:?}");
}

#[test]
fn claim_send_before_claim_is_caught() {
    assert!(is_detected(ClaimVariant::SendBeforeClaim));
}

#[test]
fn claim_take_over_abandoned_is_caught() {
    assert!(is_detected(ClaimVariant::TakeOverAbandoned));
}

#[test]
fn claim_trust_lost_commit_is_caught() {
    assert!(is_detected(ClaimVariant::TrustLostCommit));
}

fn request(entry: usize) -> ClaimStep {
    ClaimStep::Request {
        entry,
        key: 0,
        body: 0,
    }
}

fn answer(fault: TableFault) -> ClaimStep {
    ClaimStep::Answer { pick: 0, fault }
}

fn wait_for_batch() -> ClaimStep {
    ClaimStep::Wait {
        delay: ClaimSettings::default().batch_delay,
    }
}

fn count<F>(simulation: &ClaimSimulation, is_counted: F) -> usize
where
    F: Fn(&ClaimDecision) -> bool,
{
    let decisions = simulation
        .requests
        .iter()
        .filter_map(|request| request.decision.as_ref());
    decisions.filter(|decision| is_counted(decision)).count()
}

fn is_granted(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Granted { .. })
}

#[test]
fn claim_same_key_at_three_entries_is_granted_once() {
    let none = || answer(TableFault::None);
    let steps = [
        request(0),
        request(1),
        request(2),
        wait_for_batch(),
        none(),
        none(),
        none(),
    ];
    let simulation = run(ClaimVariant::Correct, &steps);
    assert_eq!(count(&simulation, is_granted), 1);
    let is_in_progress =
        |decision: &ClaimDecision| matches!(decision, ClaimDecision::InProgress { .. });
    assert_eq!(count(&simulation, is_in_progress), 2);
}

#[test]
fn claim_lost_answer_is_granted_after_read_back() {
    let steps = [request(0), wait_for_batch(), answer(TableFault::LostAnswer)];
    let simulation = run(ClaimVariant::Correct, &steps);
    assert_eq!(count(&simulation, is_granted), 1);
    assert!(simulation.requests[0].has_run);
}

#[test]
fn claim_late_effect_after_timeout_frees_key() {
    let steps = [
        request(0),
        wait_for_batch(),
        answer(TableFault::LateEffect),
        answer(TableFault::LostAnswer),
        ClaimStep::ApplyDelayedCommits,
        ClaimStep::Wait {
            delay: Duration::from_secs(3),
        },
        answer(TableFault::None),
        wait_for_batch(),
        answer(TableFault::None),
        request(1),
    ];
    let simulation = run(ClaimVariant::Correct, &steps);
    let first = simulation.requests[0].decision.clone();
    assert!(
        matches!(first, Some(ClaimDecision::NotRun { .. })),
        "{first:?}"
    );
    assert_eq!(
        simulation.requests[1].decision.as_ref().map(is_granted),
        Some(true)
    );
}

/// Guards against a second run of work whose entry crashes. The entry crashes after each step of a
/// claim, and another entry then gets a request with the same key.
#[test]
fn claim_crash_after_each_step_never_runs_twice() {
    let steps_of_claim = [
        request(0),
        wait_for_batch(),
        answer(TableFault::None),
        ClaimStep::Send {
            pick: 0,
            result: SendResult::Answered,
        },
        answer(TableFault::None),
    ];
    for crashed_after in 0..=steps_of_claim.len() {
        for fault in [
            TableFault::None,
            TableFault::LostAnswer,
            TableFault::LateEffect,
        ] {
            let mut steps = steps_of_claim[..crashed_after].to_vec();
            let faulty = steps
                .get_mut(2)
                .filter(|step| matches!(step, ClaimStep::Answer { .. }));
            if let Some(step) = faulty {
                *step = answer(fault);
            }
            steps.extend([
                ClaimStep::Kill { entry: 0 },
                ClaimStep::ApplyDelayedCommits,
                request(1),
                wait_for_batch(),
            ]);
            let simulation = run(ClaimVariant::Correct, &steps);
            assert_eq!(
                simulation.violation(),
                None,
                "crashed after {crashed_after}, {fault:?}"
            );
        }
    }
}

/// An operation on a key, for the linearizability checker.
#[derive(Clone, Debug)]
enum KeyOperation {
    Claim(Option<ClaimDecision>),
    Record(SendResult),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum KeyState {
    Free,
    Held,
    Done,
}

struct KeySpecification;

impl Specification for KeySpecification {
    type State = KeyState;
    type Operation = KeyOperation;

    fn init() -> KeyState {
        KeyState::Free
    }

    fn apply(operation: &KeyOperation, state: &KeyState) -> (bool, KeyState) {
        match operation {
            KeyOperation::Claim(Some(ClaimDecision::Granted { .. })) => {
                (*state == KeyState::Free, KeyState::Held)
            }
            KeyOperation::Claim(Some(ClaimDecision::Replay { .. })) => {
                (*state == KeyState::Done, *state)
            }
            KeyOperation::Claim(Some(ClaimDecision::Abandoned)) => {
                (*state == KeyState::Held, *state)
            }
            // "In progress" and "not run" may result from the entry's own state, not from the row,
            // so they are allowed in any state.
            KeyOperation::Claim(_) => (true, *state),
            KeyOperation::Record(result) => {
                let next = match result {
                    SendResult::Answered => KeyState::Done,
                    SendResult::Refused => KeyState::Free,
                    SendResult::Lost => KeyState::Held,
                };
                (*state == KeyState::Held, next)
            }
        }
    }
}

/// Converts the events of a key into a history in which each operation has its own process.
fn key_history(simulation: &ClaimSimulation, key: u8) -> Vec<(usize, Action<KeyOperation>)> {
    let mut actions = Vec::new();
    let mut results = vec![SendResult::Lost; simulation.requests.len()];
    for event in &simulation.events {
        let (ClaimEvent::Requested(request)
        | ClaimEvent::Decided(request)
        | ClaimEvent::RecordStarted { request, .. }
        | ClaimEvent::RecordEnded(request)) = event;
        let SimulatedRequest {
            key: request_key,
            decision,
            ..
        } = &simulation.requests[*request];
        if *request_key != key {
            continue;
        }
        let claim = KeyOperation::Claim(decision.clone());
        if let ClaimEvent::RecordStarted { result, .. } = event {
            results[*request] = *result;
        }
        let record = KeyOperation::Record(results[*request]);
        actions.push(match event {
            ClaimEvent::Requested(_) => (2 * request, Action::Call(claim)),
            ClaimEvent::Decided(_) => (2 * request, Action::Response(claim)),
            ClaimEvent::RecordStarted { .. } => (2 * request + 1, Action::Call(record)),
            ClaimEvent::RecordEnded(_) => (2 * request + 1, Action::Response(record)),
        });
    }
    actions
}

/// Returns whether each key's history is linearizable.
///
/// Crashes, outages, other bodies and claim timeouts are excluded: a request that is refused as not
/// run may leave its claim in the table for a while. That is correct, but not an atomic operation.
/// Commits still have all faults except outages.
fn is_linearizable(variant: ClaimVariant, steps: Vec<ClaimStep>) -> bool {
    let is_kept = |step: &ClaimStep| match step {
        ClaimStep::Kill { .. } => false,
        ClaimStep::Answer { fault, .. } => *fault != TableFault::Unavailable,
        ClaimStep::Request { body, .. } => *body == 0,
        _ => true,
    };
    let steps = steps.into_iter().filter(is_kept).collect::<Vec<_>>();
    let settings = ClaimSettings {
        claim_timeout: Duration::from_secs(1_000_000),
        ..ClaimSettings::default()
    };
    let mut simulation = ClaimSimulation::new(variant, settings);
    simulation.are_reads_reliable = true;
    simulation.run(&steps);
    (0..KEYS).all(|key| {
        let actions = key_history(&simulation, key);
        let has_events = |actions: &Vec<_>| !actions.is_empty();
        let history = Some(actions).filter(has_events).map(History::from_actions);
        history.is_none_or(WGLChecker::<KeySpecification>::is_linearizable)
    })
}

#[test]
fn claim_histories_are_linearizable() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    for schedule in 0..SCHEDULES {
        let steps = Vec::<ClaimStep>::arbitrary(&mut generator);
        let is_linearizable = is_linearizable(ClaimVariant::Correct, steps.clone());
        assert!(is_linearizable, "{schedule}: {steps:?}");
    }
}

#[test]
fn claim_trust_lost_commit_is_not_linearizable() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<ClaimStep>::arbitrary(&mut generator));
    let is_detected = |steps| !is_linearizable(ClaimVariant::TrustLostCommit, steps);
    assert!(schedules.any(is_detected));
}
