//! Runner of the library's integration tests.

mod test_connection;
mod test_exchange;
mod test_membership;
mod test_units;
