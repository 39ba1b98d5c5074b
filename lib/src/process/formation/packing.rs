//! Decides how many groups of each model are formed in each fabric domain.

use super::supply::Supply;
use crate::ids::FabricDomainId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::routes::ModelProfile;

/// The minimum number of hosts that stay unassigned when a domain with groups gets an extra group,
/// as spares for the other groups.
const MIN_SPARES_AFTER_EXTRA_GROUP: usize = 2;

/// A set of models, identified by their positions in the service's profile.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ModelSet(u64);

impl ModelSet {
    /// The set of all models.
    pub const ALL: Self = Self(u64::MAX);

    /// Adds a model. Models beyond the first 64 of a profile are ignored.
    pub fn insert(&mut self, model: usize) {
        let position = u32::try_from(model).unwrap_or(u32::MAX);
        self.0 |= 1_u64.checked_shl(position).unwrap_or_default();
    }

    /// Returns whether the set contains a model; always false beyond the first 64.
    pub fn contains(self, model: usize) -> bool {
        let position = u32::try_from(model).unwrap_or(u32::MAX);
        self.0 & 1_u64.checked_shl(position).unwrap_or_default() != 0
    }

    /// Returns whether the set contains no model.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the number of models; 64 for [`Self::ALL`].
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }
}

impl FromIterator<usize> for ModelSet {
    fn from_iter<I>(models: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        let mut set = Self::default();
        for model in models {
            set.insert(model);
        }
        set
    }
}

/// The models that a host can serve.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostCapabilities {
    /// The models whose groups the host can join.
    pub joinable: ModelSet,
    /// The models whose groups the host can join without evicting the weights of the model that it
    /// served last.
    pub eviction_free: ModelSet,
}

impl HostCapabilities {
    /// A host that can join a group of any model and has no weights to lose.
    pub const ANY: Self = Self {
        joinable: ModelSet::ALL,
        eviction_free: ModelSet::ALL,
    };
}

/// The groups and unassigned hosts of a domain, before packing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainHosts {
    /// The domain's name.
    pub domain: FabricDomainId,
    /// The number of groups of each model that are kept, in the order of the profile's models.
    pub groups: Vec<usize>,
    /// The capabilities of each host that is in none of these groups.
    pub unassigned: Vec<HostCapabilities>,
}

impl DomainHosts {
    /// Creates a domain without groups, whose hosts can join a group of any model.
    pub fn new(domain: FabricDomainId, hosts: usize) -> Self {
        Self {
            domain,
            groups: Vec::new(),
            unassigned: vec![HostCapabilities::ANY; hosts],
        }
    }

    /// Returns whether there are enough hosts for a group of one of the least supplied models.
    fn fits(&self, model: usize, size: usize) -> bool {
        let joinable = self
            .unassigned
            .iter()
            .filter(|host| host.joinable.contains(model));
        size > 0 && joinable.count() >= size
    }

    /// Returns whether there are enough hosts for a group of a model that is not among the least
    /// supplied ones: no host evicts another model's weights, and spares remain.
    fn fits_extra(&self, model: usize, size: usize) -> bool {
        let eviction_free = self
            .unassigned
            .iter()
            .filter(|host| host.eviction_free.contains(model));
        let spares = if self.groups.iter().any(|groups| *groups > 0) {
            MIN_SPARES_AFTER_EXTRA_GROUP
        } else {
            0
        };
        size > 0 && eviction_free.count() >= size && self.unassigned.len() >= size + spares
    }

    fn assign_group(&mut self, model: usize, size: usize) {
        // Hosts that can join groups of few other models are used first.
        self.unassigned.sort_by_key(|host| {
            let is_joinable = host.joinable.contains(model);
            (
                !is_joinable,
                !host.eviction_free.contains(model),
                host.joinable.len(),
            )
        });
        self.unassigned.drain(..size);
        self.groups[model] += 1;
    }
}

impl Keyed for DomainHosts {
    type Key = FabricDomainId;

    fn key(&self) -> &FabricDomainId {
        &self.domain
    }
}

/// The number of groups that one domain should have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredGroups {
    /// The domain's name.
    pub domain: FabricDomainId,
    /// The number of groups of each model, in the order of the profile's models, including existing
    /// groups.
    pub counts: Vec<usize>,
}

impl Keyed for DesiredGroups {
    type Key = FabricDomainId;

    fn key(&self) -> &FabricDomainId {
        &self.domain
    }
}

/// The number of groups that each domain should have.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packing {
    /// The domains, sorted by name.
    pub domains: SortedVec<DesiredGroups>,
}

impl Packing {
    /// Returns the desired number of groups of a model in a domain; 0 if the domain is unknown.
    pub fn desired(&self, domain: &FabricDomainId, model: usize) -> usize {
        let desired = self.domains.get(domain);
        let count = desired.and_then(|desired| desired.counts.get(model));
        count.copied().unwrap_or_default()
    }

    /// Returns the desired number of groups of a model in all domains.
    pub fn desired_total(&self, model: usize) -> usize {
        let counts = self
            .domains
            .iter()
            .filter_map(|domain| domain.counts.get(model));
        counts.sum()
    }

    /// Returns the desired number of groups of all models in all domains.
    pub fn total_all_models(&self) -> usize {
        let domains = self.domains.iter();
        domains.flat_map(|domain| &domain.counts).sum()
    }
}

/// Assigns the unassigned hosts of all domains to groups, in proportion to `shares` of the work.
///
/// The model with the lowest supply gets the next group. Where no group of that model fits, a group
/// of another model takes the hosts only if spares remain. The rest stays unassigned.
pub fn pack_domains(models: &[ModelProfile], shares: &[f64], domains: &[DomainHosts]) -> Packing {
    let mut supply = Supply::new(models, shares);
    let mut domains: SortedVec<DomainHosts> = domains.iter().cloned().collect();
    for domain in domains.iter_mut() {
        domain.groups.resize(models.len(), 0);
        for (model, groups) in domain.groups.iter().enumerate() {
            supply.add(model, *groups as f64);
        }
    }
    while let Some(model) = assign_next_group(models, &supply, &mut domains) {
        supply.add(model, 1.0);
    }
    let desired = |domain: &DomainHosts| DesiredGroups {
        domain: domain.domain.clone(),
        counts: domain.groups.clone(),
    };
    Packing {
        domains: domains.iter().map(desired).collect(),
    }
}

/// Adds one group to a domain and returns its model; `None` if no group fits anywhere.
fn assign_next_group(
    models: &[ModelProfile],
    supply: &Supply,
    domains: &mut SortedVec<DomainHosts>,
) -> Option<usize> {
    for model in supply.least_first() {
        let size = models[model].group_size;
        // Using the domain with the fewest unassigned hosts leaves room for larger groups
        // elsewhere.
        let tightest = domains
            .iter_mut()
            .filter(|domain| {
                if supply.is_least(model) {
                    domain.fits(model, size)
                } else {
                    domain.fits_extra(model, size)
                }
            })
            .min_by_key(|domain| domain.unassigned.len());
        if let Some(domain) = tightest {
            domain.assign_group(model, size);
            return Some(model);
        }
    }
    None
}
