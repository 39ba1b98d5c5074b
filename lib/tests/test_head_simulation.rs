//! Tests of several entries that follow one head despite network partitions, restarts and platform
//! restores.

use beryltray_testutils::head::HeadSimulation;
use beryltray_testutils::head::HeadStep;
use beryltray_testutils::seeds::quickcheck_with_seed;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const SEED: u64 = 0x574f_524c;
const SCHEDULES: u64 = 1000;
const SCHEDULE_SIZE: usize = 64;

fn holds(is_writing_back: bool, steps: &[HeadStep]) -> bool {
    let mut simulation = HeadSimulation::new(is_writing_back);
    simulation.run(steps);
    simulation.converges_to_highest() && !simulation.has_reverted
}

#[test]
fn head_simulation_any_schedule_converges_and_never_reverts() {
    fn property(steps: Vec<HeadStep>) -> bool {
        holds(true, &steps)
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(property as fn(Vec<HeadStep>) -> bool);
}

#[test]
fn head_simulation_without_restore_converges_to_last_accepted() {
    fn property(steps: Vec<HeadStep>) -> bool {
        let is_kept = |step: &HeadStep| !matches!(step, HeadStep::Restore(_));
        let steps = steps.into_iter().filter(is_kept).collect::<Vec<_>>();
        let mut simulation = HeadSimulation::new(true);
        simulation.run(&steps);
        simulation.heal();
        let last = simulation.accepted.last().cloned();
        simulation.marks().into_iter().all(|mark| mark == last)
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(property as fn(Vec<HeadStep>) -> bool);
}

#[test]
fn head_simulation_without_write_back_is_caught() {
    let mut generator = Gen::from_size_and_seed(SCHEDULE_SIZE, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<HeadStep>::arbitrary(&mut generator));
    assert!(schedules.any(|steps| !holds(false, &steps)));
}
