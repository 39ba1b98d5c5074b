//! Whether a document can be placed on the platform's hosts, checked before it is accepted.

use derive_more::Display;
use derive_more::Error;

use crate::ids::DataCentreId;
use crate::ids::ServiceId;
use crate::platform::ListedHost;
use crate::platform::ListedState;

use super::document::Document;
use super::document::Service;
use super::document::ServiceKind;

/// Why a document does not fit the hosts.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlacementProblem {
    /// A service has no live host anywhere.
    #[display(
        "service `{service}` has no live host in any data centre. \
         Hint: reserve hosts for it on the platform, or remove its section"
    )]
    NoHosts {
        /// The service.
        service: ServiceId,
    },
    /// A data centre's hosts do not hold the replicas.
    #[display(
        "service `{service}` wants {wanted} replicas in data centre {data_centre}, whose {hosts} live \
         hosts hold {possible}, since the {hosts_per_replica} hosts of a replica share a fabric \
         domain. Hint: lower `replicas`, or add hosts to a domain"
    )]
    TooFewHosts {
        /// The service.
        service: ServiceId,
        /// The data centre.
        data_centre: DataCentreId,
        /// The number of replicas that the document asks for; 1 if it names none.
        wanted: u32,
        /// The number of replicas that fit.
        possible: u32,
        /// The number of live hosts.
        hosts: u32,
        /// The number of hosts in a replica.
        hosts_per_replica: u32,
    },
}

/// Returns why `document` can't be placed on `hosts`; nothing if it can.
///
/// Leaving hosts don't count. A data centre without a host for a service need not hold it.
pub fn placement_problems(document: &Document, hosts: &[ListedHost]) -> Vec<PlacementProblem> {
    let mut problems = Vec::new();
    for service in document.services.iter() {
        let is_usable =
            |host: &&ListedHost| host.service == service.name && host.state == ListedState::Live;
        let usable = hosts.iter().filter(is_usable).collect::<Vec<_>>();
        if usable.is_empty() {
            let service = service.name.clone();
            problems.push(PlacementProblem::NoHosts { service });
        }
        problems.extend(service_problems(service, usable));
    }
    problems
}

fn service_problems(service: &Service, mut hosts: Vec<&ListedHost>) -> Vec<PlacementProblem> {
    let ServiceKind::Model {
        hosts_per_replica,
        replicas,
        ..
    } = service.kind
    else {
        return Vec::new();
    };
    hosts.sort_by_key(|host| (&host.data_centre, &host.domain));
    let data_centres = hosts.chunk_by(|a, b| a.data_centre == b.data_centre);
    let problems = data_centres.filter_map(|hosts| {
        let wanted = replicas.unwrap_or(1);
        let possible = replicas_possible(hosts, hosts_per_replica);
        let data_centre = hosts.first()?.data_centre.clone();
        (possible < wanted).then(|| PlacementProblem::TooFewHosts {
            service: service.name.clone(),
            data_centre,
            wanted,
            possible,
            hosts: count(hosts),
            hosts_per_replica,
        })
    });
    problems.collect()
}

/// Returns how many whole replicas fit into hosts that are sorted by fabric domain.
fn replicas_possible(hosts: &[&ListedHost], hosts_per_replica: u32) -> u32 {
    let domains = hosts.chunk_by(|a, b| a.domain == b.domain);
    let replicas = domains.map(|hosts| count(hosts) / hosts_per_replica.max(1));
    replicas.sum()
}

fn count(hosts: &[&ListedHost]) -> u32 {
    u32::try_from(hosts.len()).unwrap_or(u32::MAX)
}
