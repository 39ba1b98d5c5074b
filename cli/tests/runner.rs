//! The integration tests, built as one binary.

mod cluster;
mod gateway_process;
#[allow(
    dead_code,
    reason = "the tests of the platform adapter use the other parts"
)]
#[path = "../../platform/tests/large_configuration.rs"]
mod large_configuration;
#[path = "../../platform/tests/paced_target.rs"]
mod paced_target;
#[allow(
    dead_code,
    reason = "the tests of the platform adapter use the other parts"
)]
#[path = "../../platform/tests/slow_link.rs"]
mod slow_link;
#[allow(
    dead_code,
    reason = "the tests of the platform adapter use the other parts"
)]
#[path = "../../platform/tests/stand_in.rs"]
mod stand_in;
mod test_answer_soak;
mod test_callers;
mod test_check_history_command;
mod test_config_command;
mod test_configuration_storm_soak;
mod test_departed_targets;
mod test_docs;
mod test_entry_command;
mod test_entry_signals;
mod test_experiment_command;
mod test_gateway_soak;
mod test_late_requests;
mod test_load_command;
mod test_log_lines;
mod test_lost_history_soak;
mod test_odd_rows_soak;
mod test_promises;
mod test_stand_in_command;
mod test_statement_soak;
mod test_streams;
mod test_uncontrolled_clients;
