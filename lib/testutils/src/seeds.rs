//! Fixed seeds, so that every run of a test gives the same verdict.
//!
//! `tools/explore` runs the same tests from other seeds: it sets [`SEED_VARIABLE`], whose value is
//! mixed into every seed, and [`TESTS_VARIABLE`], which bounds the schedules of each test.

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// The environment variable whose value is mixed into the seeds.
pub const SEED_VARIABLE: &str = "BERYLTRAY_EXPLORE_SEED";
/// The environment variable that bounds the generated cases of each test.
pub const TESTS_VARIABLE: &str = "BERYLTRAY_EXPLORE_TESTS";

/// The size of generated cases.
const GEN_SIZE: usize = 64;
/// An odd number whose multiples spread the explored seeds.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns a `quickcheck` runner with a fixed seed.
pub fn quickcheck_with_seed(seed: u64, tests: u64) -> QuickCheck {
    let explored = number_of(SEED_VARIABLE).unwrap_or_default();
    let seed = seed ^ explored.wrapping_mul(SEED_STEP);
    let tests = number_of(TESTS_VARIABLE).map_or(tests, |most| tests.min(most));
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .tests(tests)
}

fn number_of(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
