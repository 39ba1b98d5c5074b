//! Runner of the integration tests.
mod test_load_command;
mod test_stand_in_command;
