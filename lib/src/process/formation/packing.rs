//! How many groups of each model the fabric domains are divided into.

use crate::ids::FabricDomainId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::routes::ModelSheet;

/// The hosts of a domain that stay unassigned beside an extra group, as spares.
const SPARES_BESIDE_EXTRA_GROUP: usize = 2;

/// The groups that one domain is divided into.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedGroups {
    /// The domain.
    pub domain: FabricDomainId,
    /// The number of groups of each model, in the order of the sheet.
    pub counts: Vec<usize>,
    hosts_left: usize,
}

impl Keyed for WantedGroups {
    type Key = FabricDomainId;

    fn key(&self) -> &FabricDomainId {
        &self.domain
    }
}

/// The groups that all domains are divided into.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Packing {
    /// The domains.
    pub domains: SortedVec<WantedGroups>,
}

impl Packing {
    /// Returns how many groups of a model are wanted in all domains.
    pub fn total(&self, model: usize) -> usize {
        let counts = self
            .domains
            .iter()
            .filter_map(|domain| domain.counts.get(model));
        counts.sum()
    }
}

/// Divides domains of the given sizes into groups, in proportion to `shares` of the work.
///
/// The model that has least for its share gets the next group. Hosts are left over where no group
/// of that model fits; groups of another model take them only if spares remain beside.
pub fn pack_domains(
    models: &[ModelSheet],
    shares: &[f64],
    sizes: &[(FabricDomainId, usize)],
) -> Packing {
    let mut domains: SortedVec<WantedGroups> = sizes
        .iter()
        .map(|(domain, hosts)| WantedGroups {
            domain: domain.clone(),
            counts: vec![0; models.len()],
            hosts_left: *hosts,
        })
        .collect();
    let mut totals = vec![0_usize; models.len()];
    loop {
        let mut order: Vec<usize> = (0..models.len()).collect();
        let supply = |model: usize, groups: usize| {
            let hosts = (groups * models[model].group_size) as f64;
            hosts
                / shares
                    .get(model)
                    .copied()
                    .unwrap_or_default()
                    .max(f64::MIN_POSITIVE)
        };
        order.sort_by(|a, b| {
            let next = |model: &usize| supply(*model, totals[*model] + 1);
            supply(*a, totals[*a])
                .total_cmp(&supply(*b, totals[*b]))
                .then(next(a).total_cmp(&next(b)))
        });
        let mut placed = None;
        for (position, model) in order.into_iter().enumerate() {
            let spares = if position == 0 {
                0
            } else {
                SPARES_BESIDE_EXTRA_GROUP
            };
            let needed = models[model].group_size + spares;
            // The tightest fit leaves room for larger groups elsewhere.
            let tightest = domains
                .iter_mut()
                .filter(|domain| domain.hosts_left >= needed && models[model].group_size > 0)
                .min_by_key(|domain| domain.hosts_left);
            if let Some(domain) = tightest {
                domain.hosts_left -= models[model].group_size;
                domain.counts[model] += 1;
                placed = Some(model);
                break;
            }
        }
        match placed {
            Some(model) => totals[model] += 1,
            None => return Packing { domains },
        }
    }
}
