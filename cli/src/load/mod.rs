//! The open-loop load generator of `beryltray load` and `beryltray demo`.

pub(crate) mod arrivals;
pub(crate) mod balancer;
pub(crate) mod caller;
pub(crate) mod report;
pub(crate) mod runner;
pub(crate) mod spec;
