//! Test helpers: a clock that the test moves, fixed seeds, and a network of exchanges.

pub mod clock;
pub mod mesh;
pub mod seeds;
pub mod table;
