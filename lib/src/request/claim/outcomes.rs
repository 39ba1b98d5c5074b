//! What the answers of the table mean for the claims and marks of a batch.

use std::time::Duration;
use std::time::Instant;

use crate::attempts::AttemptSource;
use crate::ids::Revision;
use crate::platform::CommitOutcome;
use crate::platform::Condition;
use crate::platform::PlatformError;
use crate::platform::Row;
use crate::platform::rows::ClaimState;

use super::batch::Batch;
use super::batch::Item;
use super::machine::ClaimMachine;
use super::machine::Phase;
use super::stored::EarlierClaim;
use super::stored::Standing;
use super::stored::StoredClaim;
use super::stored::earlier_claim;
use super::types::ClaimAction;
use super::types::ClaimDecision;
use super::types::ClaimTicket;

impl<A> ClaimMachine<A>
where
    A: AttemptSource,
{
    pub(super) fn on_commit_of(
        &mut self,
        batch: Batch,
        answer: Result<CommitOutcome, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        match answer {
            Ok(CommitOutcome::Committed { revision }) => {
                self.routes.on_worked(batch.route);
                let items = batch.items.into_iter();
                let written = items.map(|item| self.on_written(item, revision, now));
                written.flatten().collect()
            }
            Ok(CommitOutcome::Refused { current }) => {
                self.routes.on_worked(batch.route);
                self.settle_all(batch.items, &current, now)
            }
            Err(PlatformError::Unavailable { .. }) => {
                match self.routes.on_failed(batch.route, now) {
                    Some(route) => vec![self.commit(batch.items, route)],
                    None => self.on_no_route(batch.items, now),
                }
            }
            Err(PlatformError::Ambiguous { .. } | PlatformError::Protocol { .. }) => {
                let mut items = batch.items;
                for item in &mut items {
                    item.is_ambiguous = true;
                }
                vec![self.read_back(items, batch.route)]
            }
        }
    }

    pub(super) fn on_read_of(
        &mut self,
        batch: Batch,
        answer: Result<Vec<Option<Row>>, PlatformError>,
        now: Instant,
    ) -> Vec<ClaimAction> {
        if let Ok(rows) = answer {
            return self.settle_all(batch.items, &rows, now);
        }
        match self.routes.on_failed(batch.route, now) {
            Some(route) => vec![self.read_back(batch.items, route)],
            None => self.on_no_route(batch.items, now),
        }
    }

    /// Ends what can't be written, since neither way to the table works.
    fn on_no_route(&mut self, items: Vec<Item>, now: Instant) -> Vec<ClaimAction> {
        let ended = items.into_iter().map(|item| self.on_unwritten(item, now));
        ended.flatten().collect()
    }

    fn on_unwritten(&mut self, item: Item, now: Instant) -> Option<ClaimAction> {
        let held = self.held.get(&item.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => {
                self.drop_or_mark(item, now);
                Some(self.not_run(ticket))
            }
            Phase::Recording { give_up_at, .. } if give_up_at <= now => self.report_lost(item),
            Phase::Recording { .. } => {
                let not_before = now + self.settings.route_retry_delay;
                self.queue.push(Item { not_before, ..item });
                None
            }
            Phase::GivenUp | Phase::Granted { .. } => {
                self.drop_or_mark(item, now);
                None
            }
        }
    }

    fn report_lost(&mut self, item: Item) -> Option<ClaimAction> {
        self.held.remove(&item.work);
        let work = item.work;
        Some(ClaimAction::ReportUnrecorded { work })
    }

    fn settle_all(
        &mut self,
        items: Vec<Item>,
        rows: &[Option<Row>],
        now: Instant,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            let row = rows.get(index).and_then(Option::as_ref);
            actions.extend(self.settle(item, Standing::read(row), now));
        }
        actions
    }

    /// Settles one item by what stands under its key.
    fn settle(&mut self, item: Item, standing: Standing, now: Instant) -> Option<ClaimAction> {
        if let Standing::Claim(stored) = &standing
            && stored.claim.attempt == item.row.attempt
        {
            return self.settle_own(item, stored.clone(), now);
        }
        let held = self.held.get(&item.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => self.settle_claim(item, ticket, standing, now),
            Phase::Recording { .. } => self.settle_mark(item, standing, now),
            Phase::GivenUp => {
                self.settle_given_up(item, &standing, now);
                None
            }
            Phase::Granted { .. } => None,
        }
    }

    /// Settles an item whose row, as it stands, is of the same claim.
    fn settle_own(&mut self, item: Item, stored: StoredClaim, now: Instant) -> Option<ClaimAction> {
        if stored.claim.state == item.row.state {
            return self.on_written(item, stored.revision, now);
        }
        if stored.claim.state == ClaimState::Started {
            self.retry_under(item, Condition::Revision(stored.revision), now);
            return None;
        }
        self.held.remove(&item.work);
        None
    }

    /// Takes in that an item's row is durable.
    fn on_written(&mut self, item: Item, revision: Revision, now: Instant) -> Option<ClaimAction> {
        let held = self.held.get_mut(&item.work)?;
        match held.phase {
            Phase::Claiming { ticket, .. } => {
                held.phase = Phase::Granted { revision };
                let attempt = held.attempt.clone();
                let decision = ClaimDecision::Granted { attempt };
                Some(ClaimAction::Decide { ticket, decision })
            }
            Phase::GivenUp => {
                let condition = Condition::Revision(revision);
                self.record_under(&item.work, ClaimState::NotRun, condition, now, now);
                None
            }
            Phase::Recording { .. } => {
                self.held.remove(&item.work);
                None
            }
            Phase::Granted { .. } => None,
        }
    }

    fn settle_claim(
        &mut self,
        item: Item,
        ticket: ClaimTicket,
        standing: Standing,
        now: Instant,
    ) -> Option<ClaimAction> {
        let decision = match &standing {
            Standing::Absent => None,
            Standing::Unreadable => Some(ClaimDecision::Abandoned),
            Standing::Claim(stored) => self.decide_earlier(&item, stored, now),
        };
        let Some(decision) = decision else {
            let condition = standing.free_condition().unwrap_or(item.condition);
            self.retry_under(item, condition, now);
            return None;
        };
        self.held.remove(&item.work);
        Some(ClaimAction::Decide { ticket, decision })
    }

    /// Returns what an earlier claim means for a request, or `None` if it can be claimed again.
    fn decide_earlier(
        &mut self,
        item: &Item,
        stored: &StoredClaim,
        now: Instant,
    ) -> Option<ClaimDecision> {
        match earlier_claim(&stored.claim, &item.row.request_digest) {
            EarlierClaim::NotRun => None,
            EarlierClaim::OtherBody => Some(ClaimDecision::OtherBody),
            EarlierClaim::Answered(answer) => Some(ClaimDecision::Replay { answer }),
            EarlierClaim::Unknown => Some(ClaimDecision::Abandoned),
            EarlierClaim::Started => Some(self.decide_started(item, stored, now)),
        }
    }

    fn decide_started(&mut self, item: &Item, stored: &StoredClaim, now: Instant) -> ClaimDecision {
        // This process holds its own claims, so one of its own that it doesn't hold was given up.
        let is_own = stored.claim.entry == self.owner.entry;
        let is_in_flight = !is_own
            && self.holders.is_in_flight(
                &item.work,
                &stored.claim,
                stored.revision,
                self.settings.abandon_after,
                now,
            );
        if is_in_flight {
            let retry_after = self.settings.retry_after;
            ClaimDecision::InProgress { retry_after }
        } else {
            ClaimDecision::Abandoned
        }
    }

    /// Settles a mark whose row was lost or replaced, as by a restore of the table.
    fn settle_mark(&mut self, item: Item, standing: Standing, now: Instant) -> Option<ClaimAction> {
        match standing.free_condition() {
            Some(condition) => {
                self.retry_under(item, condition, now);
                None
            }
            None => self.report_lost(item),
        }
    }

    /// Marks a claim as not run whose request has gone, unless another claim took the key.
    ///
    /// The mark is written even where nothing stands, since the claim may still take effect late.
    fn settle_given_up(&mut self, item: Item, standing: &Standing, now: Instant) {
        match standing.free_condition() {
            Some(condition) => {
                self.record_under(&item.work, ClaimState::NotRun, condition, now, now);
            }
            None => {
                self.held.remove(&item.work);
            }
        }
    }

    /// Queues an item again; one whose answers get lost waits a little between its tries.
    fn retry_under(&mut self, item: Item, condition: Condition, now: Instant) {
        let delay = if item.is_ambiguous {
            self.settings.batch_delay
        } else {
            Duration::ZERO
        };
        self.queue.push(Item {
            condition,
            not_before: now + delay,
            ..item
        });
    }
}
