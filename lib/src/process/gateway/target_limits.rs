//! The division of the request limits that targets name among the entries.
//!
//! A limit applies to the requests of all entries together. The entries with the highest ranks for
//! the target have equal parts of it, of at least [`PART_MIN_PER_S`] if the limit is that high; the
//! others have none. An entry that does not use its part leaves single requests to others that lack
//! one. A request is left to one entry at most, and a lost datagram loses it, so the sum over the
//! entries stays within the limit without an agreement. The module does no I/O.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::limit_gossip::GossipedLimit;
use super::share_members::Contact;
use super::share_members::ShareMembers;
use super::share_members::SharePlace;
use crate::hash::rendezvous_weight;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::request::forward::protocol::StatedLimit;
use crate::request::token_bucket::TokenBucket;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;

/// The least part of a limit, in requests per second. Each part may be saved up to one request, so
/// with more parts the entries could send more at once than the limit allows in a second.
const PART_MIN_PER_S: f64 = 2.0;
/// The rate for a target that names a lower limit. Only its answers tell when the limit ends.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// The time in which an unused part is saved up.
const BURST_TIME: Duration = Duration::from_millis(500);
/// How long a request that another entry left to this one may be sent. With a part saved up, this
/// bounds what all entries can send at once.
const GRANT_TIME: Duration = Duration::from_secs(1);
/// The time constant in which requests that had to pass over a target stop to count as a want.
const WANT_TIME: Duration = Duration::from_secs(1);
/// How long a peer's message that it lacks a part is used.
const PEER_WANT_TIME: Duration = Duration::from_millis(700);
/// How long nothing may be known from a target before an entry without a part asks it.
const PROBE_AGE: Duration = Duration::from_secs(15);
/// The time between the probes of entries with consecutive ranks, in which an answer is gossiped.
const PROBE_STEP: Duration = Duration::from_secs(3);
/// How long the end of a limit is gossiped.
const ENDED_GOSSIP_TIME: Duration = Duration::from_secs(5);
/// The age from which statements are no longer gossiped, and are dropped for unknown targets.
const STATEMENT_AGE_MAX: Duration = Duration::from_secs(60);
/// The error of the time of a statement that was gossiped as an age. Without this margin, the
/// statement would become newer each time that it is gossiped back.
const AGE_ERROR_MAX: Duration = Duration::from_millis(300);
/// The most requests that an entry leaves to another one in a datagram.
const GRANT_MAX: u32 = 32;
/// The most limits in a datagram; those that were stated last are preferred.
const GOSSIPED_MAX: usize = 64;

/// A change of a target's limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The target.
    pub host: HostId,
    /// The new limit, or `None` if the target names none any more.
    pub limit: Option<RequestRate>,
}

/// Returns the part of a limit that an entry may use without regard to what others leave to it.
pub fn part_of_limit(limit: RequestRate, place: &SharePlace) -> RequestRate {
    let limit_per_s = limit.0.max(LIMIT_MIN_PER_S);
    let entries = place.entries.max(1);
    RequestRate(match place.contact {
        Contact::Unknown => 0.0,
        // Entries in contact with more than half of all may have taken over the parts, and use all
        // of the limit.
        Contact::Minority => limit_per_s / (2 * entries) as f64,
        Contact::Half => limit_per_s / entries as f64,
        Contact::Majority => {
            let parts = part_count(limit, place);
            if place.rank < parts {
                limit_per_s / parts as f64
            } else {
                0.0
            }
        }
    })
}

/// Returns the number of entries that have a part of a limit.
fn part_count(limit: RequestRate, place: &SharePlace) -> usize {
    let parts = (limit.0 / PART_MIN_PER_S) as usize;
    parts.clamp(1, place.entries.max(1))
}

/// Another entry that lacked a part of a target's limit.
#[derive(Clone, Debug)]
struct Want {
    entry: EntryId,
    /// The number of its requests that recently had to pass over the target.
    requests: u32,
    heard_at: Instant,
}

impl Keyed for Want {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// What a target said last about its limit, and this entry's part.
#[derive(Clone, Debug)]
struct KnownLimit {
    host: HostId,
    limit: Option<RequestRate>,
    stated_at: Instant,
    part: TokenBucket,
    /// Whether the part is that of an entry that is cut off from half of the others or more.
    is_cut_off: bool,
    /// Whether all that can be saved up of the part was unused at the last update.
    is_unused: bool,
    /// Until when each of the requests that others left to this entry may be sent.
    granted_until: Vec<Instant>,
    /// The rank after the last entry with a part, from 1; 0 with a part.
    rank_without_part: u32,
    /// When this entry first had to pass over the target since the last statement or probe.
    lacking_since: Option<Instant>,
    /// The number of requests that recently had to pass over the target, at `lacked_at`; it decays
    /// from then on.
    lacked: f64,
    lacked_at: Instant,
    wants: SortedVec<Want>,
    /// The number of draws so far, which varies the entry that is drawn next.
    draw_count: u64,
}

impl Keyed for KnownLimit {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl KnownLimit {
    fn new(host: &HostId, limit: Option<RequestRate>, stated_at: Instant, now: Instant) -> Self {
        Self {
            host: host.clone(),
            limit,
            stated_at,
            part: TokenBucket::empty(RequestRate(0.0), BURST_TIME, now),
            is_cut_off: false,
            is_unused: false,
            granted_until: Vec::new(),
            rank_without_part: 0,
            lacking_since: None,
            lacked: 0.0,
            lacked_at: now,
            wants: SortedVec::new(),
            draw_count: 0,
        }
    }

    /// Replaces the statement by a newer one. Returns whether the limit has changed.
    fn state(&mut self, limit: Option<RequestRate>, stated_at: Instant, now: Instant) -> bool {
        let has_changed = self.limit != limit;
        let starts = self.limit.is_none() && limit.is_some();
        self.limit = limit;
        self.stated_at = stated_at;
        self.lacking_since = None;
        if starts {
            self.part = TokenBucket::empty(RequestRate(0.0), BURST_TIME, now);
            self.granted_until.clear();
        }
        has_changed
    }

    fn update_part(&mut self, members: &ShareMembers, now: Instant) {
        let Some(limit) = self.limit else {
            return;
        };
        let place = members.place(self.host.as_str());
        let rank = place.rank + 1;
        self.rank_without_part = rank.saturating_sub(part_count(limit, &place)) as u32;
        let rate = part_of_limit(limit, &place);
        let is_cut_off = matches!(place.contact, Contact::Minority | Contact::Half);
        let has_part = |rate: RequestRate| rate.0 > 0.0;
        let is_other_part =
            is_cut_off != self.is_cut_off || has_part(rate) != has_part(self.part.rate());
        let was_unused = std::mem::replace(&mut self.is_unused, self.part.is_full(now));
        if is_other_part || (is_cut_off && was_unused && self.is_unused) {
            self.start_part(rate, is_cut_off, &place, now);
        } else {
            self.part.set_rate(rate, now);
        }
    }

    /// Starts with nothing saved up. What is saved up of a part must not outlast the part, since
    /// another entry may have it now.
    ///
    /// All entries that are cut off have a part. Their parts begin at different times, and what they
    /// save up is dropped if it is not used, since together it could exceed a low limit.
    fn start_part(
        &mut self,
        rate: RequestRate,
        is_cut_off: bool,
        place: &SharePlace,
        now: Instant,
    ) {
        let tokens = if is_cut_off {
            place.rank as f64 / place.entries as f64
        } else {
            0.0
        };
        self.part = TokenBucket::with_tokens(tokens, rate, BURST_TIME, now);
        self.is_cut_off = is_cut_off;
        self.is_unused = false;
    }

    fn has_grant(&self, now: Instant) -> bool {
        self.granted_until.iter().any(|until| *until > now)
    }

    /// Returns whether this entry asks a target of which no entry has heard for long.
    fn is_probe_due(&self, now: Instant) -> bool {
        let has_part = self.part.rate().0 > 0.0 || self.rank_without_part == 0;
        let age = now.saturating_duration_since(self.stated_at);
        let delay = PROBE_STEP * self.rank_without_part;
        let has_waited = |since: Instant| now.saturating_duration_since(since) >= delay;
        !has_part && age >= PROBE_AGE && self.lacking_since.is_some_and(has_waited)
    }

    /// Returns the time until a request may be sent.
    fn time_until_send(&self, now: Instant) -> Duration {
        if self.limit.is_none() || self.has_grant(now) || self.is_probe_due(now) {
            return Duration::ZERO;
        }
        self.part.time_until_token(now)
    }

    fn on_send(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        self.granted_until.retain(|until| *until > now);
        let first = self.granted_until.iter().enumerate();
        if let Some((index, _)) = first.min_by_key(|(_, until)| **until) {
            self.granted_until.swap_remove(index);
        } else if self.part.take(now).is_err() {
            // A probe; the next one is due after another full delay.
            self.lacking_since = None;
        }
    }

    fn on_lacking(&mut self, now: Instant) {
        self.lacking_since.get_or_insert(now);
        self.lacked = self.lacked_recently(now) + 1.0;
        self.lacked_at = now;
    }

    /// Returns the number of requests that recently had to pass over the target.
    fn lacked_recently(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.lacked_at);
        self.lacked * (-age.as_secs_f64() / WANT_TIME.as_secs_f64()).exp()
    }

    /// Leaves a saved up request to an entry that lacks one.
    fn grant(&mut self, now: Instant) -> Option<(EntryId, u32)> {
        if self.limit.is_none() || self.part.time_until_token(now) > Duration::ZERO {
            return None;
        }
        let is_current =
            |want: &Want| now.saturating_duration_since(want.heard_at) < PEER_WANT_TIME;
        self.wants.retain(is_current);
        self.draw_count += 1;
        let entry = self.draw_want(now)?;
        // Half of what is saved up is kept for the entry's own requests.
        let saved_up = self.part.rate().0 * BURST_TIME.as_secs_f64();
        let spare = ((saved_up / 2.0) as u32).clamp(1, GRANT_MAX);
        let taken = (0..spare).take_while(|_| self.part.take(now).is_ok());
        let count = taken.count() as u32;
        Some((entry, count))
    }

    /// Draws one of the entries that lack a part, each as often as it has requests. Returns `None`
    /// if this entry itself is drawn.
    fn draw_want(&self, now: Instant) -> Option<EntryId> {
        let own = self.lacked_recently(now).round() as u64;
        let others = self.wants.iter().map(|want| u64::from(want.requests));
        let total = own + others.sum::<u64>();
        // A hash varies the draw, since the module has no source of random numbers.
        let hash = rendezvous_weight(self.host.as_str(), &self.draw_count.to_string());
        let drawn = hash.checked_rem(total)?;
        let mut sum = own;
        let mut wants = self.wants.iter().skip_while(|want| {
            let is_before = sum + u64::from(want.requests) <= drawn;
            sum += u64::from(want.requests);
            is_before
        });
        let is_other = drawn >= own;
        is_other.then(|| wants.next().map(|want| want.entry.clone()))?
    }
}

/// The limits of all targets, and one entry's parts of them.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    targets: SortedVec<KnownLimit>,
    changes: Vec<LimitChange>,
}

impl TargetLimits {
    /// Creates a tracker without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a target's limit, or `None` if none is known.
    pub fn limit(&self, host: &HostId) -> Option<RequestRate> {
        self.targets.get(host)?.limit
    }

    /// Returns the number of targets with a limit.
    pub fn limited_count(&self) -> usize {
        let limited = self.targets.iter().filter(|known| known.limit.is_some());
        limited.count()
    }

    /// Returns the time until this entry may send a request to a target; zero if it may now.
    pub fn time_until_send(&self, host: &HostId, now: Instant) -> Duration {
        let known = self.targets.get(host);
        known.map_or(Duration::ZERO, |known| known.time_until_send(now))
    }

    /// Counts a request that is sent to a target.
    pub fn on_send(&mut self, host: &HostId, now: Instant) {
        if let Some(known) = self.targets.get_mut(host) {
            known.on_send(now);
        }
    }

    /// Records that a request could not be sent because this entry lacks a part of the target's
    /// limit.
    pub fn on_lacking(&mut self, host: &HostId, now: Instant) {
        if let Some(known) = self.targets.get_mut(host) {
            known.on_lacking(now);
        }
    }

    /// Records what an answer, to a request that was sent at `sent_at`, says about the limit. The
    /// parts must be updated then.
    pub fn on_answer(&mut self, host: &HostId, limit: StatedLimit, sent_at: Instant, now: Instant) {
        let (limit, stated_at) = match limit {
            StatedLimit::Invalid => return,
            StatedLimit::Limited(rate) => (Some(rate), now),
            // The answer may have been overtaken by one that names a limit.
            StatedLimit::Unlimited => (None, sent_at),
        };
        let is_news = match self.targets.get(host) {
            Some(known) if known.limit.is_none() && limit.is_none() => false,
            Some(known) => stated_at > known.stated_at,
            None => limit.is_some(),
        };
        if !is_news {
            return;
        }
        self.state(host, limit, stated_at, now);
    }

    /// Applies the gossip of another entry. The parts must be updated then.
    pub fn on_gossip(
        &mut self,
        own: &EntryId,
        sender: &EntryId,
        gossip: &[GossipedLimit],
        now: Instant,
    ) {
        for gossiped in gossip.iter().take(GOSSIPED_MAX) {
            self.on_gossiped_statement(gossiped, now);
            let Some(known) = self.targets.get_mut(&gossiped.host) else {
                continue;
            };
            if gossiped.wanted > 0 {
                known.wants.insert(Want {
                    entry: sender.clone(),
                    requests: gossiped.wanted,
                    heard_at: now,
                });
            } else {
                known.wants.remove(sender);
            }
            let to_own = gossiped.grants.iter().filter(|(entry, _)| entry == own);
            let count: u32 = to_own.map(|(_, count)| (*count).min(GRANT_MAX)).sum();
            let until = now + GRANT_TIME;
            known.granted_until.retain(|until| *until > now);
            known.granted_until.extend((0..count).map(|_| until));
        }
    }

    fn on_gossiped_statement(&mut self, gossiped: &GossipedLimit, now: Instant) {
        let age = Duration::from_millis(gossiped.age_ms);
        let Some(stated_at) = now.checked_sub(age).filter(|_| age < STATEMENT_AGE_MAX) else {
            return;
        };
        let is_news = match self.targets.get(&gossiped.host) {
            Some(known) if known.limit == gossiped.limit => {
                known.limit.is_some() && stated_at > known.stated_at + AGE_ERROR_MAX
            }
            Some(known) => stated_at > known.stated_at,
            None => gossiped.limit.is_some(),
        };
        if is_news {
            self.state(&gossiped.host, gossiped.limit, stated_at, now);
        }
    }

    fn state(
        &mut self,
        host: &HostId,
        limit: Option<RequestRate>,
        stated_at: Instant,
        now: Instant,
    ) {
        let create = || KnownLimit::new(host, None, stated_at, now);
        let known = self.targets.get_or_insert_with(host, create);
        if known.state(limit, stated_at, now) {
            let host = host.clone();
            self.changes.push(LimitChange { host, limit });
        }
    }

    /// Updates this entry's parts after a change of the limits or the members.
    pub fn update_parts(&mut self, members: &ShareMembers, now: Instant) {
        for known in self.targets.iter_mut() {
            known.update_part(members, now);
        }
    }

    /// Drops what was known for long about targets for which `is_known` is false, and limits that
    /// ended long ago.
    pub fn expire<F>(&mut self, is_known: F, now: Instant)
    where
        F: Fn(&HostId) -> bool,
    {
        self.targets.retain(|known| {
            let is_recent = now.saturating_duration_since(known.stated_at) < STATEMENT_AGE_MAX;
            is_recent || (known.limit.is_some() && is_known(&known.host))
        });
    }

    /// Returns the content of the next datagram. The requests that it leaves to other entries are
    /// taken from this entry's parts, so it must be sent at most once.
    pub fn gossip(&mut self, now: Instant) -> Vec<GossipedLimit> {
        let age = |known: &KnownLimit| now.saturating_duration_since(known.stated_at);
        let is_gossiped = |known: &&mut KnownLimit| {
            let age_max = match known.limit {
                Some(_) => STATEMENT_AGE_MAX,
                None => ENDED_GOSSIP_TIME,
            };
            age(known) < age_max
        };
        let mut gossiped: Vec<&mut KnownLimit> =
            self.targets.iter_mut().filter(is_gossiped).collect();
        gossiped.sort_by_key(|known| Reverse(known.stated_at));
        gossiped.truncate(GOSSIPED_MAX);
        let gossip = gossiped.into_iter().map(|known| {
            let wanted = known.lacked_recently(now).round() as u32;
            GossipedLimit {
                host: known.host.clone(),
                limit: known.limit,
                age_ms: age(known).as_millis() as u64,
                wanted: known.limit.map_or(0, |_| wanted),
                grants: known.grant(now).into_iter().collect(),
            }
        });
        gossip.collect()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}
