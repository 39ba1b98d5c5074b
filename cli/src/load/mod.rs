//! The load tool: arrivals that do not wait for answers, and what became of them.

pub(crate) mod arrivals;
pub(crate) mod balancer;
pub(crate) mod caller;
pub(crate) mod report;
pub(crate) mod runner;
pub(crate) mod spec;
