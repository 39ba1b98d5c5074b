//! A column of one owner's state: values of one kind, by name and by slot.

use std::time::Duration;
use std::time::Instant;

use super::wire::MapDelta;
use super::wire::NamedSlot;
use super::wire::STAMP_UNIT_MS;
use super::wire::Slot;
use super::wire::StampedSlot;
use super::wire::StateVersion;
use super::wire::ValuedSlot;

#[derive(Clone, Debug)]
struct Cell<K, V> {
    key: K,
    name_version: StateVersion,
    value: Option<V>,
    value_version: StateVersion,
    stamp: Option<Instant>,
    stamp_version: StateVersion,
}

/// A value of a column, with the time of its last confirmation if the column is stamped.
#[derive(Clone, Copy, Debug)]
pub struct MapItem<'a, K, V> {
    /// The name.
    pub key: &'a K,
    /// The value.
    pub value: &'a V,
    /// When the owner last confirmed the value, on the reader's clock.
    pub stamp: Option<Instant>,
}

/// Values of one kind; the owner numbers the names in the order of their first use.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    cells: Vec<Cell<K, V>>,
    slots_by_key: Vec<Slot>,
}

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self {
            cells: Vec::new(),
            slots_by_key: Vec::new(),
        }
    }
}

impl<K, V> VersionedMap<K, V>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    /// Sets a value and returns whether that is news.
    pub fn set(&mut self, key: &K, value: V, version: StateVersion) -> bool {
        let Some(cell) = self.cell_or_insert(key, version) else {
            return false;
        };
        if cell.value.as_ref() == Some(&value) {
            return false;
        }
        cell.value = Some(value);
        cell.value_version = version;
        true
    }

    /// Records that the value with `key` was confirmed at `stamp`.
    pub fn stamp(&mut self, key: &K, stamp: Instant, version: StateVersion) {
        let Some(cell) = self.cell_or_insert(key, version) else {
            return;
        };
        cell.stamp = Some(stamp);
        cell.stamp_version = version;
    }

    /// Drops the value with `key` and returns whether there was one.
    pub fn remove(&mut self, key: &K, version: StateVersion) -> bool {
        let Ok(index) = self.search(key) else {
            return false;
        };
        let slot = self.slots_by_key[index];
        let cell = &mut self.cells[usize::from(slot.0)];
        if cell.value.is_none() {
            return false;
        }
        cell.value = None;
        cell.stamp = None;
        cell.value_version = version;
        true
    }

    /// Returns the value with `key`.
    pub fn get(&self, key: &K) -> Option<MapItem<'_, K, V>> {
        let index = self.search(key).ok()?;
        let slot = self.slots_by_key[index];
        self.get_slot(slot)
    }

    /// Returns the value in `slot`.
    pub fn get_slot(&self, slot: Slot) -> Option<MapItem<'_, K, V>> {
        let cell = self.cells.get(usize::from(slot.0))?;
        let value = cell.value.as_ref()?;
        Some(MapItem {
            key: &cell.key,
            value,
            stamp: cell.stamp,
        })
    }

    /// Returns the values in order of their slots.
    pub fn items(&self) -> impl Iterator<Item = MapItem<'_, K, V>> {
        let slots = 0..self.cells.len();
        slots.filter_map(|index| self.get_slot(Slot(index as u16)))
    }

    /// Returns what changed after `base`, or `None` if nothing did.
    pub fn delta_since(&self, base: StateVersion, now: Instant) -> Option<MapDelta<K, V>> {
        let mut delta = MapDelta::default();
        for (index, cell) in self.cells.iter().enumerate() {
            let slot = Slot(index as u16);
            if cell.name_version > base {
                let key = cell.key.clone();
                delta.names.push(NamedSlot { slot, key });
            }
            if cell.value_version > base {
                match cell.value.clone() {
                    Some(value) => delta.values.push(ValuedSlot { slot, value }),
                    None => delta.dropped.push(slot),
                }
            }
            if let Some(stamp) = cell.stamp.filter(|_| cell.stamp_version > base) {
                let age_units = age_units(now.saturating_duration_since(stamp));
                delta.stamps.push(StampedSlot { slot, age_units });
            }
        }
        Some(delta).filter(|delta| !delta.is_empty())
    }

    /// Takes over what changed up to `version`; the ages are counted back from `composed_at`.
    ///
    /// A slot without a name is passed over: it can only come from a faulty sender.
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
            if usize::from(named.slot.0) == self.cells.len() {
                self.append(named.key.clone(), version);
            }
        }
        for valued in &delta.values {
            if let Some(cell) = self.cells.get_mut(usize::from(valued.slot.0)) {
                cell.value = Some(valued.value.clone());
                cell.value_version = version;
            }
        }
        for stamped in &delta.stamps {
            let age = Duration::from_millis(u64::from(stamped.age_units) * STAMP_UNIT_MS);
            let stamp = composed_at.checked_sub(age);
            if let Some(cell) = self.cells.get_mut(usize::from(stamped.slot.0)) {
                cell.stamp = cell.stamp.max(stamp);
                cell.stamp_version = version;
            }
        }
        for slot in &delta.dropped {
            if let Some(cell) = self.cells.get_mut(usize::from(slot.0)) {
                cell.value = None;
                cell.stamp = None;
                cell.value_version = version;
            }
        }
    }

    fn cell_or_insert(&mut self, key: &K, version: StateVersion) -> Option<&mut Cell<K, V>> {
        let slot = match self.search(key) {
            Ok(index) => self.slots_by_key[index],
            Err(_) => self.append(key.clone(), version)?,
        };
        self.cells.get_mut(usize::from(slot.0))
    }

    fn append(&mut self, key: K, version: StateVersion) -> Option<Slot> {
        let slot = Slot(u16::try_from(self.cells.len()).ok()?);
        let index = self.search(&key).err()?;
        self.slots_by_key.insert(index, slot);
        self.cells.push(Cell {
            key,
            name_version: version,
            value: None,
            value_version: StateVersion::default(),
            stamp: None,
            stamp_version: StateVersion::default(),
        });
        Some(slot)
    }

    fn search(&self, key: &K) -> Result<usize, usize> {
        let key_of = |slot: &Slot| &self.cells[usize::from(slot.0)].key;
        self.slots_by_key
            .binary_search_by(|slot| key_of(slot).cmp(key))
    }
}

/// Rounds an age up, so that a value never looks younger than it is.
fn age_units(age: Duration) -> u32 {
    let units = age.as_millis().div_ceil(u128::from(STAMP_UNIT_MS));
    u32::try_from(units).unwrap_or(u32::MAX)
}
