//! The leader's check of the other members, and the sampling of the load.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::ids::HostId;
use beryltray_lib::target::wire::GroupMembership;
use beryltray_lib::target::wire::OrderMember;
use futures_util::future::join_all;
use http::Request;
use http::header::HOST;

use super::service::EngineService;
use super::state::Missing;

/// The internal path on which a member says which group it is in.
pub(super) const MEMBER_PATH: &str = "/internal/member";
/// The time between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which a member must confirm.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest answer of a member.
const CONFIRM_LIMIT_BYTES: usize = 4096;

/// Checks the members for ever.
pub(super) async fn watch_members(service: EngineService) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        service.sample_load();
        check_members(&service).await;
    }
}

async fn check_members(service: &EngineService) {
    let Some((own, others)) = service.own_and_others() else {
        return;
    };
    let checks = others.iter().map(|member| confirms(member, &own));
    let confirmations = join_all(checks).await;
    let both = others.iter().zip(confirmations);
    let missing = both.filter(|(_, is_confirmed)| !is_confirmed);
    let hosts = missing.map(|(member, _)| member.host.clone()).collect();
    service.set_missing(&own, hosts);
}

async fn confirms(member: &OrderMember, own: &GroupMembership) -> bool {
    let asked = tokio::time::timeout(CONFIRM_TIMEOUT, ask(member.address)).await;
    let membership = asked.ok().flatten();
    membership.is_some_and(|other| {
        other.is_ready && other.group == own.group && other.generation == own.generation
    })
}

async fn ask(address: SocketAddr) -> Option<GroupMembership> {
    let opened = ClientConnection::open(address, CONFIRM_TIMEOUT).await;
    let mut connection = opened.ok()?;
    let request = Request::get(MEMBER_PATH)
        .header(HOST, address.to_string())
        .body(RequestBody::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    let read = read_body(response.into_body(), CONFIRM_LIMIT_BYTES, CONFIRM_TIMEOUT).await;
    serde_json::from_slice::<Option<GroupMembership>>(&read.ok()?).ok()?
}

impl Missing {
    /// Takes over the result of a check.
    pub(super) fn update(&mut self, now: Instant, hosts: Vec<HostId>) {
        if hosts.is_empty() {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
        self.hosts = hosts;
    }
}
