//! Fixed seeds, so that every run of a test gives the same verdict.

use quickcheck::Gen;
use quickcheck::QuickCheck;

/// The size of generated cases.
const GEN_SIZE: usize = 64;

/// Returns a `quickcheck` runner with a fixed seed.
pub fn quickcheck_with_seed(seed: u64, tests: u64) -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .tests(tests)
}
