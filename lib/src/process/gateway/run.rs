//! The start and the graceful end of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::context::GatewayContext;
use super::coordinate::coordinate;
use super::follow::follow_documents;
use super::follow::follow_targets;
use super::listeners::GatewayListeners;
use super::metrics::GatewayMetrics;
use super::ready::MetricsHandler;
use super::ready::ReadyHandler;
use super::relay::RelayHandler;
use super::relay::RelayedFeed;
use super::settings::GatewaySettings;
use super::state::GatewayPlatform;
use super::state::GatewayState;
use super::tell::follow_entries;
use super::tell::hear_peers;
use super::tell::tell_peers;
use crate::clock::Clock;
use crate::connection::server::ServerSettings;
use crate::connection::server::serve;
use crate::process::entry::ShutdownTokens;
use crate::process::identity::incarnation_from_clock;
use crate::process::lifecycle::Stage;
use crate::request::forward::handler::ForwardHandler;
use crate::request::forward::protocol::CallerProtocol;
use crate::target::record::TargetControl;

/// How long the balancer takes to notice: two questions, one a second, and their answers.
const NOTICE: Duration = Duration::from_millis(2_300);
/// The part of the time before the process is killed that is kept for its own end.
const END_MARGIN: Duration = Duration::from_millis(500);
/// How long a connection may wait for its next request; more than callers keep one.
const IDLE_LIMIT: Duration = Duration::from_secs(16);

/// Why a gateway could not run.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// The process can't listen at an address.
    #[display("can't listen at {address}: {source}. Hint: is another process using it?")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[display("the metrics can't be set up: {source}. Hint: this is a fault of the program")]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// Runs a gateway until it is told to end and its requests are done.
pub async fn run_gateway<C, P, T, W>(
    settings: GatewaySettings,
    listeners: GatewayListeners,
    clock: C,
    platform: P,
    targets: T,
    protocol: W,
    shutdown: ShutdownTokens,
) -> Result<(), GatewayError>
where
    C: Clock,
    P: GatewayPlatform,
    T: TargetControl,
    W: CallerProtocol,
{
    let listen = listeners.bound();
    let settings = GatewaySettings { listen, ..settings };
    let stop_limit = settings.stop_limit;
    log::info!(
        entry:% = settings.entry, data_centre:% = settings.data_centre,
        callers:% = listen.callers, platform:% = settings.platform,
        version = env!("CARGO_PKG_VERSION");
        "gateway starts"
    );
    let peer_socket = Arc::new(listeners.peer_datagrams);
    let incarnation = incarnation_from_clock(&clock);
    let metrics = GatewayMetrics::new().map_err(|source| GatewayError::Metrics { source })?;
    let state = Arc::new(GatewayState::new(settings, clock, metrics));
    let never = CancellationToken::new();
    let mut background = JoinSet::new();
    let ready = ReadyHandler {
        state: Arc::clone(&state),
    };
    let server = ServerSettings {
        head_timeout: IDLE_LIMIT,
        ..ServerSettings::default()
    };
    background.spawn(serve(listeners.readiness, ready, server, never.clone()));
    if let Some(listener) = listeners.metrics {
        let metrics = MetricsHandler {
            state: Arc::clone(&state),
        };
        background.spawn(serve(listener, metrics, server, never));
    }
    let relay = RelayHandler {
        state: Arc::clone(&state),
    };
    background.spawn(serve(
        listeners.peer_streams,
        relay,
        server,
        CancellationToken::new(),
    ));
    let documents = RelayedFeed::new(Arc::clone(&state), platform.clone());
    let records = RelayedFeed::new(Arc::clone(&state), platform.clone());
    background.spawn(follow_documents(Arc::clone(&state), documents));
    background.spawn(follow_targets(Arc::clone(&state), records));
    background.spawn(follow_entries(Arc::clone(&state), platform.clone()));
    background.spawn(tell_peers(
        Arc::clone(&state),
        Arc::clone(&peer_socket),
        incarnation,
    ));
    background.spawn(hear_peers(Arc::clone(&state), peer_socket));
    let stop_coordinating = shutdown.graceful.clone();
    let coordinator = coordinate(Arc::clone(&state), platform, targets, stop_coordinating);
    let coordinator = tokio::spawn(coordinator);
    let context = GatewayContext {
        state: Arc::clone(&state),
        protocol,
    };
    let close_listener = CancellationToken::new();
    let handler = ForwardHandler::new(context);
    let serving = tokio::spawn(serve(
        listeners.callers,
        handler,
        server,
        close_listener.clone(),
    ));

    let drained = async {
        shutdown.graceful.cancelled().await;
        state.lifecycle.advance(Stage::Draining);
        log::info!(notice_ms = NOTICE.as_millis() as u64; "draining");
        tokio::time::sleep(NOTICE).await;
        state.lifecycle.advance(Stage::Stopping);
        close_listener.cancel();
        let limit = stop_limit.saturating_sub(NOTICE + END_MARGIN);
        match tokio::time::timeout(limit, serving).await {
            Ok(Ok(())) => log::info!("all requests are done"),
            Ok(Err(error)) => log::error!("the callers' listener failed: {error}"),
            Err(_) => log::warn!("requests were cut off at the limit"),
        }
    };
    tokio::select! {
        () = drained => {}
        () = shutdown.immediate.cancelled() => log::warn!("ended at once; requests were cut off"),
    }
    if let Err(error) = coordinator.await {
        log::error!("the coordinator failed: {error}");
    }
    background.shutdown().await;
    log::info!("gateway ends");
    Ok(())
}
