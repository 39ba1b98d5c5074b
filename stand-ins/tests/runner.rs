//! Runner of the integration tests.
