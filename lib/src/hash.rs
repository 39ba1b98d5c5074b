//! Hashes that every process computes alike, for rendezvous choices and digests.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the rendezvous weight of `candidate` for `key`.
///
/// The candidate with the highest weight owns the key, and the loss of one candidate moves only
/// the keys that it owned.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let mut joined = Vec::with_capacity(key.len() + candidate.len() + 1);
    joined.extend_from_slice(key.as_bytes());
    joined.push(0);
    joined.extend_from_slice(candidate.as_bytes());
    xxh3_64(&joined)
}

/// Returns the candidate with the highest rendezvous weight for `key`, or `None` without any.
pub fn rendezvous_owner<'a, I, T>(key: &str, candidates: I) -> Option<&'a T>
where
    I: IntoIterator<Item = &'a T>,
    T: AsRef<str> + 'a,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| rendezvous_weight(key, candidate.as_ref()))
}
