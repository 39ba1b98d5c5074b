//! The tasks that keep the entry's view of its targets fresh.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::state::EntryState;
use super::state::Platform;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::platform::ListedHost;
use crate::platform::ListedState;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::rows::GroupRow;
use crate::platform::rows::group_prefix;
use crate::process::lifecycle::Stage;
use crate::process::presence::ReportSource;
use crate::target::TargetClient;

/// The time between two reads of the host list and of the groups' rows.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two looks at the queues.
const CAPACITY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the host list and the groups' rows until the task is dropped.
pub async fn follow_lists<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(LIST_POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let hosts = refresh_hosts(&state).await;
        note(&state, "hosts", hosts);
        let groups = refresh_groups(&state).await;
        note(&state, "groups", groups);
        if state.not_ready_because().is_none() && state.lifecycle.advance(Stage::Ready) {
            log::info!("entry is ready");
        }
    }
}

fn note<C, P, T>(state: &EntryState<C, P, T>, call: &str, result: Result<(), PlatformError>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    if let Err(error) = &result {
        log::debug!(call = call; "list not read: {error}");
    }
    state.note_platform(call, result.is_ok());
}

async fn refresh_hosts<C, P, T>(state: &EntryState<C, P, T>) -> Result<(), PlatformError>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let listed = state.platform.hosts().await?;
    let is_near = |host: &ListedHost| host.data_centre == state.identity.data_centre;
    let near: Vec<ListedHost> = listed.into_iter().filter(is_near).collect();
    // The lists that other entries read may lag behind this one.
    let is_leaving = |host: &&ListedHost| host.state == ListedState::Leaving;
    let leaving = near.iter().filter(is_leaving).map(|host| host.host.clone());
    state.exchange().set_leaving(&leaving.collect::<Vec<_>>());
    state.shards.on_listed_hosts(near, state.clock.now());
    state.note_host_list();
    Ok(())
}

async fn refresh_groups<C, P, T>(state: &EntryState<C, P, T>) -> Result<(), PlatformError>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let identity = &state.identity;
    let prefix = group_prefix(&identity.environment, &identity.data_centre);
    let rows = state.platform.scan(prefix).await?;
    let groups: Vec<GroupRow> = rows.iter().filter_map(read_group).collect();
    state.shards.on_groups(&groups, state.clock.now());
    Ok(())
}

fn read_group(row: &Row) -> Option<GroupRow> {
    let parsed = serde_json::from_str(&row.value);
    if let Err(error) = &parsed {
        log::error!(key = row.key.as_str(); "group row can't be read: {error}");
    }
    parsed.ok()
}

/// Keeps capacity and queues in step with the targets until the task is dropped.
pub async fn follow_capacity<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(CAPACITY_TICK_INTERVAL);
    loop {
        ticks.tick().await;
        state.shards.tick(state.clock.now());
    }
}

/// Asks hosts for their reports until the task is dropped.
///
/// Each host is this entry's to poll, or no peer has told of it lately. A host that is slow to
/// answer holds up no other: it is passed over until its answer or its time limit has come.
pub async fn follow_reports<C, P, T>(state: Arc<EntryState<C, P, T>>)
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut ticks = tokio::time::interval(state.settings.targets.poll_interval);
    let mut polls = JoinSet::new();
    let mut asked: Vec<HostId> = Vec::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                for host in polled_hosts(&state) {
                    if let Err(index) = asked.binary_search(&host.host) {
                        asked.insert(index, host.host.clone());
                        polls.spawn(poll_host(Arc::clone(&state), host));
                    }
                }
                if asked.is_empty() && state.has_host_list() {
                    state.note_reports();
                }
            }
            Some(Ok(host)) = polls.join_next(), if !polls.is_empty() => {
                asked.retain(|other| *other != host);
                if asked.is_empty() && state.has_host_list() {
                    state.note_reports();
                }
            }
        }
    }
}

fn polled_hosts<C, P, T>(state: &EntryState<C, P, T>) -> Vec<ListedHost>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let mut listed = state.shards.listed_hosts();
    let names: Vec<HostId> = listed.iter().map(|listed| listed.host.clone()).collect();
    let mut exchange = state.exchange();
    let polled = exchange.polled_hosts(&names, state.clock.now());
    let polled: Vec<HostId> = polled.into_iter().cloned().collect();
    exchange.retain_reports(&polled);
    listed.retain(|listed| polled.contains(&listed.host));
    listed
}

async fn poll_host<C, P, T>(state: Arc<EntryState<C, P, T>>, host: ListedHost) -> HostId
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    let asked_at = state.clock.now();
    let report = state.targets.report(host.address).await;
    let now = state.clock.now();
    // The report may be as old as the question, whatever held the answer up.
    let age = now.saturating_duration_since(asked_at);
    match report {
        Ok(report) if report.host == host.host => {
            state.exchange().set_report(&report, asked_at);
            state
                .shards
                .on_report(report, age, ReportSource::Direct, now);
        }
        Ok(report) => {
            log::warn!(expected:% = host.host, reported:% = report.host; "host has another name");
            state.shards.on_unreachable(&host.host, now);
        }
        Err(error) => {
            log::debug!(host:% = host.host; "no report: {error}");
            // Open connections may have gone silent for good; the next poll takes a new one.
            state.targets.drop_idle(host.address);
            state.shards.on_unreachable(&host.host, now);
        }
    }
    host.host
}
