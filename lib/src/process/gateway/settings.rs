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
use crate::units::CoreShare;
use crate::units::Share;

const TIME_MIN: Duration = Duration::from_millis(1);
const TIME_MAX: Duration = Duration::from_secs(3600);
/// The most further sends that an environment can allow without requests.
const FREE_SENDS_MAX: u32 = 1_000_000;

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
    /// The processor time that the process may use. Work for all entries goes to those with more.
    pub processor: CoreShare,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// How group formation is bounded.
    pub formation: FormationSettings,
    /// How many further sends all entries together may make.
    pub retry: RetrySlack,
    /// How long after SIGTERM the process is killed.
    pub stop_limit: Duration,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Where the process listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address at which the balancer asks whether the entry is ready.
    pub readiness: SocketAddr,
    /// The address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// The address for the other entries.
    pub peers: SocketAddr,
}

/// How many further sends all entries together may make.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySlack {
    /// The share of the requests.
    pub share: Share,
    /// The window in which both are counted.
    pub window: Duration,
    /// The further sends allowed beyond the share, over all entries.
    pub free_sends: u32,
}

impl GatewaySettings {
    /// Reads the settings; `file` names the text in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniErrors> {
        let mut reader = IniReader::parse(file, text);
        let names = read_section(&mut reader, "entry", |s| {
            let first_start = s.optional_or("first-start", false);
            let processor = s.optional_or("processor", CoreShare::default());
            let name = s.required("name");
            let data_centre = s.required("data-centre");
            Some((name?, data_centre?, first_start, processor))
        });
        let listen = read_section(&mut reader, "listen", listen_section);
        let platform = read_section(&mut reader, "platform", |s| {
            // The command has chosen by it already.
            let _interface: String = s.optional_or("interface", String::new());
            s.required("address")
        });
        let formation = read_section(&mut reader, "formation", formation_section);
        let retry = read_section(&mut reader, "retry", retry_section);
        let stop_limit = read_section(&mut reader, "shutdown", |s| {
            s.optional_in_range_or("limit", Duration::from_secs(8), TIME_MIN..=TIME_MAX)
        });
        let log_level = read_section(&mut reader, "log", |s| {
            s.optional_or("level", LevelFilter::Info)
        });
        reader.finish()?;
        // A required value that can't be read has been reported, so none is missing here.
        let none_missing = || IniErrors { errors: Vec::new() };
        let (entry, data_centre, is_first_start, processor) = names.ok_or_else(none_missing)?;
        Ok(Self {
            entry,
            data_centre,
            listen: listen.ok_or_else(none_missing)?,
            platform: platform.ok_or_else(none_missing)?,
            processor,
            is_first_start,
            formation,
            retry,
            stop_limit,
            log_level,
        })
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
    let range = TIME_MIN..=TIME_MAX;
    FormationSettings {
        load_window: section.optional_in_range_or(
            "load-window",
            default.load_window,
            range.clone(),
        ),
        stall_time: section.optional_in_range_or("stall-time", default.stall_time, range),
        ..default
    }
}

fn retry_section(section: &mut SectionReader) -> RetrySlack {
    // The users' present bounds.
    let window = Duration::from_secs(10);
    RetrySlack {
        share: section.optional_or("share", Share::from_percent(20)),
        window: section.optional_in_range_or("window", window, TIME_MIN..=TIME_MAX),
        free_sends: section.optional_in_range_or("free-sends", 130, 0..=FREE_SENDS_MAX),
    }
}
