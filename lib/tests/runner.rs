//! Runner of the library's integration tests.

mod test_connection;
mod test_lease;
mod test_presence;
mod test_units;
