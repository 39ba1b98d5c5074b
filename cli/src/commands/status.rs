//! `beryltray status`: prints the status that entries report.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use beryltray_lib::process::status::EntryStatus;
use clap::Args;
use comfy_table::Table;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;

use super::load::OutputFormat;
use crate::entry_client::StatusError;
use crate::entry_client::read_status;

/// The timeout for connecting to an entry, and for reading its response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The exit code if at least one entry did not answer.
const EXIT_CODE_NO_ANSWER: u8 = 1;

/// Why the statuses could not be printed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StatusCommandError {
    /// Encoding the statuses as JSON failed.
    #[display("can't encode the statuses as JSON: {_0}. Hint: leave --format out")]
    Json(serde_json::Error),
}

/// Shows the entries, their versions in force, their groups, and why a group gets no requests.
///
/// Each entry is queried separately, so that the tables show where entries differ: an entry with an
/// older version in force, or a group that is closed at one entry and open at the others.
///
/// Exit codes: 0 every entry answered; 1 an entry did not answer.
#[derive(Args, Debug)]
pub(crate) struct StatusArgs {
    /// The operators' address of an entry; may be repeated.
    #[arg(long, value_name = "IP:PORT", required = true)]
    entry: Vec<SocketAddr>,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
}

/// The status of one entry, or the error if it could not be read; exactly one is set.
#[derive(Debug, Serialize)]
struct StatusAnswer {
    address: SocketAddr,
    status: Option<EntryStatus>,
    error: Option<String>,
}

impl StatusArgs {
    /// Queries the entries one after another and prints the results.
    pub(crate) async fn run(self) -> Result<ExitCode, StatusCommandError> {
        let mut answers = Vec::new();
        for address in self.entry {
            answers.push(query(address).await);
        }
        match self.format {
            OutputFormat::Json => println!("{}", serde_json::to_string_pretty(&answers)?),
            OutputFormat::Table => print_tables(&answers),
        }
        let has_every_entry_answered = answers.iter().all(|answer| answer.status.is_some());
        if has_every_entry_answered {
            Ok(ExitCode::SUCCESS)
        } else {
            Ok(ExitCode::from(EXIT_CODE_NO_ANSWER))
        }
    }
}

async fn query(address: SocketAddr) -> StatusAnswer {
    let result: Result<EntryStatus, StatusError> = read_status(address, TIMEOUT).await;
    match result {
        Ok(status) => StatusAnswer {
            address,
            status: Some(status),
            error: None,
        },
        Err(error) => StatusAnswer {
            address,
            status: None,
            error: Some(error.to_string()),
        },
    }
}

fn print_tables(answers: &[StatusAnswer]) {
    println!("Entries\n{}", entry_table(answers));
    println!("\nServices\n{}", service_table(answers));
    println!("\nGroups\n{}", group_table(answers));
    println!(
        "\nHosts that are late, leaving or out of reach\n{}",
        host_table(answers)
    );
    println!(
        "\nOther entries, as each sees them\n{}",
        member_table(answers)
    );
    for answer in answers {
        if let Some(error) = &answer.error {
            println!("\n{} did not answer: {error}", answer.address);
        }
    }
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(header);
    table
}

fn or_dash<T>(value: Option<T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| String::from("-"), |value| value.to_string())
}

fn statuses(answers: &[StatusAnswer]) -> impl Iterator<Item = &EntryStatus> {
    answers.iter().filter_map(|answer| answer.status.as_ref())
}

fn entry_table(answers: &[StatusAnswer]) -> Table {
    let mut table = table(&[
        "entry",
        "data centre",
        "stage",
        "version",
        "in flight",
        "platform",
        "lease",
        "not ready",
    ]);
    for status in statuses(answers) {
        let platform = if status.is_platform_reached {
            "reached"
        } else {
            "cut off"
        };
        let lease = status
            .lease
            .as_ref()
            .map(|lease| format!("{} epoch {}", lease.holder, lease.epoch));
        table.add_row([
            status.entry.to_string(),
            status.data_centre.to_string(),
            status.stage.to_string(),
            or_dash(status.document_version),
            status.in_flight_requests.to_string(),
            platform.to_owned(),
            or_dash(lease),
            or_dash(status.not_ready_because.as_ref()),
        ]);
    }
    table
}

fn service_table(answers: &[StatusAnswer]) -> Table {
    let mut table = table(&[
        "entry",
        "service",
        "queued",
        "groups",
        "open groups",
        "hosts",
    ]);
    for status in statuses(answers) {
        for service in &status.services {
            let open = service.groups.iter().filter(|group| group.is_open).count();
            table.add_row([
                status.entry.to_string(),
                service.service.to_string(),
                service.queued_requests.to_string(),
                service.groups.len().to_string(),
                open.to_string(),
                service.hosts.len().to_string(),
            ]);
        }
    }
    table
}

fn group_table(answers: &[StatusAnswer]) -> Table {
    let mut table = table(&["entry", "group", "generation", "members", "spares", "gate"]);
    for status in statuses(answers) {
        for group in status.services.iter().flat_map(|service| &service.groups) {
            let names = |hosts: &[beryltray_lib::ids::HostId]| {
                let names: Vec<&str> = hosts.iter().map(|host| host.as_str()).collect();
                names.join(" ")
            };
            let gate = match &group.closed_because {
                None => String::from("open"),
                Some(reason) => format!("closed: {reason}"),
            };
            table.add_row([
                status.entry.to_string(),
                group.group.to_string(),
                group.generation.to_string(),
                names(&group.members),
                names(&group.reserved_spares),
                gate,
            ]);
        }
    }
    table
}

/// A host whose last report is older than this, in milliseconds, is shown as late.
const LATE_REPORT_AGE_MS: u64 = 2000;

fn host_table(answers: &[StatusAnswer]) -> Table {
    let mut table = table(&["entry", "host", "report age", "state"]);
    for status in statuses(answers) {
        for host in status.services.iter().flat_map(|service| &service.hosts) {
            let is_late = host
                .report_age_ms
                .is_none_or(|age| age > LATE_REPORT_AGE_MS);
            let state = match (host.is_leaving, host.is_unreachable, is_late) {
                (true, _, _) => "leaving",
                (false, true, _) => "out of reach",
                (false, false, true) => "late",
                (false, false, false) => continue,
            };
            table.add_row([
                status.entry.to_string(),
                host.host.to_string(),
                or_dash(host.report_age_ms.map(|age| format!("{age} ms"))),
                state.to_owned(),
            ]);
        }
    }
    table
}

fn member_table(answers: &[StatusAnswer]) -> Table {
    let mut table = table(&[
        "entry",
        "sees",
        "data centre",
        "state",
        "silent for",
        "version",
    ]);
    for status in statuses(answers) {
        for member in &status.members {
            table.add_row([
                status.entry.to_string(),
                member.entry.to_string(),
                member.data_centre.to_string(),
                member.state.clone(),
                format!("{} ms", member.silence_ms),
                or_dash(member.document_version),
            ]);
        }
    }
    table
}
