//! What lives for a version of the configuration: the environment's document.

pub mod change;
pub mod document;
mod document_values;
pub mod head;
pub mod parse;
pub mod placement_check;
pub mod routes;
pub mod store;
pub mod write;

pub use document_values::MODEL_OPERATION;
