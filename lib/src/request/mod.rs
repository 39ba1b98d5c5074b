//! What lives for one request.

pub mod answer;
pub mod attempt;
pub mod caller;
pub mod chat;
pub mod context;
pub mod dispatch;
pub mod handler;
pub mod outcome;
pub mod route;
pub mod routing;
pub mod target_load;
pub mod token_stream;
