//! The integration tests, built as one binary.

mod cluster;
mod test_callers;
mod test_check_history_command;
mod test_config_command;
mod test_docs;
mod test_entry_command;
mod test_experiment_command;
mod test_load_command;
mod test_promises;
mod test_stand_in_command;
mod test_streams;
