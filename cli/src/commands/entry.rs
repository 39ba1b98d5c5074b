//! `beryltray entry`: the daemon on an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use beryltray_lib::clock::BootTimeClock;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::pool::ConnectionPool;
use beryltray_lib::connection::pool::PoolSettings;
use beryltray_lib::ini::IniErrors;
use beryltray_lib::platform::http::HttpPlatform;
use beryltray_lib::process::entry::EntryError;
use beryltray_lib::process::entry::ShutdownTokens;
use beryltray_lib::process::entry::run_entry;
use beryltray_lib::process::gateway::GatewayError;
use beryltray_lib::process::gateway::GatewayListeners;
use beryltray_lib::process::gateway::GatewaySettings;
use beryltray_lib::process::gateway::run_gateway;
use beryltray_lib::process::settings::EntrySettings;
use beryltray_lib::target::http::HttpTargetClient;
use beryltray_platform::callers::HttpCallerProtocol;
use beryltray_platform::store::StoreClient;
use beryltray_platform::targets::TargetControlClient;
use clap::Args;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use log::LevelFilter;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Why an entry did not start, or failed while running.
#[derive(Debug, Display, Error, From)]
pub(crate) enum EntryCommandError {
    /// Reading the settings file failed.
    #[display("can't read {}: {source}. Hint: check the path after --settings", path.display())]
    #[from(skip)]
    SettingsFile {
        /// The path after `--settings`.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings are invalid.
    Settings(IniErrors),
    /// An entry with the HTTP interface failed.
    Entry(EntryError),
    /// An entry with the tables interface failed.
    Gateway(GatewayError),
    /// The boot-time clock can't be read or a signal handler can't be installed.
    #[display(
        "can't read the boot-time clock or handle a signal: {_0}. \
         Hint: check what the operating system permits"
    )]
    System(std::io::Error),
}

/// Runs an entry: the daemon that accepts requests from callers, routes them to targets, and takes its
/// share of the control work of its data centre.
///
/// SIGTERM or SIGINT shuts the process down gracefully: /ready turns false, new requests are still
/// served until the load balancer has noticed, then the listener closes and the requests in flight
/// are completed. Further SIGTERMs change nothing. A second SIGINT ends the process at once.
///
/// SIGHUP reads the settings file again. Only the log level changes at once; the log says whether
/// other changes need a restart.
///
/// Exit codes: 0 shut down by a signal; 2 the settings are invalid, an address is in use, or the entry
/// failed.
#[derive(Args, Debug)]
pub(crate) struct EntryArgs {
    /// The INI file with the process's settings; docs/operating/settings.md lists the keys.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// The section and key of a settings file that select the interface of the platform.
const INTERFACE_SECTION: &str = "[platform]";
const INTERFACE_KEY: &str = "interface";
/// The value for the users' common platform, which keeps routes and targets in tables.
const INTERFACE_TABLES: &str = "tables";

impl EntryArgs {
    fn read_settings(&self) -> Result<String, EntryCommandError> {
        let text = std::fs::read_to_string(&self.settings);
        text.map_err(|source| EntryCommandError::SettingsFile {
            path: self.settings.clone(),
            source,
        })
    }

    /// Runs the entry until a signal stops it or it fails.
    pub(crate) async fn run(self) -> Result<ExitCode, EntryCommandError> {
        let text = self.read_settings()?;
        let file = self.settings.display().to_string();
        let shutdown = ShutdownTokens::default();
        let signals = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        );
        let reloads = signal(SignalKind::hangup())?;
        tokio::spawn(forward_signals(signals, shutdown.clone()));
        if is_tables_interface(&text) {
            let settings = GatewaySettings::parse(&file, &text)?;
            limit_log_level(settings.log_level);
            tokio::spawn(reload_on_hangup(self.settings, settings.clone(), reloads));
            run_tables_entry(settings, shutdown).await?;
        } else {
            let settings = EntrySettings::parse(&file, &text)?;
            limit_log_level(settings.log_level);
            tokio::spawn(reload_on_hangup(self.settings, settings.clone(), reloads));
            run_http_entry(settings, shutdown).await?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns whether the settings select [`INTERFACE_TABLES`].
///
/// This is read before the settings are parsed, since the two interfaces have different settings.
fn is_tables_interface(text: &str) -> bool {
    let mut section = "";
    text.lines().map(str::trim).any(|line| {
        if line.starts_with('[') {
            section = line;
        }
        let value = line
            .split_once('=')
            .filter(|(key, _)| key.trim() == INTERFACE_KEY);
        section == INTERFACE_SECTION && value.is_some_and(|(_, v)| v.trim() == INTERFACE_TABLES)
    })
}

/// The settings of a process that reads them again on SIGHUP.
trait ReloadableSettings: PartialEq + Sized {
    fn parse(file: &str, text: &str) -> Result<Self, IniErrors>;

    fn log_level(&self) -> LevelFilter;

    fn set_log_level(&mut self, level: LevelFilter);
}

impl ReloadableSettings for GatewaySettings {
    fn parse(file: &str, text: &str) -> Result<Self, IniErrors> {
        Self::parse(file, text)
    }

    fn log_level(&self) -> LevelFilter {
        self.log_level
    }

    fn set_log_level(&mut self, level: LevelFilter) {
        self.log_level = level;
    }
}

impl ReloadableSettings for EntrySettings {
    fn parse(file: &str, text: &str) -> Result<Self, IniErrors> {
        Self::parse(file, text)
    }

    fn log_level(&self) -> LevelFilter {
        self.log_level
    }

    fn set_log_level(&mut self, level: LevelFilter) {
        self.log_level = level;
    }
}

/// Reloads the settings on each SIGHUP.
///
/// Only the log level changes at once. The other settings are addresses and bounds that are fixed for
/// the lifetime of the process; the log line reports whether a change of them needs a restart.
async fn reload_on_hangup<S>(path: PathBuf, mut current: S, mut reloads: Signal)
where
    S: ReloadableSettings,
{
    let file = path.display().to_string();
    while reloads.recv().await.is_some() {
        let text = match tokio::fs::read_to_string(&path).await {
            Ok(text) => text,
            Err(error) => {
                log::error!(file = file.as_str(); "settings can't be read; current ones stay in use: {error}");
                continue;
            }
        };
        match S::parse(&file, &text) {
            Ok(settings) => {
                limit_log_level(settings.log_level());
                current.set_log_level(settings.log_level());
                let needs_restart = settings != current;
                log::info!(needs_restart = needs_restart; "settings are read again");
            }
            Err(errors) => log::error!("settings are invalid; current ones stay in use: {errors}"),
        }
    }
}

fn limit_log_level(level: LevelFilter) {
    if std::env::var_os(env_logger::DEFAULT_FILTER_ENV).is_none() {
        log::set_max_level(level);
    }
}

/// Runs an entry on the users' common platform, with its store and targets.
async fn run_tables_entry(
    settings: GatewaySettings,
    shutdown: ShutdownTokens,
) -> Result<(), EntryCommandError> {
    let clock = BootTimeClock::new()?;
    let store = StoreClient::new(settings.platform);
    let listeners = GatewayListeners::bind(settings.listen).await?;
    run_gateway(
        settings,
        listeners,
        clock,
        store,
        TargetControlClient,
        HttpCallerProtocol,
        shutdown,
    )
    .await?;
    Ok(())
}

/// Runs an entry whose platform and targets have the HTTP interface.
pub(crate) async fn run_http_entry(
    settings: EntrySettings,
    shutdown: ShutdownTokens,
) -> Result<(), EntryError> {
    let clock = SystemClock;
    let platform = HttpPlatform::new(settings.platform.address, settings.platform.timeout, clock);
    let pool = PoolSettings {
        connect_timeout: settings.targets.connect_timeout,
        connection_age_limit: settings.targets.connection_age_limit,
        ..PoolSettings::default()
    };
    let pool = ConnectionPool::new(clock, pool);
    let targets = HttpTargetClient::new(pool, settings.targets.control_timeout);
    run_entry(settings, clock, platform, targets, shutdown).await
}

/// Cancels the shutdown tokens on signals.
///
/// The first SIGTERM or SIGINT starts the drain. A further SIGTERM does not cut it short, since a
/// supervisor may repeat it and sends SIGKILL when the process has to end. A second SIGINT ends the
/// process at once.
async fn forward_signals(signals: (Signal, Signal), shutdown: ShutdownTokens) {
    let (mut terminate, mut interrupt) = signals;
    let mut is_interrupted = false;
    loop {
        tokio::select! {
            Some(()) = terminate.recv() => {
                if shutdown.graceful.is_cancelled() {
                    log::info!("SIGTERM is ignored: the process is shutting down");
                }
            }
            Some(()) = interrupt.recv() => {
                if is_interrupted {
                    shutdown.immediate.cancel();
                    return;
                }
                is_interrupted = true;
            }
            else => return,
        }
        shutdown.graceful.cancel();
    }
}
