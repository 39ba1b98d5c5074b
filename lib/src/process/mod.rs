//! What lives for the process.
