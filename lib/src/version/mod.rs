//! What lives for a version of the configuration: the environment's document.

pub mod document;
