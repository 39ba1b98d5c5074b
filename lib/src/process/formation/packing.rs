//! How many groups of each model the fabric domains are divided into.

use super::supply::Supply;
use crate::ids::FabricDomainId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::routes::ModelSheet;

/// The hosts of a domain that stay unassigned beside an extra group, as spares of its other groups.
const SPARES_BESIDE_EXTRA_GROUP: usize = 2;

/// The models whose groups a host can join, by their positions in the sheet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ModelSet(u64);

impl ModelSet {
    /// The set of all models.
    pub const ALL: Self = Self(u64::MAX);

    /// Adds a model; one beyond the first 64 of a sheet is left out.
    pub fn insert(&mut self, model: usize) {
        let position = u32::try_from(model).unwrap_or(u32::MAX);
        self.0 |= 1_u64.checked_shl(position).unwrap_or_default();
    }

    /// Returns whether a model is in the set.
    pub fn contains(self, model: usize) -> bool {
        let position = u32::try_from(model).unwrap_or(u32::MAX);
        self.0 & 1_u64.checked_shl(position).unwrap_or_default() != 0
    }

    /// Returns whether no model is in the set.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the number of models.
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

/// The groups that a host can join.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostCapabilities {
    /// The models whose groups the host can join.
    pub joinable: ModelSet,
    /// Those of them that the host served last. To join another one's group costs it their weights.
    pub eviction_free: ModelSet,
}

impl HostCapabilities {
    /// The skills of a host that can join any group and has no weights to lose.
    pub const ANY: Self = Self {
        joinable: ModelSet::ALL,
        eviction_free: ModelSet::ALL,
    };
}

/// A domain as it is to be divided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainHosts {
    /// The domain.
    pub domain: FabricDomainId,
    /// The number of groups of each model that stay as they are, in the order of the sheet.
    pub groups: Vec<usize>,
    /// What each host that is in none of these groups can join.
    pub unassigned: Vec<HostCapabilities>,
}

impl DomainHosts {
    /// Returns a domain without groups, whose hosts can join any.
    pub fn new(domain: FabricDomainId, hosts: usize) -> Self {
        Self {
            domain,
            groups: Vec::new(),
            unassigned: vec![HostCapabilities::ANY; hosts],
        }
    }

    /// Returns whether there are the hosts for a group of a model that needs it most.
    fn fits(&self, model: usize, size: usize) -> bool {
        let joinable = self
            .unassigned
            .iter()
            .filter(|host| host.joinable.contains(model));
        size > 0 && joinable.count() >= size
    }

    /// Returns whether there are the hosts for a group of a model that another one goes before:
    /// spares are left, and no host gives up another model's weights.
    fn fits_extra(&self, model: usize, size: usize) -> bool {
        let eviction_free = self
            .unassigned
            .iter()
            .filter(|host| host.eviction_free.contains(model));
        let spares = if self.groups.iter().any(|groups| *groups > 0) {
            SPARES_BESIDE_EXTRA_GROUP
        } else {
            0
        };
        size > 0 && eviction_free.count() >= size && self.unassigned.len() >= size + spares
    }

    fn assign_group(&mut self, model: usize, size: usize) {
        // Hosts that can join little else go first.
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

/// The groups that one domain is divided into.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredGroups {
    /// The domain.
    pub domain: FabricDomainId,
    /// The number of groups of each model, in the order of the sheet, with those that there are.
    pub counts: Vec<usize>,
}

impl Keyed for DesiredGroups {
    type Key = FabricDomainId;

    fn key(&self) -> &FabricDomainId {
        &self.domain
    }
}

/// The groups that all domains are divided into.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packing {
    /// The domains.
    pub domains: SortedVec<DesiredGroups>,
}

impl Packing {
    /// Returns how many groups of a model are wanted in a domain.
    pub fn desired(&self, domain: &FabricDomainId, model: usize) -> usize {
        let desired = self.domains.get(domain);
        let count = desired.and_then(|desired| desired.counts.get(model));
        count.copied().unwrap_or_default()
    }

    /// Returns how many groups of a model are wanted in all domains.
    pub fn total(&self, model: usize) -> usize {
        let counts = self
            .domains
            .iter()
            .filter_map(|domain| domain.counts.get(model));
        counts.sum()
    }

    /// Returns how many groups are wanted in all domains.
    pub fn total_all_models(&self) -> usize {
        let domains = self.domains.iter();
        domains.flat_map(|domain| &domain.counts).sum()
    }
}

/// Divides the hosts of domains that are in no group yet, in proportion to `shares` of the work.
///
/// The model that has least for its share gets the next group. Hosts are left over where no group
/// of that model fits; groups of another model take them only if spares remain beside.
pub fn pack_domains(models: &[ModelSheet], shares: &[f64], domains: &[DomainHosts]) -> Packing {
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

/// Puts one more group in a domain and returns its model, if one fits anywhere.
fn assign_next_group(
    models: &[ModelSheet],
    supply: &Supply,
    domains: &mut SortedVec<DomainHosts>,
) -> Option<usize> {
    for model in supply.least_first() {
        let size = models[model].group_size;
        // The tightest fit leaves room for larger groups elsewhere.
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
