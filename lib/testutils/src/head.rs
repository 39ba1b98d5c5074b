//! Simulation of entries that follow one head despite network partitions, restarts and platform
//! restores.
//!
//! A schedule decides when each answer and announcement arrives, so that answers may be stale.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::head::FetchedVersion;
use beryltray_lib::version::head::HeadAction;
use beryltray_lib::version::head::HeadMark;
use beryltray_lib::version::head::HeadSettings;
use beryltray_lib::version::head::HeadVersion;
use beryltray_lib::version::head::HeadWatcher;
use beryltray_lib::version::head::StoredHead;
use beryltray_lib::version::head::TextSource;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Entries 0 and 1 are in one data centre, 2 and 3 in another.
const ENTRIES: usize = 4;

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum HeadStep {
    /// An operator applies a change.
    Apply,
    /// The latest read of the head by this entry is answered with the head at the time of the read.
    AnswerRead(usize),
    /// The latest fetch of a version by this entry is answered.
    AnswerFetch(usize),
    /// The first entry announces its version in force to the second one.
    Gossip(usize, usize),
    /// The data centres are partitioned from each other, or connected again if false.
    PartitionDataCentres(bool),
    /// A data centre is partitioned from the platform, or connected again if false.
    PartitionPlatform(usize, bool),
    /// The platform is restored to a backup; the number modulo the backups selects it.
    Restore(usize),
    /// The process of this entry restarts without state.
    Restart(usize),
    /// Advances the clock by this number of milliseconds.
    Wait(u64),
}

impl Arbitrary for HeadStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES;
        match u8::arbitrary(g) % 20 {
            0..=2 => Self::Apply,
            3..=7 => Self::AnswerRead(entry),
            8..=11 => Self::AnswerFetch(entry),
            12..=14 => Self::Gossip(entry, usize::arbitrary(g) % ENTRIES),
            15 => Self::PartitionDataCentres(bool::arbitrary(g)),
            16 => Self::PartitionPlatform(entry / 2, bool::arbitrary(g)),
            17 => Self::Restore(usize::arbitrary(g)),
            18 if bool::arbitrary(g) => Self::Restart(entry),
            _ => Self::Wait(u64::arbitrary(g) % 1500),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct PlatformState {
    head: Option<StoredHead>,
    texts: Vec<String>,
}

#[derive(Clone)]
struct Entry {
    watcher: HeadWatcher,
    reads: Vec<Option<StoredHead>>,
    fetches: Vec<(HeadMark, TextSource)>,
    in_force: Vec<Arc<HeadVersion>>,
}

/// The simulated entries and platform.
pub struct HeadSimulation {
    now: Instant,
    platform: PlatformState,
    revision: u64,
    backups: Vec<PlatformState>,
    entries: Vec<Entry>,
    are_data_centres_partitioned: bool,
    /// Whether each data centre is partitioned from the platform.
    is_platform_partitioned: [bool; 2],
    is_writing_back: bool,
    /// The accepted changes, in order.
    pub accepted: Vec<HeadMark>,
    /// Whether an entry ever put a version in force that was not above the one before.
    pub has_reverted: bool,
}

fn new_entry() -> Entry {
    Entry {
        watcher: HeadWatcher::new(HeadSettings::default()),
        reads: Vec::new(),
        fetches: Vec::new(),
        in_force: Vec::new(),
    }
}

fn entry_id(entry: usize) -> EntryId {
    format!("entry-{entry}").parse().expect("a name")
}

fn index(entry: &EntryId) -> usize {
    entry.as_str()["entry-".len()..].parse().expect("a name")
}

impl HeadSimulation {
    /// Creates the entries. Without `is_writing_back` they are a faulty variant that never writes a
    /// version back to the platform.
    pub fn new(is_writing_back: bool) -> Self {
        Self {
            now: Instant::now(),
            platform: PlatformState::default(),
            revision: 0,
            backups: vec![PlatformState::default()],
            entries: vec![new_entry(); ENTRIES],
            are_data_centres_partitioned: false,
            is_platform_partitioned: [false; 2],
            is_writing_back,
            accepted: Vec::new(),
            has_reverted: false,
        }
    }

    /// Runs the steps of a schedule, with a tick of all entries after each.
    pub fn run(&mut self, steps: &[HeadStep]) {
        for step in steps {
            self.step(step);
            self.tick();
        }
    }

    fn step(&mut self, step: &HeadStep) {
        match step {
            HeadStep::Apply => self.apply(),
            HeadStep::AnswerRead(entry) => self.answer_read(*entry),
            HeadStep::AnswerFetch(entry) => self.answer_fetch(*entry),
            HeadStep::Gossip(from, to) => self.gossip(*from, *to),
            HeadStep::PartitionDataCentres(is_partitioned) => {
                self.are_data_centres_partitioned = *is_partitioned;
            }
            HeadStep::PartitionPlatform(data_centre, is_partitioned) => {
                self.is_platform_partitioned[*data_centre] = *is_partitioned
            }
            HeadStep::Restore(backup) => {
                self.platform = self.backups[backup % self.backups.len()].clone();
            }
            HeadStep::Restart(entry) => self.entries[*entry] = new_entry(),
            HeadStep::Wait(delay_ms) => self.now += Duration::from_millis(*delay_ms),
        }
    }

    /// Applies a change, unless an entry has a version above the table's head in force. An operator
    /// gets this check with `--entry`.
    fn apply(&mut self) {
        let currents = self
            .entries
            .iter()
            .filter_map(|entry| entry.watcher.current());
        let in_force = currents.map(|current| current.mark()).max();
        let stored = self.platform.head.as_ref();
        let head = stored.map(|stored| HeadMark::from(&stored.row));
        if in_force.is_some() && head < in_force {
            return;
        }
        let version = head.map_or(DocumentVersion(1), |head| head.version.next());
        let text = format!("# change {}\n", self.accepted.len());
        let row = HeadRow {
            version,
            digest: digest_of(text.as_bytes()),
            base: DocumentVersion(version.0 - 1),
            author: String::from("maud"),
            accepted_unix_s: 0,
        };
        self.accepted.push(HeadMark::from(&row));
        self.write_head(row, text);
    }

    fn write_head(&mut self, row: HeadRow, text: String) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.platform.head = Some(StoredHead { row, revision });
        self.platform.texts.push(text);
        self.backups.push(self.platform.clone());
    }

    fn can_reach_platform(&self, entry: usize) -> bool {
        !self.is_platform_partitioned[entry / 2]
    }

    fn can_reach_peer(&self, from: usize, to: usize) -> bool {
        from != to && (!self.are_data_centres_partitioned || from / 2 == to / 2)
    }

    fn answer_read(&mut self, entry: usize) {
        let can_reach = self.can_reach_platform(entry);
        let Some(read) = self.entries[entry].reads.pop() else {
            return;
        };
        let watcher = &mut self.entries[entry].watcher;
        if can_reach {
            let actions = watcher.on_table_head(read, self.now);
            self.carry_out(entry, actions);
        } else {
            watcher.on_table_failed();
        }
    }

    fn answer_fetch(&mut self, entry: usize) {
        let Some((mark, source)) = self.entries[entry].fetches.pop() else {
            return;
        };
        let fetched = self.fetched(entry, &mark, &source);
        let watcher = &mut self.entries[entry].watcher;
        let Some(fetched) = fetched else {
            watcher.on_fetch_failed(&mark, self.now);
            return;
        };
        let actions = watcher.on_fetched(&mark, &source, fetched, self.now);
        self.carry_out(entry, actions);
    }

    fn fetched(
        &self,
        entry: usize,
        mark: &HeadMark,
        source: &TextSource,
    ) -> Option<FetchedVersion> {
        match source {
            TextSource::Platform if self.can_reach_platform(entry) => {
                let mut texts = self.platform.texts.iter();
                let text = texts.find(|text| digest_of(text.as_bytes()) == mark.digest)?;
                let row = HeadRow {
                    version: mark.version,
                    digest: mark.digest.clone(),
                    base: DocumentVersion(0),
                    author: String::from("maud"),
                    accepted_unix_s: 0,
                };
                let text = text.clone();
                Some(FetchedVersion { row, text })
            }
            TextSource::Peer(peer) if self.can_reach_peer(entry, index(peer)) => {
                let version = self.entries[index(peer)].watcher.current()?;
                Some(FetchedVersion {
                    row: version.row.clone(),
                    text: version.text.clone(),
                })
            }
            _ => None,
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        if !self.can_reach_peer(from, to) {
            return;
        }
        let Some(current) = self.entries[from].watcher.current() else {
            return;
        };
        let mark = current.mark();
        let actions = self.entries[to]
            .watcher
            .on_peer_head(entry_id(from), mark, self.now);
        self.carry_out(to, actions);
    }

    fn tick(&mut self) {
        for entry in 0..ENTRIES {
            let actions = self.entries[entry].watcher.on_tick(self.now);
            self.carry_out(entry, actions);
        }
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<HeadAction>) {
        for action in actions {
            match action {
                HeadAction::ReadHead => {
                    let read = self.platform.head.clone();
                    self.entries[entry].reads.push(read);
                }
                HeadAction::Fetch { mark, source } => {
                    self.entries[entry].fetches.push((mark, source));
                }
                HeadAction::PutInForce(version) => self.put_in_force(entry, version),
                HeadAction::WriteBack { version, observed } => {
                    let head = self.platform.head.as_ref().map(|head| head.revision);
                    let may_write = self.is_writing_back && self.can_reach_platform(entry);
                    if may_write && head == observed {
                        self.write_head(version.row.clone(), version.text.clone());
                    }
                }
            }
        }
    }

    fn put_in_force(&mut self, entry: usize, version: Arc<HeadVersion>) {
        let in_force = &mut self.entries[entry].in_force;
        let last = in_force.last().map(|last| last.mark());
        self.has_reverted |= last.is_some_and(|last| last >= version.mark());
        in_force.push(version);
    }

    /// Ends all partitions, and delivers all answers and announcements for some rounds.
    pub fn heal(&mut self) {
        const ROUNDS: usize = 20;
        self.are_data_centres_partitioned = false;
        self.is_platform_partitioned = [false; 2];
        for _ in 0..ROUNDS {
            self.now += HeadSettings::default().read_interval;
            self.tick();
            for entry in 0..ENTRIES {
                while !self.entries[entry].reads.is_empty() {
                    self.answer_read(entry);
                }
                while !self.entries[entry].fetches.is_empty() {
                    self.answer_fetch(entry);
                }
                for other in 0..ENTRIES {
                    self.gossip(other, entry);
                }
            }
        }
    }

    /// Returns the version in force at each entry.
    pub fn marks(&self) -> Vec<Option<HeadMark>> {
        let currents = self.entries.iter().map(|entry| entry.watcher.current());
        currents.map(|current| Some(current?.mark())).collect()
    }

    /// Ends all partitions and returns whether all entries and the table then have the same version
    /// and whether it is not below the highest one that was in force before.
    pub fn converges_to_highest(&mut self) -> bool {
        let before = self.marks().into_iter().max().flatten();
        self.heal();
        let head = self.platform.head.as_ref();
        let head = head.map(|head| HeadMark::from(&head.row));
        head >= before && self.marks().into_iter().all(|mark| mark == head)
    }
}
