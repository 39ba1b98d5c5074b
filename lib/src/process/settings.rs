//! The settings of an entry's process, read from an INI file: names, addresses and bounds.
//!
//! They contain what differs between hosts. Settings for a whole environment are in the
//! environment's document.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use crate::connection::server::ServerSettings;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ini::IniErrors;
use crate::ini::IniReader;
use crate::ini::IniValue;
use crate::ini::SectionReader;
use crate::units::ByteCount;

const TIMEOUT_MIN: Duration = Duration::from_millis(10);
const TIMEOUT_MAX: Duration = Duration::from_secs(60);
const NOTICE_MAX: Duration = Duration::from_secs(300);
const DRAIN_MAX: Duration = Duration::from_secs(3600);
const POLL_MIN: Duration = Duration::from_millis(50);
const POLL_MAX: Duration = Duration::from_secs(5);

/// The settings of an entry's process, read once at the start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// The entry's name, unique in its environment.
    pub entry: EntryId,
    /// The environment that the entry serves.
    pub environment: EnvironmentId,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The addresses of the listeners.
    pub listen: ListenSettings,
    /// The platform's address and the timeout of calls to it.
    pub platform: PlatformSettings,
    /// The seed addresses for finding the other entries.
    pub peers: PeerDiscoverySettings,
    /// Bounds on callers' requests.
    pub callers: CallerSettings,
    /// The poll interval, timeouts and connection age for targets.
    pub targets: TargetSettings,
    /// The time limits of the graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// The least severe level of messages to log.
    pub log_level: LevelFilter,
}

/// The addresses of the listeners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators: liveness, readiness, metrics and status.
    pub operators: SocketAddr,
    /// The address for the state exchange with other entries.
    pub peers: SocketAddr,
    /// The address for requests that other data centres relay.
    pub relay: SocketAddr,
}

/// The platform's address and the timeout of calls to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The platform's address.
    pub address: SocketAddr,
    /// The timeout of a call.
    pub timeout: Duration,
}

/// The seed addresses for finding the other entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerDiscoverySettings {
    /// The state exchange addresses of some entries, of any data centre.
    ///
    /// An address at which no member is known is called again from time to time.
    pub seeds: Vec<SocketAddr>,
}

/// Bounds on callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// Bounds on request heads and concurrent streams.
    pub server: ServerSettings,
    /// The maximum size of a request body.
    pub body_limit: ByteCount,
    /// The timeout for receiving a request body.
    pub body_timeout: Duration,
}

/// The poll interval, timeouts and connection age for targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetSettings {
    /// The interval between polls of a host's report.
    pub poll_interval: Duration,
    /// The timeout of a poll or an order.
    pub control_timeout: Duration,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The maximum age of a connection.
    pub connection_age_limit: Duration,
}

/// The time limits of the graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// How long requests are still accepted after the readiness check fails, so that the load
    /// balancer can notice.
    pub notice: Duration,
    /// How long requests in flight may take to finish after that before they are aborted.
    pub drain_limit: Duration,
}

impl EntrySettings {
    /// Parses the settings; `file` is the name of the file in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniErrors> {
        let mut reader = IniReader::parse(file, text);
        let entry = read_section(&mut reader, "entry", entry_section);
        let listen = read_section(&mut reader, "listen", listen_section);
        let platform = read_section(&mut reader, "platform", platform_section);
        let peers = read_section(&mut reader, "peers", peers_section);
        let callers = read_section(&mut reader, "callers", callers_section);
        let targets = read_section(&mut reader, "targets", targets_section);
        let shutdown = read_section(&mut reader, "shutdown", shutdown_section);
        let log_level = read_section(&mut reader, "log", log_section);
        reader.finish()?;
        // `finish` has already returned an error if a required value is missing or invalid.
        let unreachable_errors = || IniErrors { errors: Vec::new() };
        let names = entry.ok_or_else(unreachable_errors)?;
        Ok(Self {
            entry: names.entry,
            environment: names.environment,
            data_centre: names.data_centre,
            listen: listen.ok_or_else(unreachable_errors)?,
            platform: platform.ok_or_else(unreachable_errors)?,
            peers,
            callers,
            targets,
            shutdown,
            log_level,
        })
    }
}

struct EntryNames {
    entry: EntryId,
    environment: EnvironmentId,
    data_centre: DataCentreId,
}

/// Parses one section with `read` and reports keys that `read` did not request.
pub(crate) fn read_section<F, T>(reader: &mut IniReader, name: &str, read: F) -> T
where
    F: FnOnce(&mut SectionReader) -> T,
{
    let mut section = reader.take_section(name);
    let value = read(&mut section);
    reader.finish_section(section);
    value
}

fn entry_section(section: &mut SectionReader) -> Option<EntryNames> {
    let entry = section.required("name");
    let environment = section.required("environment");
    let data_centre = section.required("data-centre");
    Some(EntryNames {
        entry: entry?,
        environment: environment?,
        data_centre: data_centre?,
    })
}

fn listen_section(section: &mut SectionReader) -> Option<ListenSettings> {
    let callers = section.required("callers");
    let operators = section.required("operators");
    let peers = section.required("peers");
    let relay = section.required("relay");
    Some(ListenSettings {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        relay: relay?,
    })
}

fn platform_section(section: &mut SectionReader) -> Option<PlatformSettings> {
    let address = section.required("address");
    let default = Duration::from_secs(1);
    let timeout = section.optional_in_range_or("timeout", default, TIMEOUT_MIN..=TIMEOUT_MAX);
    Some(PlatformSettings {
        address: address?,
        timeout,
    })
}

fn peers_section(section: &mut SectionReader) -> PeerDiscoverySettings {
    PeerDiscoverySettings {
        seeds: section.optional_or("seeds", Vec::new()),
    }
}

fn callers_section(section: &mut SectionReader) -> CallerSettings {
    let server = ServerSettings::default();
    let stream_limit =
        section.optional_in_range_or("stream-limit", server.stream_limit, 1..=10_000);
    let head_timeout = section.optional_in_range_or(
        "head-timeout",
        server.head_timeout,
        TIMEOUT_MIN..=TIMEOUT_MAX,
    );
    let body_limit = section.optional_or("body-limit", ByteCount(4 * 1024 * 1024));
    let default = Duration::from_secs(10);
    let body_timeout =
        section.optional_in_range_or("body-timeout", default, TIMEOUT_MIN..=TIMEOUT_MAX);
    CallerSettings {
        server: ServerSettings {
            stream_limit,
            head_timeout,
            ..server
        },
        body_limit,
        body_timeout,
    }
}

fn targets_section(section: &mut SectionReader) -> TargetSettings {
    let mut duration = |key: &str, default_ms: u64, min: Duration, max: Duration| {
        section.optional_in_range_or(key, Duration::from_millis(default_ms), min..=max)
    };
    TargetSettings {
        poll_interval: duration("poll-interval", 500, POLL_MIN, POLL_MAX),
        control_timeout: duration("control-timeout", 800, TIMEOUT_MIN, TIMEOUT_MAX),
        connect_timeout: duration("connect-timeout", 500, TIMEOUT_MIN, TIMEOUT_MAX),
        connection_age_limit: duration("connection-age-limit", 60_000, POLL_MIN, DRAIN_MAX),
    }
}

fn shutdown_section(section: &mut SectionReader) -> ShutdownSettings {
    let notice = Duration::from_secs(5);
    let drain_limit = Duration::from_secs(600);
    ShutdownSettings {
        notice: section.optional_in_range_or("notice", notice, Duration::ZERO..=NOTICE_MAX),
        drain_limit: section.optional_in_range_or(
            "drain-limit",
            drain_limit,
            Duration::ZERO..=DRAIN_MAX,
        ),
    }
}

fn log_section(section: &mut SectionReader) -> LevelFilter {
    section.optional_or("level", LevelFilter::Info)
}

impl IniValue for LevelFilter {
    fn expected() -> String {
        String::from("off, error, warn, info, debug or trace")
    }

    fn parse_value(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn format_value(&self) -> String {
        self.to_string().to_lowercase()
    }
}
