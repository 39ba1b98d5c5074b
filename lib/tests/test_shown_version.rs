//! Tests of the memory of the newest version that a process has shown.

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::version::shown::ShownVersion;

const OLDER: DocumentVersion = DocumentVersion(5);
const NEWER: DocumentVersion = DocumentVersion(7);

/// Guards against requests that are refused before another entry has answered.
#[test]
fn shown_version_without_answers_allows_all() {
    let shown = ShownVersion::new();
    assert!(shown.allows(DocumentVersion(0)));
    assert_eq!(shown.required_with(None), None);
    assert_eq!(shown.required_with(Some(OLDER)), Some(OLDER));
}

/// Guards against an older version after a newer one, in any order of the answers.
#[test]
fn shown_version_allows_none_older_than_newest_answer() {
    for answers in [[OLDER, NEWER], [NEWER, OLDER]] {
        let mut shown = ShownVersion::new();
        for version in answers {
            shown.on_shown(version);
        }
        assert!(!shown.allows(OLDER));
        assert!(shown.allows(NEWER));
        assert!(shown.allows(NEWER.next()));
        assert_eq!(shown.required_with(Some(OLDER)), Some(NEWER));
        assert_eq!(shown.required_with(None), Some(NEWER));
        assert_eq!(shown.required_with(Some(NEWER.next())), Some(NEWER.next()));
    }
}

/// Guards against a log line for each answer.
#[test]
fn shown_version_tells_whether_answer_is_newer() {
    let mut shown = ShownVersion::new();
    let is_newer = [NEWER, NEWER, OLDER, NEWER.next()].map(|version| shown.on_shown(version));
    assert_eq!(is_newer, [true, false, false, true]);
}
