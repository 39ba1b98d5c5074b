//! `beryltray stand-in`: a stand-in as its own process.

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

/// The address that a stand-in listens on unless told otherwise.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// Why a stand-in did not run.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StandInError {
    /// It did not start.
    Start(StartError),
    /// A host's description can't be read.
    Host(ParseHostError),
    /// The file of hosts can't be read.
    #[display("can't read {}: {reason}. Hint: check the path", path.display())]
    #[from(skip)]
    HostsFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        reason: String,
    },
    /// The signal that ends the process can't be waited for.
    #[display("can't wait for SIGTERM: {reason}")]
    #[from(skip)]
    Signal {
        /// What the operating system said.
        reason: String,
    },
}

/// Why a text does not describe a host.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ParseHostError {
    /// The text has not five parts.
    #[display("{text:?} is not a host. Hint: write NAME,SERVICE,ADDRESS,DATA_CENTRE,DOMAIN")]
    Parts {
        /// The text.
        text: String,
    },
    /// The address is not one.
    #[display("{text:?} is not an address. Hint: write IP:PORT")]
    Address {
        /// The text.
        text: String,
    },
    /// A part is not an identifier.
    #[display("{source}")]
    Id {
        /// What is wrong with it.
        source: ParseIdError,
    },
}

/// A host of the platform's list, as the command line gives it.
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

/// Which outer service to stand in for.
#[derive(Debug, Subcommand)]
pub(crate) enum StandInCommand {
    /// The platform: table, object store and list of hosts, in memory.
    Platform(PlatformArgs),
    /// One host of a model's replica group.
    Engine(EngineArgs),
    /// One host of a plain service.
    Plain(PlainArgs),
    /// A TCP relay that cuts, silences and delays.
    Relay(RelayArgs),
}

/// Options of `stand-in platform`.
#[derive(Args, Debug)]
pub(crate) struct PlatformArgs {
    /// The address to listen on.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// A host of the list; may be repeated.
    #[arg(long, value_name = "NAME,SERVICE,IP:PORT,DATA_CENTRE,DOMAIN")]
    host: Vec<HostArg>,
    /// A file with one host a line; empty lines and those that start with '#' are passed over.
    #[arg(long, value_name = "FILE")]
    hosts_file: Option<PathBuf>,
    /// A file that the truth is written to at the end.
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
    /// Carry out orders with an old fencing number too.
    #[arg(long)]
    ignore_fencing: bool,
    /// Weights that are loaded at the start; may be repeated.
    #[arg(long, value_name = "WEIGHTS")]
    loaded: Vec<WeightsId>,
    /// The time that weights take to load.
    #[arg(long, value_parser = parse_duration, default_value = "200ms")]
    load_time: Duration,
    /// The time to the first token without a cached prefix.
    #[arg(long, value_parser = parse_duration, default_value = "20ms")]
    prefill_time: Duration,
    /// The time between tokens.
    #[arg(long, value_parser = parse_duration, default_value = "5ms")]
    time_per_token: Duration,
    /// The most requests that run at once.
    #[arg(long, default_value_t = 32)]
    batch_limit: u32,
    /// How old the reported load is.
    #[arg(long, value_parser = parse_duration, default_value = "300ms")]
    report_lag: Duration,
    /// A file that the truth is written to at the end.
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
    /// The time that an operation takes.
    #[arg(long, value_parser = parse_duration, default_value = "5ms")]
    work_time: Duration,
    /// A file that the truth is written to at the end.
    #[arg(long, value_name = "FILE")]
    truth: Option<PathBuf>,
}

/// Options of `stand-in relay`.
#[derive(Args, Debug)]
pub(crate) struct RelayArgs {
    /// The address that clients connect to.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    listen: SocketAddr,
    /// The address of the control paths.
    #[arg(long, value_name = "IP:PORT", default_value = DEFAULT_LISTEN)]
    control: SocketAddr,
    /// The address that the connections lead to.
    #[arg(long, value_name = "IP:PORT")]
    target: SocketAddr,
}

impl StandInCommand {
    /// Runs the stand-in until SIGTERM, SIGINT or a fault that kills it.
    pub(crate) async fn run(self) -> Result<ExitCode, StandInError> {
        let running = self.start().await?;
        println!("listening on {}", running.address());
        wait_for_end(&running).await?;
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

async fn wait_for_end(running: &RunningStandIn) -> Result<(), StandInError> {
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
