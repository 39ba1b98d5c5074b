//! What lives for one request.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod caller;
pub mod chat;
pub mod claim;
pub mod context;
pub mod dispatch;
pub mod fair_queue;
pub mod forward;
pub mod handler;
pub mod keyed;
pub mod outcome;
pub mod permit;
pub mod plain;
pub mod relay;
pub mod retry;
pub mod route;
pub mod routing;
pub mod stream;
pub mod target_load;
pub mod token_bucket;
pub mod token_stream;
pub mod whole;
