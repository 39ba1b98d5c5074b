//! Fixed seeds, so that every run of a test generates the same cases.
//!
//! `tools/explore` runs the same tests with other seeds: it sets [`SEED_VARIABLE`], whose value is
//! mixed into every seed, and [`TESTS_VARIABLE`], which bounds the cases of each test.

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// The environment variable whose value, an unsigned number, is mixed into the seeds.
pub const SEED_VARIABLE: &str = "BERYLTRAY_EXPLORE_SEED";
/// The environment variable that bounds the number of generated cases of each test.
pub const TESTS_VARIABLE: &str = "BERYLTRAY_EXPLORE_TESTS";

/// The size parameter of `quickcheck`, which bounds the generated values.
const GEN_SIZE: usize = 64;
/// An odd factor that spreads consecutive values of [`SEED_VARIABLE`] over all seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns a `quickcheck` runner with a fixed seed that runs `tests` cases.
///
/// [`SEED_VARIABLE`] changes the seed and [`TESTS_VARIABLE`] lowers the number of cases.
pub fn quickcheck_with_seed(seed: u64, tests: u64) -> QuickCheck {
    let seed = seed ^ extra_seed().wrapping_mul(SEED_MULTIPLIER);
    let tests = env_number(TESTS_VARIABLE).map_or(tests, |max_tests| tests.min(max_tests));
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .tests(tests)
}

/// Returns the value of [`SEED_VARIABLE`], or 0 without one.
pub fn extra_seed() -> u64 {
    env_number(SEED_VARIABLE).unwrap_or_default()
}

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
