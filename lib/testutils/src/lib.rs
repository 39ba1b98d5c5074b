//! Test helpers: a clock that the test moves, fixed seeds, a network of exchanges, and the
//! checkers of recorded histories.

pub mod claims;
pub mod clock;
pub mod fleet;
pub mod formation;
pub mod head;
pub mod history;
pub mod mesh;
pub mod seeds;
pub mod table;
