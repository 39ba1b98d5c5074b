//! A vector that is sorted by key and uses binary search.

use serde::Deserialize;
use serde::Serialize;

/// A value that contains its sort key.
pub trait Keyed {
    /// The type of the sort key.
    type Key: Ord + ?Sized;

    /// Returns the key, which must not change while the value is in a [`SortedVec`].
    fn key(&self) -> &Self::Key;
}

/// A vector of values with unique keys, in ascending order of the keys.
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

    /// Returns the value with `key`, or `None` if there is none.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        let index = self.search(key).ok()?;
        self.items.get(index)
    }

    /// Returns a mutable reference to the value with `key`. The caller must not change the key.
    pub fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        let index = self.search(key).ok()?;
        self.items.get_mut(index)
    }

    /// Returns whether a value with `key` is present.
    pub fn contains_key(&self, key: &T::Key) -> bool {
        self.search(key).is_ok()
    }

    /// Inserts `item` and returns the replaced value with the same key, if any.
    pub fn insert(&mut self, item: T) -> Option<T> {
        match self.search(item.key()) {
            Ok(index) => Some(std::mem::replace(&mut self.items[index], item)),
            Err(index) => {
                self.items.insert(index, item);
                None
            }
        }
    }

    /// Returns the value with `key`. If there is none, inserts the result of `create`, which must
    /// have that key.
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

    /// Removes and returns the value with `key`, if any.
    pub fn remove(&mut self, key: &T::Key) -> Option<T> {
        let index = self.search(key).ok()?;
        Some(self.items.remove(index))
    }

    /// Removes the values for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: FnMut(&T) -> bool,
    {
        self.items.retain(keep);
    }

    /// Returns mutable references to the values in order. The caller must not change the keys.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    fn search(&self, key: &T::Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key().cmp(key))
    }
}

impl<T> SortedVec<T> {
    /// Returns the values in ascending order of their keys.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the vector is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the values as a slice in ascending order of their keys.
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
