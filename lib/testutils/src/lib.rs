//! Test helpers: a manual clock, fixed seeds, simulations, an in-memory platform with fault
//! injection, and checkers of recorded histories.

pub mod claims;
pub mod clock;
pub mod fleet;
pub mod formation;
pub mod handover;
pub mod head;
pub mod history;
pub mod mesh;
pub mod seeds;
pub mod table;
