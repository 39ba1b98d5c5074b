//! A vector kept sorted by key and searched by bisection.

use serde::Deserialize;
use serde::Serialize;

/// A value that carries its own sort key.
pub trait Keyed {
    /// The type of the key.
    type Key: Ord + ?Sized;

    /// Returns the key, which must not change while the value is in a [`SortedVec`].
    fn key(&self) -> &Self::Key;
}

/// A vector of values in ascending order of their keys, each key at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SortedVec<T> {
    items: Vec<T>,
}

impl<T> Default for SortedVec<T> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<T> SortedVec<T>
where
    T: Keyed,
{
    /// Creates an empty vector.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the value with `key`.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        let index = self.search(key).ok()?;
        self.items.get(index)
    }

    /// Returns the value with `key` for a change that leaves the key as it is.
    pub fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        let index = self.search(key).ok()?;
        self.items.get_mut(index)
    }

    /// Returns whether a value with `key` is present.
    pub fn contains_key(&self, key: &T::Key) -> bool {
        self.search(key).is_ok()
    }

    /// Inserts `item` and returns the value with the same key that it replaced.
    pub fn insert(&mut self, item: T) -> Option<T> {
        match self.search(item.key()) {
            Ok(index) => Some(std::mem::replace(&mut self.items[index], item)),
            Err(index) => {
                self.items.insert(index, item);
                None
            }
        }
    }

    /// Returns the value with `key`, inserting what `create` makes if there is none.
    pub fn get_or_insert_with<F>(&mut self, key: &T::Key, create: F) -> &mut T
    where
        F: FnOnce() -> T,
    {
        let index = match self.search(key) {
            Ok(index) => index,
            Err(index) => {
                self.items.insert(index, create());
                index
            }
        };
        &mut self.items[index]
    }

    /// Removes and returns the value with `key`.
    pub fn remove(&mut self, key: &T::Key) -> Option<T> {
        let index = self.search(key).ok()?;
        Some(self.items.remove(index))
    }

    /// Keeps only the values for which `keep` is true.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: FnMut(&T) -> bool,
    {
        self.items.retain(keep);
    }

    /// Returns the values in order for changes that leave the keys as they are.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    fn search(&self, key: &T::Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key().cmp(key))
    }
}

impl<T> SortedVec<T> {
    /// Returns the values in order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the values as a slice.
    pub fn as_slice(&self) -> &[T] {
        &self.items
    }
}

impl<T> FromIterator<T> for SortedVec<T>
where
    T: Keyed,
{
    fn from_iter<I>(items: I) -> Self
    where
        I: IntoIterator<Item = T>,
    {
        let mut sorted = Self::new();
        for item in items {
            sorted.insert(item);
        }
        sorted
    }
}

impl<'a, T> IntoIterator for &'a SortedVec<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
