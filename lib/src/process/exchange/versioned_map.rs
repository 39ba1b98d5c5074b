//! A map whose keys, values and confirmations carry the state version of their last change.
//!
//! Each key gets a numbered [`Slot`] on first use, so that later updates send two bytes instead of
//! the key.

use std::time::Duration;
use std::time::Instant;

use super::wire::MapDelta;
use super::wire::NamedSlot;
use super::wire::STAMP_UNIT_MS;
use super::wire::Slot;
use super::wire::StampedSlot;
use super::wire::StateVersion;
use super::wire::ValuedSlot;

/// The key, value and time of confirmation of a slot.
///
/// Each version is that of the owner's state in which the part before it changed last.
#[derive(Clone, Debug)]
struct SlotState<K, V> {
    key: K,
    key_version: StateVersion,
    value: Option<V>,
    value_version: StateVersion,
    stamp: Option<Instant>,
    stamp_version: StateVersion,
}

/// A value of a [`VersionedMap`] with its key and the time of its last confirmation.
#[derive(Clone, Copy, Debug)]
pub struct MapItem<'a, K, V> {
    /// The key under which the owner set the value.
    pub key: &'a K,
    /// The latest value that was set or received.
    pub value: &'a V,
    /// When the owner last confirmed the value, on the reader's clock; `None` if it never did.
    pub stamp: Option<Instant>,
}

/// Values of one kind in one owner's state. Slots are numbered in the order of first use.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    slot_states: Vec<SlotState<K, V>>,
    /// All slots, in ascending order of their keys.
    slots_by_key: Vec<Slot>,
}

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self {
            slot_states: Vec::new(),
            slots_by_key: Vec::new(),
        }
    }
}

impl<K, V> VersionedMap<K, V>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    /// Sets a value and returns whether it changed.
    ///
    /// Returns `false` too if all 65,536 slots are in use and `key` has none.
    pub fn set(&mut self, key: &K, value: V, version: StateVersion) -> bool {
        let Some(slot_state) = self.slot_or_insert(key, version) else {
            return false;
        };
        if slot_state.value.as_ref() == Some(&value) {
            return false;
        }
        slot_state.value = Some(value);
        slot_state.value_version = version;
        true
    }

    /// Records that the owner confirmed the value of `key` at `stamp`.
    pub fn stamp(&mut self, key: &K, stamp: Instant, version: StateVersion) {
        let Some(slot_state) = self.slot_or_insert(key, version) else {
            return;
        };
        slot_state.stamp = Some(stamp);
        slot_state.stamp_version = version;
    }

    /// Removes the value of `key` and returns whether there was one. The key keeps its slot.
    pub fn remove(&mut self, key: &K, version: StateVersion) -> bool {
        let Ok(index) = self.search(key) else {
            return false;
        };
        let slot = self.slots_by_key[index];
        let slot_state = &mut self.slot_states[usize::from(slot.0)];
        if slot_state.value.is_none() {
            return false;
        }
        slot_state.value = None;
        slot_state.stamp = None;
        slot_state.value_version = version;
        true
    }

    /// Returns the value of `key`, or `None` if it is unset or removed.
    pub fn get(&self, key: &K) -> Option<MapItem<'_, K, V>> {
        let index = self.search(key).ok()?;
        let slot = self.slots_by_key[index];
        self.get_slot(slot)
    }

    /// Returns the value in `slot`, or `None` if it is unset or removed.
    pub fn get_slot(&self, slot: Slot) -> Option<MapItem<'_, K, V>> {
        let slot_state = self.slot_states.get(usize::from(slot.0))?;
        let value = slot_state.value.as_ref()?;
        Some(MapItem {
            key: &slot_state.key,
            value,
            stamp: slot_state.stamp,
        })
    }

    /// Returns the values in ascending order of their slots.
    pub fn items(&self) -> impl Iterator<Item = MapItem<'_, K, V>> {
        let slots = 0..self.slot_states.len();
        slots.filter_map(|index| self.get_slot(Slot(index as u16)))
    }

    /// Returns the changes after version `base`, or `None` if there are none.
    pub fn delta_since(&self, base: StateVersion, now: Instant) -> Option<MapDelta<K, V>> {
        let mut delta = MapDelta::default();
        for (index, slot_state) in self.slot_states.iter().enumerate() {
            let slot = Slot(index as u16);
            if slot_state.key_version > base {
                let key = slot_state.key.clone();
                delta.names.push(NamedSlot { slot, key });
            }
            if slot_state.value_version > base {
                match slot_state.value.clone() {
                    Some(value) => delta.values.push(ValuedSlot { slot, value }),
                    None => delta.dropped.push(slot),
                }
            }
            if let Some(stamp) = slot_state.stamp.filter(|_| slot_state.stamp_version > base) {
                let age_units = age_units(now.saturating_duration_since(stamp));
                delta.stamps.push(StampedSlot { slot, age_units });
            }
        }
        Some(delta).filter(|delta| !delta.is_empty())
    }

    /// Applies the changes up to `version`. Ages in `delta` are relative to `composed_at`.
    ///
    /// Changes of a slot without a key are ignored; only a faulty sender produces them.
    pub fn apply(
        &mut self,
        delta: &Option<MapDelta<K, V>>,
        version: StateVersion,
        composed_at: Instant,
    ) {
        let Some(delta) = delta else {
            return;
        };
        for named in &delta.names {
            if usize::from(named.slot.0) == self.slot_states.len() {
                self.add_slot(named.key.clone(), version);
            }
        }
        for valued in &delta.values {
            if let Some(slot_state) = self.slot_states.get_mut(usize::from(valued.slot.0)) {
                slot_state.value = Some(valued.value.clone());
                slot_state.value_version = version;
            }
        }
        for stamped in &delta.stamps {
            let age = Duration::from_millis(u64::from(stamped.age_units) * STAMP_UNIT_MS);
            let stamp = composed_at.checked_sub(age);
            if let Some(slot_state) = self.slot_states.get_mut(usize::from(stamped.slot.0)) {
                slot_state.stamp = slot_state.stamp.max(stamp);
                slot_state.stamp_version = version;
            }
        }
        for slot in &delta.dropped {
            if let Some(slot_state) = self.slot_states.get_mut(usize::from(slot.0)) {
                slot_state.value = None;
                slot_state.stamp = None;
                slot_state.value_version = version;
            }
        }
    }

    fn slot_or_insert(&mut self, key: &K, version: StateVersion) -> Option<&mut SlotState<K, V>> {
        let slot = match self.search(key) {
            Ok(index) => self.slots_by_key[index],
            Err(_) => self.add_slot(key.clone(), version)?,
        };
        self.slot_states.get_mut(usize::from(slot.0))
    }

    fn add_slot(&mut self, key: K, version: StateVersion) -> Option<Slot> {
        let slot = Slot(u16::try_from(self.slot_states.len()).ok()?);
        let index = self.search(&key).err()?;
        self.slots_by_key.insert(index, slot);
        self.slot_states.push(SlotState {
            key,
            key_version: version,
            value: None,
            value_version: StateVersion::default(),
            stamp: None,
            stamp_version: StateVersion::default(),
        });
        Some(slot)
    }

    fn search(&self, key: &K) -> Result<usize, usize> {
        let key_of = |slot: &Slot| &self.slot_states[usize::from(slot.0)].key;
        self.slots_by_key
            .binary_search_by(|slot| key_of(slot).cmp(key))
    }
}

/// Converts an age to units of [`STAMP_UNIT_MS`], rounded up so that the age is never understated.
fn age_units(age: Duration) -> u32 {
    let units = age.as_millis().div_ceil(u128::from(STAMP_UNIT_MS));
    u32::try_from(units).unwrap_or(u32::MAX)
}
