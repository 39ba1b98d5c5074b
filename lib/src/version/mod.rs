//! The versioned configuration of an environment: its document, and how versions are parsed,
//! stored, changed and followed.

pub mod change;
pub mod document;
mod document_values;
pub mod head;
pub mod parse;
pub mod placement_check;
pub mod routes;
pub mod shown;
pub mod store;
pub mod write;

pub use document_values::MODEL_OPERATION;
