//! The settings of a gateway's process.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ini::IniErrors;
use crate::ini::IniReader;
use crate::ini::SectionReader;
use crate::process::formation::FormationSettings;
use crate::process::settings::read_section;
use crate::request::pace::PaceSettings;
use crate::units::Allowance;
use crate::units::AllowedShare;
use crate::units::CoreShare;
use crate::units::Share;
use crate::units::TimeLimit;
use crate::units::WaitTime;

const TIME_MIN: Duration = Duration::from_millis(1);
/// The longest wait or window that a setting may give.
const WAIT_MAX: Duration = Duration::from_secs(24 * 3600);
/// The longest time to stop that is used; a longer setting counts as this one.
const STOP_LIMIT_MAX: Duration = Duration::from_secs(3600);
/// The most free retries that are used; a higher setting counts as this one.
const FREE_RETRIES_MAX: u32 = 1_000_000;
/// The time to stop without a setting.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// The time within which a change of the configuration must be in force, without a setting.
const CONFIGURATION_IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// The memory of the machine without a setting: that of the smallest one in use.
const MEMORY_MB: u32 = 112;
const MEGABYTE_BYTES: usize = 1_000_000;
/// The divisor of the machine's memory that gives the budget for the bodies of requests. A quarter each
/// is meant for them, for connections, for answers, and for what the process needs at rest.
const BODY_BUDGET_DIVISOR: usize = 4;
/// The free retries without a setting.
const FREE_RETRIES: u32 = 130;

/// The settings of a gateway's process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The entry's name.
    pub entry: EntryId,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// Where the process listens.
    pub listen: GatewayListen,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The processor time that the process may use. Entries with more of it are preferred for the
    /// duties that one entry performs for all.
    pub processor: CoreShare,
    /// The memory of the machine, from which the limits on what callers can make the process hold are
    /// derived.
    pub memory_bytes: usize,
    /// Whether the whole system starts for the first time. Until the first request, the weight
    /// store then does not count loads.
    pub is_first_start: bool,
    /// The time within which a change of the configuration must be in force everywhere. An entry whose
    /// configuration was confirmed longer ago does not tell callers that a route or key is unknown.
    pub configuration_in_force_within: Duration,
    /// The settings of group formation.
    pub formation: FormationSettings,
    /// The settings of the pace of new and recovered targets.
    pub pace: PaceSettings,
    /// The limits of retries, for all entries together.
    pub retry: RetryLimits,
    /// The time from SIGTERM until the process is killed.
    pub stop_limit: Duration,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Where the process listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness probe of the balancer.
    pub readiness: SocketAddr,
    /// The address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// The address for peers, for both streams and datagrams.
    pub peers: SocketAddr,
}

/// The limits of retries, for all entries together.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryLimits {
    /// The retries allowed as a share of the requests.
    pub share: Share,
    /// The window in which requests and retries are counted.
    pub window: Duration,
    /// The retries allowed in a window beyond the share, for all entries together.
    pub free_retries: u32,
}

impl GatewaySettings {
    /// Parses the settings. `file` is the file name in error messages; the error lists everything
    /// that is wrong in `text`.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniErrors> {
        let mut reader = IniReader::parse(file, text);
        let entry_values = read_section(&mut reader, "entry", |s| {
            let first_start = s.optional_or("first-start", false);
            let processor = s.optional_or("processor", CoreShare::default());
            let name = s.required("name");
            let data_centre = s.required("data-centre");
            let memory_mb = Allowance { count: MEMORY_MB };
            let memory_mb = match s.optional_or("memory-mb", memory_mb).count {
                // Zero gives no memory.
                0 => MEMORY_MB,
                memory_mb => memory_mb,
            };
            let memory_bytes = MEGABYTE_BYTES.saturating_mul(memory_mb as usize);
            Some((name?, data_centre?, first_start, processor, memory_bytes))
        });
        let listen = read_section(&mut reader, "listen", listen_section);
        let platform = read_section(&mut reader, "platform", |s| {
            // The command line has already selected this settings format by this value.
            let _interface: String = s.optional_or("interface", String::new());
            s.required("address")
        });
        let configuration_in_force_within = read_section(&mut reader, "configuration", |s| {
            let default = TimeLimit(CONFIGURATION_IN_FORCE_WITHIN);
            let within = s.optional_or("in-force-within", default).0;
            // Zero gives no time.
            if within.is_zero() { default.0 } else { within }
        });
        let formation = read_section(&mut reader, "formation", formation_section);
        let pace = read_section(&mut reader, "targets", |s| PaceSettings {
            is_enabled: s.optional_or("pace", false),
        });
        let retry = read_section(&mut reader, "retry", retry_section);
        let stop_limit = read_section(&mut reader, "shutdown", |s| {
            let limit = s.optional_or("limit", TimeLimit(STOP_LIMIT));
            limit.0.clamp(TIME_MIN, STOP_LIMIT_MAX)
        });
        let log_level = read_section(&mut reader, "log", |s| {
            s.optional_or("level", LevelFilter::Info)
        });
        reader.finish()?;
        // `finish` has already reported all required values that are missing or invalid.
        let already_reported = || IniErrors { errors: Vec::new() };
        let (entry, data_centre, is_first_start, processor, memory_bytes) =
            entry_values.ok_or_else(already_reported)?;
        Ok(Self {
            entry,
            data_centre,
            listen: listen.ok_or_else(already_reported)?,
            platform: platform.ok_or_else(already_reported)?,
            processor,
            memory_bytes,
            is_first_start,
            configuration_in_force_within,
            formation,
            pace,
            retry,
            stop_limit,
            log_level,
        })
    }

    /// Returns the bytes of the budget for the bodies of requests.
    pub fn body_budget_bytes(&self) -> usize {
        self.memory_bytes / BODY_BUDGET_DIVISOR
    }
}

fn listen_section(section: &mut SectionReader) -> Option<GatewayListen> {
    let callers = section.required("callers");
    let readiness = section.required("readiness");
    let peers = section.required("peers");
    let metrics = section.optional("metrics");
    Some(GatewayListen {
        callers: callers?,
        readiness: readiness?,
        metrics,
        peers: peers?,
    })
}

fn formation_section(section: &mut SectionReader) -> FormationSettings {
    let default = FormationSettings::default();
    FormationSettings {
        load_window: wait_time(section, "load-window", default.load_window),
        stall_time: wait_time(section, "stall-time", default.stall_time),
        ..default
    }
}

fn retry_section(section: &mut SectionReader) -> RetryLimits {
    // The users' current limits.
    let window = Duration::from_secs(10);
    let share = AllowedShare(Share::from_percent(20));
    let free_retries = Allowance {
        count: FREE_RETRIES,
    };
    RetryLimits {
        share: section.optional_or("share", share).0,
        window: wait_time(section, "window", window),
        free_retries: section
            .optional_or("free-sends", free_retries)
            .count
            .min(FREE_RETRIES_MAX),
    }
}

/// Reads a time for which something is counted or waited for. Zero gives no time, so the default is
/// used.
fn wait_time(section: &mut SectionReader, key: &str, default: Duration) -> Duration {
    let range = WaitTime(Duration::ZERO)..=WaitTime(WAIT_MAX);
    let time = section.optional_in_range_or(key, WaitTime(default), range);
    if time.0.is_zero() { default } else { time.0 }
}
