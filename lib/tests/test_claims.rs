//! Tests of claims: non-idempotent work runs at most once, and what callers are told is true.

use std::time::Duration;

use beryltray_lib::request::claim::ClaimDecision;
use beryltray_lib::request::claim::ClaimSettings;
use beryltray_testutils::claims::Ask;
use beryltray_testutils::claims::ClaimEvent;
use beryltray_testutils::claims::ClaimSimulation;
use beryltray_testutils::claims::ClaimStep;
use beryltray_testutils::claims::ClaimVariant;
use beryltray_testutils::claims::KEYS;
use beryltray_testutils::claims::SendResult;
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
    let mut world = ClaimSimulation::new(variant, ClaimSettings::default());
    world.run(steps);
    world
}

fn is_caught(variant: ClaimVariant) -> bool {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<ClaimStep>::arbitrary(&mut generator));
    schedules.any(|steps| run(variant, &steps).violation().is_some())
}

#[test]
fn claim_any_schedule_runs_at_most_once() {
    fn holds(steps: Vec<ClaimStep>) -> bool {
        run(ClaimVariant::Correct, &steps).violation().is_none()
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(holds as fn(Vec<ClaimStep>) -> bool);
}

#[test]
fn claim_any_schedule_tells_each_request() {
    fn holds(steps: Vec<ClaimStep>) -> bool {
        let is_killed = |step: &ClaimStep| matches!(step, ClaimStep::Kill { .. });
        let world = run(ClaimVariant::Correct, &steps);
        steps.iter().any(is_killed) || world.asks.iter().all(|ask| ask.decision.is_some())
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(holds as fn(Vec<ClaimStep>) -> bool);
}

#[test]
fn claim_schedules_reach_every_decision() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut reached = [0; 6];
    for _ in 0..SCHEDULES {
        let steps = Vec::<ClaimStep>::arbitrary(&mut generator);
        let world = run(ClaimVariant::Correct, &steps);
        for decision in world.asks.iter().filter_map(|ask| ask.decision.as_ref()) {
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
    assert!(is_caught(ClaimVariant::SendBeforeClaim));
}

#[test]
fn claim_take_over_abandoned_is_caught() {
    assert!(is_caught(ClaimVariant::TakeOverAbandoned));
}

#[test]
fn claim_trust_lost_commit_is_caught() {
    assert!(is_caught(ClaimVariant::TrustLostCommit));
}

fn ask(entry: usize) -> ClaimStep {
    ClaimStep::Ask {
        entry,
        key: 0,
        body: 0,
    }
}

fn answer(fault: TableFault) -> ClaimStep {
    ClaimStep::Answer { pick: 0, fault }
}

fn gather() -> ClaimStep {
    ClaimStep::Wait {
        delay: ClaimSettings::default().batch_delay,
    }
}

fn count<F>(world: &ClaimSimulation, is_counted: F) -> usize
where
    F: Fn(&ClaimDecision) -> bool,
{
    let decisions = world.asks.iter().filter_map(|ask| ask.decision.as_ref());
    decisions.filter(|decision| is_counted(decision)).count()
}

fn is_granted(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Granted { .. })
}

#[test]
fn claim_same_key_at_three_entries_is_granted_once() {
    let none = || answer(TableFault::None);
    let steps = [ask(0), ask(1), ask(2), gather(), none(), none(), none()];
    let world = run(ClaimVariant::Correct, &steps);
    assert_eq!(count(&world, is_granted), 1);
    let is_in_progress =
        |decision: &ClaimDecision| matches!(decision, ClaimDecision::InProgress { .. });
    assert_eq!(count(&world, is_in_progress), 2);
}

#[test]
fn claim_lost_answer_is_granted_after_reading_back() {
    let steps = [ask(0), gather(), answer(TableFault::LostAnswer)];
    let world = run(ClaimVariant::Correct, &steps);
    assert_eq!(count(&world, is_granted), 1);
    assert!(world.asks[0].has_run);
}

#[test]
fn claim_late_effect_after_giving_up_frees_key() {
    let steps = [
        ask(0),
        gather(),
        answer(TableFault::LateEffect),
        answer(TableFault::LostAnswer),
        ClaimStep::Release,
        ClaimStep::Wait {
            delay: Duration::from_secs(3),
        },
        answer(TableFault::None),
        gather(),
        answer(TableFault::None),
        ask(1),
    ];
    let world = run(ClaimVariant::Correct, &steps);
    let first = world.asks[0].decision.clone();
    assert!(
        matches!(first, Some(ClaimDecision::NotRun { .. })),
        "{first:?}"
    );
    assert_eq!(world.asks[1].decision.as_ref().map(is_granted), Some(true));
}

/// Kills the entry after each number of steps of a claim's life, and asks another entry then.
#[test]
fn claim_killed_at_each_point_is_never_run_twice() {
    let life = [
        ask(0),
        gather(),
        answer(TableFault::None),
        ClaimStep::Send {
            pick: 0,
            result: SendResult::Answered,
        },
        answer(TableFault::None),
    ];
    for killed_after in 0..=life.len() {
        for fault in [
            TableFault::None,
            TableFault::LostAnswer,
            TableFault::LateEffect,
        ] {
            let mut steps = life[..killed_after].to_vec();
            let faulty = steps
                .get_mut(2)
                .filter(|step| matches!(step, ClaimStep::Answer { .. }));
            if let Some(step) = faulty {
                *step = answer(fault);
            }
            steps.extend([
                ClaimStep::Kill { entry: 0 },
                ClaimStep::Release,
                ask(1),
                gather(),
            ]);
            let world = run(ClaimVariant::Correct, &steps);
            assert_eq!(
                world.violation(),
                None,
                "killed after {killed_after}, {fault:?}"
            );
        }
    }
}

/// What happens to a key, seen by all entries.
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
            // "In progress" and "not run" speak of a request at the same entry, not of the row.
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

/// Turns the events of a key into a history; each operation is a process of its own.
fn key_history(world: &ClaimSimulation, key: u8) -> Vec<(usize, Action<KeyOperation>)> {
    let mut actions = Vec::new();
    let mut results = vec![SendResult::Lost; world.asks.len()];
    for event in &world.events {
        let (ClaimEvent::Asked(ask)
        | ClaimEvent::Told(ask)
        | ClaimEvent::RecordBegan { ask, .. }
        | ClaimEvent::RecordEnded(ask)) = event;
        let Ask {
            key: of, decision, ..
        } = &world.asks[*ask];
        if *of != key {
            continue;
        }
        let claim = KeyOperation::Claim(decision.clone());
        if let ClaimEvent::RecordBegan { result, .. } = event {
            results[*ask] = *result;
        }
        let record = KeyOperation::Record(results[*ask]);
        actions.push(match event {
            ClaimEvent::Asked(_) => (2 * ask, Action::Call(claim)),
            ClaimEvent::Told(_) => (2 * ask, Action::Response(claim)),
            ClaimEvent::RecordBegan { .. } => (2 * ask + 1, Action::Call(record)),
            ClaimEvent::RecordEnded(_) => (2 * ask + 1, Action::Response(record)),
        });
    }
    actions
}

/// Returns whether each key's history is linearizable.
///
/// Kills and outages are left out, and requests wait as long as it takes: "not run" may leave a claim
/// behind for a while, which is honest but no atomic operation. Commits still meet every lost answer.
fn is_linearizable(variant: ClaimVariant, steps: Vec<ClaimStep>) -> bool {
    let is_kept = |step: &ClaimStep| match step {
        ClaimStep::Kill { .. } => false,
        ClaimStep::Answer { fault, .. } => *fault != TableFault::Unavailable,
        ClaimStep::Ask { body, .. } => *body == 0,
        _ => true,
    };
    let steps = steps.into_iter().filter(is_kept).collect::<Vec<_>>();
    let settings = ClaimSettings {
        claim_timeout: Duration::from_secs(1_000_000),
        ..ClaimSettings::default()
    };
    let mut world = ClaimSimulation::new(variant, settings);
    world.are_reads_reliable = true;
    world.run(&steps);
    (0..KEYS).all(|key| {
        let actions = key_history(&world, key);
        let is_whole = |actions: &Vec<_>| !actions.is_empty();
        let history = Some(actions).filter(is_whole).map(History::from_actions);
        history.is_none_or(WGLChecker::<KeySpecification>::is_linearizable)
    })
}

#[test]
fn claim_histories_are_linearizable() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    for schedule in 0..SCHEDULES {
        let steps = Vec::<ClaimStep>::arbitrary(&mut generator);
        let is_held = is_linearizable(ClaimVariant::Correct, steps.clone());
        assert!(is_held, "{schedule}: {steps:?}");
    }
}

#[test]
fn claim_trust_lost_commit_is_not_linearizable() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<ClaimStep>::arbitrary(&mut generator));
    let is_caught = |steps| !is_linearizable(ClaimVariant::TrustLostCommit, steps);
    assert!(schedules.any(is_caught));
}
