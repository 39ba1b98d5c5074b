//! The start and the graceful shutdown of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::connections::GatewayConnections;
use super::context::GatewayContext;
use super::coordinate::coordinate;
use super::follow::apply_held_back_removals;
use super::follow::follow_operator;
use super::follow::follow_targets;
use super::gossip::discover_entries;
use super::gossip::receive_gossip;
use super::gossip::send_gossip;
use super::listeners::GatewayListeners;
use super::metrics::GatewayMetrics;
use super::peer_handler::PeerHandler;
use super::probe_handlers::MetricsHandler;
use super::probe_handlers::ReadyHandler;
use super::record_relay::RecordRelayHandler;
use super::relayed_feed::RelayedFeed;
use super::settings::GatewaySettings;
use super::state::GatewayPlatform;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::server::ServerSettings;
use crate::connection::server::serve;
use crate::connection::server::serve_connections;
use crate::process::entry::ShutdownTokens;
use crate::process::identity::incarnation_from_clock;
use crate::process::lifecycle::Stage;
use crate::process::supervise::keep_running;
use crate::request::forward::handler::ForwardHandler;
use crate::request::forward::protocol::CallerProtocol;
use crate::target::record::TargetControl;

/// How long the balancer takes to detect that the entry is draining: two readiness probes, one a
/// second, and their responses.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_300);
/// The part of the stop limit that is left for the shutdown of the process after its requests.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// The part of [`SHUTDOWN_MARGIN`] in which requests that were not answered in time get a failure.
const FAILURE_ANSWER_TIME: Duration = Duration::from_millis(250);
/// What a hop adds to the head of a request.
const HOP_HEADERS: usize = 8;
const HOP_HEAD_BYTES: usize = 1024;
/// How long a connection may be idle before its next request; longer than callers keep one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);

/// Why a gateway could not start.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// Binding a listener failed.
    #[display(
        "can't listen at {address}: {source}. Hint: check that the address belongs to this host \
         and is not in use"
    )]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[display("the metrics can't be registered: {source}. Hint: this is a bug in beryltray")]
    Metrics {
        /// The error of the Prometheus library.
        source: prometheus::Error,
    },
}

/// Runs a gateway until it has shut down.
///
/// On the graceful token, it reports that it is not ready, waits until the balancer has detected
/// that, closes the callers' listener and lets requests in flight finish within the stop limit.
/// Requests without an answer get a failure then, and streams are cut. On the immediate token, it
/// aborts all of them.
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
        head_timeout: IDLE_TIMEOUT,
        ..ServerSettings::default()
    };
    background.spawn(serve(listeners.readiness, ready, server, never.clone()));
    if let Some(listener) = listeners.metrics {
        let metrics = MetricsHandler {
            state: Arc::clone(&state),
        };
        background.spawn(serve(listener, metrics, server, never));
    }
    let connections = GatewayConnections::new(&state.settings);
    background.spawn(connections.clone().watch(Arc::clone(&state)));
    let close_listener = CancellationToken::new();
    let peer_handler = PeerHandler {
        records: RecordRelayHandler {
            state: Arc::clone(&state),
        },
        requests: ForwardHandler::new(GatewayContext {
            state: Arc::clone(&state),
            protocol: protocol.clone(),
            is_behind_hop: true,
        }),
    };
    // Requests that entries pass on have more headers than those of callers.
    let peer_server = ServerSettings {
        head_limit_bytes: server.head_limit_bytes + HOP_HEAD_BYTES,
        header_limit: server.header_limit + HOP_HEADERS,
        ..server
    };
    let peer_serving = tokio::spawn(serve_connections(
        listeners.peer_streams,
        peer_handler,
        peer_server,
        connections.peers,
        close_listener.clone(),
    ));
    let operator = RelayedFeed::new(Arc::clone(&state), platform.clone());
    let records = RelayedFeed::new(Arc::clone(&state), platform.clone());
    let task_state = Arc::clone(&state);
    background.spawn(keep_running("follow configuration", move || {
        follow_operator(Arc::clone(&task_state), operator.clone())
    }));
    let task_state = Arc::clone(&state);
    background.spawn(keep_running("follow targets", move || {
        follow_targets(Arc::clone(&task_state), records.clone())
    }));
    let task_state = Arc::clone(&state);
    background.spawn(keep_running("apply removals", move || {
        apply_held_back_removals(Arc::clone(&task_state))
    }));
    let (task_state, task_platform) = (Arc::clone(&state), platform.clone());
    background.spawn(keep_running("discover entries", move || {
        discover_entries(Arc::clone(&task_state), task_platform.clone())
    }));
    // The numbers of datagrams must not start again in one incarnation.
    background.spawn(send_gossip(
        Arc::clone(&state),
        Arc::clone(&peer_socket),
        incarnation,
    ));
    let task_state = Arc::clone(&state);
    background.spawn(keep_running("receive gossip", move || {
        receive_gossip(Arc::clone(&task_state), Arc::clone(&peer_socket))
    }));
    let stop_coordinating = shutdown.graceful.clone();
    let task_state = Arc::clone(&state);
    let coordinator = tokio::spawn(keep_running("coordinate", move || {
        coordinate(
            Arc::clone(&task_state),
            platform.clone(),
            targets.clone(),
            stop_coordinating.clone(),
        )
    }));
    let context = GatewayContext {
        state: Arc::clone(&state),
        protocol,
        is_behind_hop: false,
    };
    let handler = ForwardHandler::new(context);
    let caller_serving = tokio::spawn(serve_connections(
        listeners.callers,
        handler,
        server,
        connections.callers,
        close_listener.clone(),
    ));
    let mut serving = tokio::spawn(async move {
        let (callers, peers) = tokio::join!(caller_serving, peer_serving);
        callers.and(peers)
    });

    let drained = async {
        shutdown.graceful.cancelled().await;
        state.lifecycle.advance(Stage::Draining);
        log::info!(notice_ms = DRAIN_NOTICE.as_millis() as u64; "draining");
        tokio::time::sleep(DRAIN_NOTICE).await;
        state.lifecycle.advance(Stage::Stopping);
        close_listener.cancel();
        let limit = stop_limit.saturating_sub(DRAIN_NOTICE + SHUTDOWN_MARGIN);
        match tokio::time::timeout(limit, &mut serving).await {
            Ok(Ok(Ok(()))) => log::info!("all requests are done"),
            Ok(Ok(Err(error)) | Err(error)) => log::error!("listener task failed: {error}"),
            Err(_) => {
                log::warn!("drain timed out; unanswered requests fail, streams are cut");
                state.lifecycle.advance(Stage::Ending);
                // If this times out too, streams are left, and the process ends without them.
                let failed = tokio::time::timeout(FAILURE_ANSWER_TIME, serving).await;
                if let Ok(Ok(Err(error)) | Err(error)) = failed {
                    log::error!("listener task failed: {error}");
                }
            }
        }
    };
    tokio::select! {
        () = drained => {}
        () = shutdown.immediate.cancelled() => log::warn!("shut down at once; requests aborted"),
    }
    if let Err(error) = coordinator.await {
        log::error!("coordinator task failed: {error}");
    }
    background.shutdown().await;
    log::info!("gateway ends");
    Ok(())
}
