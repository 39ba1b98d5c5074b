//! The handling of placement orders by an engine.

use std::time::Instant;

use beryltray_lib::target::wire::Order;
use beryltray_lib::target::wire::OrderAction;
use beryltray_lib::target::wire::OrderAnswer;

use super::EngineSettings;
use super::state::EngineState;
use super::state::JoinedGroup;

/// Applies `order`, unless its epoch is stale and the engine is fenced.
pub(super) fn apply_order(
    state: &mut EngineState,
    settings: &EngineSettings,
    now: Instant,
    order: Order,
) -> OrderAnswer {
    let is_stale = order.epoch < state.highest_epoch;
    let is_fenced_now = settings.is_fenced && !state.faults.ignores_fencing;
    if is_stale && is_fenced_now {
        let highest_epoch = state.highest_epoch;
        return OrderAnswer::Stale { highest_epoch };
    }
    state.highest_epoch = state.highest_epoch.max(order.epoch);
    match order.action {
        OrderAction::Preload { weights } => state.load(now, &weights, settings.load_time),
        OrderAction::Leave => state.set_joined_group(None, Some(order.epoch), is_stale),
        OrderAction::Join {
            group,
            generation,
            members,
            weights,
        } => {
            state.load(now, &weights, settings.load_time);
            let rank = members
                .iter()
                .position(|member| member.host == settings.host);
            let joined = JoinedGroup {
                group,
                generation,
                rank: rank
                    .and_then(|rank| u32::try_from(rank).ok())
                    .unwrap_or(u32::MAX),
                members,
                weights,
            };
            state.set_joined_group(Some(joined), Some(order.epoch), is_stale);
        }
    }
    OrderAnswer::Accepted
}
