//! `beryltray stand-in`: runs a stand-in as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::ParseIdError;
use beryltray_lib::ids::WeightsId;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::units::parse_duration;
use beryltray_stand_ins::engine;
use beryltray_stand_ins::engine::EngineSettings;
use beryltray_stand_ins::plain;
use beryltray_stand_ins::plain::PlainSettings;
use beryltray_stand_ins::platform;
use beryltray_stand_ins::platform::PlatformSettings;
use beryltray_stand_ins::relay;
use beryltray_stand_ins::relay::RelaySettings;
use beryltray_stand_ins::server::RunningStandIn;
use beryltray_stand_ins::server::StartError;
use clap::Args;
use clap::Subcommand;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The default listen address: a free port of the loopback interface.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// Why a stand-in did not start.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StandInError {
    /// The stand-in could not bind its address.
    Start(StartError),
    /// A host in the hosts file is invalid.
    Host(ParseHostError),
    /// Reading the hosts file failed.
    #[display("can't read {}: {reason}. Hint: check the path", path.display())]
    #[from(skip)]
    HostsFile {
        /// The path after `--hosts-file`.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// Installing a handler for SIGTERM or SIGINT failed.
    #[display("can't handle SIGTERM or SIGINT: {reason}")]
    #[from(skip)]
    Signal {
        /// The error of the operating system.
        reason: String,
    },
}

/// Why a text is not a valid host.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ParseHostError {
    /// The text doesn't have five parts separated by commas.
    #[display("{text:?} is not a host. Hint: write NAME,SERVICE,ADDRESS,DATA_CENTRE,DOMAIN")]
    Parts {
        /// The whole text.
        text: String,
    },
    /// The third part is not `IP:PORT`.
    #[display("{text:?} is not an address. Hint: write IP:PORT")]
    Address {
        /// The third part.
        text: String,
    },
    /// One of the names is not a valid identifier.
    #[display("{source}")]
    Id {
        /// The error of the identifier.
        source: ParseIdError,
    },
}

/// A host of the platform's list: `NAME,SERVICE,IP:PORT,DATA_CENTRE,DOMAIN`.
#[derive(Clone, Debug)]
pub(crate) struct HostArg(ListedHost);

impl FromStr for HostArg {
    type Err = ParseHostError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).collect::<Vec<_>>();
        let [host, service, address, data_centre, domain] = parts.as_slice() else {
            let text = text.to_owned();
            return Err(ParseHostError::Parts { text });
        };
        let id_error = |source| ParseHostError::Id { source };
        let parsed_address = address.parse::<SocketAddr>();
        let address = parsed_address.map_err(|_| ParseHostError::Address {
            text: (*address).to_owned(),
        })?;
        Ok(Self(ListedHost {
            host: host.parse().map_err(id_error)?,
            service: service.parse().map_err(id_error)?,
            address,
            data_centre: data_centre.parse().map_err(id_error)?,
            domain: domain.parse().map_err(id_error)?,
            state: ListedState::Live,
        }))
    }
}

/// The external service that the stand-in replaces.
#[derive(Debug, Subcommand)]
pub(crate) enum StandInCommand {
    /// The platform: a table, an object store and a list of hosts, all in memory.
    Platform(PlatformArgs),
    /// An engine: one host of a model's replica group.
    Engine(EngineArgs),
    /// A host of a plain service.
    Plain(PlainArgs),
    /// A TCP relay that can close, stall and delay its connections.
    Relay(RelayArgs),
}

/// Options of `stand-in platform`.
#[derive(Args, Debug)]
pub(crate) struct PlatformArgs {
    /// The address to listen on.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// A host in the platform's list; may be repeated.
    #[arg(long, value_name = "NAME,SERVICE,IP:PORT,DATA_CENTRE,DOMAIN")]
    host: Vec<HostArg>,
    /// A file with one host a line; empty lines and lines that start with '#' are ignored.
    #[arg(long, value_name = "FILE")]
    hosts_file: Option<PathBuf>,
    /// A file to write the records of the stand-in to at its end.
    #[arg(long, value_name = "FILE")]
    truth: Option<PathBuf>,
}

/// Options of `stand-in engine`.
#[derive(Args, Debug)]
pub(crate) struct EngineArgs {
    /// The address to listen on.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// The host's name.
    #[arg(long)]
    host: HostId,
    /// Accept orders with an outdated fencing number.
    #[arg(long)]
    ignore_fencing: bool,
    /// Weights that are already loaded at the start; may be repeated.
    #[arg(long, value_name = "WEIGHTS")]
    loaded: Vec<WeightsId>,
    /// The time to load weights.
    #[arg(long, value_parser = parse_duration, default_value = "200ms")]
    load_time: Duration,
    /// The time to the first token if the prompt prefix is not cached.
    #[arg(long, value_parser = parse_duration, default_value = "20ms")]
    prefill_time: Duration,
    /// The time between tokens.
    #[arg(long, value_parser = parse_duration, default_value = "5ms")]
    time_per_token: Duration,
    /// The maximum number of requests that run at the same time.
    #[arg(long, default_value_t = 32)]
    batch_limit: u32,
    /// The age of the load in reports.
    #[arg(long, value_parser = parse_duration, default_value = "300ms")]
    report_lag: Duration,
    /// A file to write the records of the stand-in to at its end.
    #[arg(long, value_name = "FILE")]
    truth: Option<PathBuf>,
}

/// Options of `stand-in plain`.
#[derive(Args, Debug)]
pub(crate) struct PlainArgs {
    /// The address to listen on.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// The host's name.
    #[arg(long)]
    host: HostId,
    /// The duration of an operation.
    #[arg(long, value_parser = parse_duration, default_value = "5ms")]
    work_time: Duration,
    /// A file to write the records of the stand-in to at its end.
    #[arg(long, value_name = "FILE")]
    truth: Option<PathBuf>,
}

/// Options of `stand-in relay`.
#[derive(Args, Debug)]
pub(crate) struct RelayArgs {
    /// The address that clients connect to.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// The address of the control interface.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    control: SocketAddr,
    /// The address that connections are relayed to.
    #[arg(long, value_name = "IP:PORT")]
    target: SocketAddr,
}

impl StandInCommand {
    /// Runs the stand-in until SIGTERM, SIGINT or an injected fault that stops it.
    pub(crate) async fn run(self) -> Result<ExitCode, StandInError> {
        let running = self.start().await?;
        println!("listening on {}", running.address());
        wait_for_shutdown(&running).await?;
        Ok(ExitCode::SUCCESS)
    }

    async fn start(self) -> Result<RunningStandIn, StandInError> {
        match self {
            Self::Platform(args) => {
                let settings = PlatformSettings {
                    listen: args.listen,
                    hosts: args.hosts()?,
                    truth_file: args.truth,
                };
                Ok(platform::start(settings).await?)
            }
            Self::Engine(args) => Ok(engine::start(args.settings()).await?),
            Self::Plain(args) => {
                let settings = PlainSettings {
                    listen: args.listen,
                    work_time: args.work_time,
                    truth_file: args.truth,
                    ..PlainSettings::new(args.host)
                };
                Ok(plain::start(settings).await?)
            }
            Self::Relay(args) => {
                let settings = RelaySettings {
                    listen: args.listen,
                    control: args.control,
                    target: args.target,
                };
                let running = relay::start(settings).await?;
                println!("control on {}", running.control_address);
                Ok(running.relay)
            }
        }
    }
}

impl PlatformArgs {
    fn hosts(&self) -> Result<Vec<ListedHost>, StandInError> {
        let mut hosts = self.host.iter().map(|arg| arg.0.clone()).collect();
        if let Some(path) = &self.hosts_file {
            read_hosts(path, &mut hosts)?;
        }
        Ok(hosts)
    }
}

fn read_hosts(path: &PathBuf, hosts: &mut Vec<ListedHost>) -> Result<(), StandInError> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|error| StandInError::HostsFile {
        path: path.clone(),
        reason: error.to_string(),
    })?;
    let lines = text.lines().map(str::trim);
    for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
        hosts.push(line.parse::<HostArg>()?.0);
    }
    Ok(())
}

impl EngineArgs {
    fn settings(self) -> EngineSettings {
        EngineSettings {
            listen: self.listen,
            is_fenced: !self.ignore_fencing,
            load_time: self.load_time,
            loaded_weights: self.loaded,
            prefill_time: self.prefill_time,
            time_per_token: self.time_per_token,
            batch_limit_requests: self.batch_limit,
            report_lag: self.report_lag,
            truth_file: self.truth,
            ..EngineSettings::new(self.host)
        }
    }
}

async fn wait_for_shutdown(running: &RunningStandIn) -> Result<(), StandInError> {
    let signal_error = |error: std::io::Error| StandInError::Signal {
        reason: error.to_string(),
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
        () = running.wait_until_stopped() => (),
    }
    running.stop();
    running.wait_until_stopped().await;
    Ok(())
}
