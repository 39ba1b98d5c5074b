//! The schedule of a load: a Poisson process with random work, reproducible from a seed.

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

/// The parameters of the schedule.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalSettings {
    /// The mean rate of requests.
    pub(crate) rate: RequestRate,
    /// The length of the schedule; later arrivals are cut off.
    pub(crate) duration: Duration,
    /// Idempotent work, sent without an idempotency key.
    pub(crate) work: Vec<WorkSpec>,
    /// Non-idempotent work, sent with an idempotency key.
    pub(crate) keyed_work: Vec<WorkSpec>,
    /// The share of requests that are keyed; ignored if one kind of work is empty.
    pub(crate) keyed_share: Share,
    /// The share of keyed requests that two callers send at the same time.
    pub(crate) duplicate_share: Share,
    /// The accounts that requests are drawn from, by weight.
    pub(crate) accounts: Vec<AccountSpec>,
    /// The accounts whose requests have emergency priority.
    pub(crate) emergency_accounts: Vec<AccountId>,
    /// The number of different prompt prefixes; 0 counts as 1.
    pub(crate) prefixes: u32,
    /// The seed of the random generator.
    pub(crate) seed: u64,
}

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// The scheduled time since the start of the load.
    pub(crate) at: Duration,
    /// The sequence number, from 0.
    pub(crate) number: u64,
    /// The service and operation.
    pub(crate) work: WorkSpec,
    /// Whether it is sent with an idempotency key.
    pub(crate) is_keyed: bool,
    /// Whether a second caller sends the same request with the same key at the same time.
    pub(crate) has_duplicate: bool,
    /// The account that sends it.
    pub(crate) account: AccountSpec,
    /// `Emergency` for emergency accounts, otherwise `Normal`.
    pub(crate) priority: Priority,
    /// The index of its prompt prefix.
    pub(crate) prefix: u32,
}

/// An iterator over the scheduled requests, in the order of time.
///
/// Ends at the end of the schedule, or if no work or account has a weight.
pub(crate) struct Arrivals {
    settings: ArrivalSettings,
    rng: StdRng,
    at: Duration,
    number: u64,
}

impl Arrivals {
    /// Creates the schedule from its start.
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
        let is_duplicate_drawn = draw_share(&mut self.rng, self.settings.duplicate_share);
        let number = self.number;
        self.number += 1;
        Some(Arrival {
            at: self.at,
            number,
            work,
            is_keyed,
            has_duplicate: is_keyed && is_duplicate_drawn,
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
    let mut remaining = rng.random_range(0..total);
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return Some(index);
        }
        remaining -= weight;
    }
    None
}
