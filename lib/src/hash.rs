//! Rendezvous hashing and digests. All processes compute the same hashes.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ContentDigest;

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

/// Returns the digest of a sequence of fields. It is no protection against callers who search for
/// equal digests.
pub fn content_digest(fields: &[&[u8]]) -> ContentDigest {
    let mut hasher = Xxh3::new();
    for field in fields {
        // The length tells apart sequences that are equal when joined.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    ContentDigest::from_hash(hasher.digest128())
}
