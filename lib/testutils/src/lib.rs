//! Test helpers: a clock that the test moves, and fixed seeds for generated cases.

pub mod clock;
pub mod seeds;
pub mod table;
