//! What lives for one request.

pub mod outcome;
pub mod route;
pub mod routing;
pub mod target_load;
