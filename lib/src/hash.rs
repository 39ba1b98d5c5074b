//! Rendezvous hashing. All processes compute the same hashes.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the rendezvous weight of `candidate` for `key`.
///
/// The candidate with the highest weight owns the key. Removing a candidate reassigns only the keys
/// that it owned.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let mut input = Vec::with_capacity(key.len() + candidate.len() + 1);
    input.extend_from_slice(key.as_bytes());
    input.push(0);
    input.extend_from_slice(candidate.as_bytes());
    xxh3_64(&input)
}

/// Returns the candidate with the highest rendezvous weight for `key`, or `None` if there are
/// no candidates.
pub fn rendezvous_owner<'a, I, T>(key: &str, candidates: I) -> Option<&'a T>
where
    I: IntoIterator<Item = &'a T>,
    T: AsRef<str> + 'a,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| rendezvous_weight(key, candidate.as_ref()))
}
