//! What lives for one request.

pub mod outcome;
