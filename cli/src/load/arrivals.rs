//! When each request is sent and what it asks for, drawn from a seed.

use std::time::Duration;

use beryltray_lib::ids::AccountId;
use beryltray_lib::units::RequestRate;
use beryltray_lib::units::Share;
use beryltray_lib::version::document::Priority;
use rand::Rng;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::spec::AccountSpec;
use super::spec::WorkSpec;

/// What the arrivals are drawn from.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalSettings {
    /// The mean rate.
    pub(crate) rate: RequestRate,
    /// How long requests arrive.
    pub(crate) duration: Duration,
    /// Work that may be repeated and carries no key.
    pub(crate) work: Vec<WorkSpec>,
    /// Work that may not be repeated and carries a key.
    pub(crate) keyed_work: Vec<WorkSpec>,
    /// The share of the requests that are keyed work.
    pub(crate) keyed_share: Share,
    /// The share of the keyed requests that two callers send at once.
    pub(crate) twin_share: Share,
    /// The accounts.
    pub(crate) accounts: Vec<AccountSpec>,
    /// The accounts whose requests are emergencies.
    pub(crate) emergency_accounts: Vec<AccountId>,
    /// The number of prompt prefixes that the requests share.
    pub(crate) prefixes: u32,
    /// The seed.
    pub(crate) seed: u64,
}

/// One request of the plan.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// When it is sent, from the start.
    pub(crate) at: Duration,
    /// Its number.
    pub(crate) number: u64,
    /// What it asks for.
    pub(crate) work: WorkSpec,
    /// Whether it carries a key.
    pub(crate) is_keyed: bool,
    /// Whether a second caller sends the same at once.
    pub(crate) has_twin: bool,
    /// Who sends it.
    pub(crate) account: AccountSpec,
    /// The priority.
    pub(crate) priority: Priority,
    /// Which prefix its prompt starts with.
    pub(crate) prefix: u32,
}

/// The arrivals of a Poisson process.
pub(crate) struct Arrivals {
    settings: ArrivalSettings,
    rng: StdRng,
    at: Duration,
    number: u64,
}

impl Arrivals {
    /// Starts the process.
    pub(crate) fn new(settings: ArrivalSettings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            rng,
            at: Duration::ZERO,
            number: 0,
        }
    }

    fn draw_work(&mut self, is_keyed: bool) -> Option<WorkSpec> {
        let choices = if is_keyed {
            &self.settings.keyed_work
        } else {
            &self.settings.work
        };
        let weights = choices.iter().map(|work| work.weight);
        let index = draw_weighted(&mut self.rng, &weights.collect::<Vec<_>>())?;
        choices.get(index).cloned()
    }

    fn draw_account(&mut self) -> Option<AccountSpec> {
        let accounts = &self.settings.accounts;
        let weights = accounts.iter().map(|account| account.weight);
        let index = draw_weighted(&mut self.rng, &weights.collect::<Vec<_>>())?;
        accounts.get(index).cloned()
    }

    fn draw_is_keyed(&mut self) -> bool {
        let is_drawn = draw_share(&mut self.rng, self.settings.keyed_share);
        let has_both = !self.settings.work.is_empty() && !self.settings.keyed_work.is_empty();
        if has_both {
            is_drawn
        } else {
            self.settings.work.is_empty()
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random();
        let gap_s = -(1.0 - uniform).ln() / self.settings.rate.0;
        self.at += Duration::from_secs_f64(gap_s);
        if self.at >= self.settings.duration {
            return None;
        }
        let is_keyed = self.draw_is_keyed();
        let work = self.draw_work(is_keyed)?;
        let account = self.draw_account()?;
        let emergency_accounts = &self.settings.emergency_accounts;
        let is_emergency = emergency_accounts.contains(&account.account);
        let is_twin_drawn = draw_share(&mut self.rng, self.settings.twin_share);
        let number = self.number;
        self.number += 1;
        Some(Arrival {
            at: self.at,
            number,
            work,
            is_keyed,
            has_twin: is_keyed && is_twin_drawn,
            account,
            priority: if is_emergency {
                Priority::Emergency
            } else {
                Priority::Normal
            },
            prefix: self.rng.random_range(0..self.settings.prefixes.max(1)),
        })
    }
}

fn draw_share<R>(rng: &mut R, share: Share) -> bool
where
    R: Rng,
{
    rng.random_bool(share.as_fraction())
}

fn draw_weighted<R>(rng: &mut R, weights: &[u32]) -> Option<usize>
where
    R: Rng,
{
    let total = weights.iter().sum::<u32>();
    if total == 0 {
        return None;
    }
    let mut left = rng.random_range(0..total);
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return Some(index);
        }
        left -= weight;
    }
    None
}
