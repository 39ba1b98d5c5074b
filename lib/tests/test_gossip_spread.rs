//! The pattern: many entries in several data centres, some of them paused or cut off, gossip the loads
//! of targets. A load has to reach all entries while it is of use, and the datagrams with loads
//! between data centres must not become more with the entries.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::EntryId;
use beryltray_lib::process::gateway::Peers;
use beryltray_lib::process::gateway::Recipient;
use beryltray_lib::units::CoreShare;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The interval of datagrams.
const INTERVAL: Duration = Duration::from_millis(150);
/// The age up to which a load is used.
const LOAD_AGE_MAX: Duration = Duration::from_millis(1_500);
/// The share of datagrams that are lost.
const LOSS: f64 = 0.05;

struct Mesh {
    data_centres: Vec<DataCentreId>,
    /// By entry.
    recipients: Vec<Vec<Recipient>>,
}

fn address(entry: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 1_000 + entry).parse().unwrap()
}

impl Mesh {
    /// Builds the entries some time after they have read the list of entries.
    fn new(entries: usize, data_centres: usize) -> Self {
        let now = Instant::now();
        let name = |entry: usize| -> EntryId { format!("entry-{entry}").parse().unwrap() };
        let data_centre = |entry: usize| -> DataCentreId {
            format!("dc-{}", entry % data_centres).parse().unwrap()
        };
        // Some of the entries of each data centre have more processor time.
        let processor = |entry: usize| -> CoreShare {
            let share = if entry / data_centres < 3 {
                "0.5"
            } else {
                "0.12"
            };
            share.parse().unwrap()
        };
        let names: Vec<EntryId> = (0..entries).map(name).collect();
        let recipients_of = |entry: usize| {
            let mut peers = Peers::new(name(entry), data_centre(entry), processor(entry));
            for other in 0..entries {
                let processor = processor(other);
                peers.on_listed(
                    name(other),
                    address(other),
                    data_centre(other),
                    processor,
                    now,
                );
            }
            peers.on_list_read(&names, now);
            peers.recipients(&[], now + Duration::from_secs(2))
        };
        Self {
            data_centres: (0..entries).map(data_centre).collect(),
            recipients: (0..entries).map(recipients_of).collect(),
        }
    }

    /// Returns how long a load that one entry has learned takes to reach all that are not silent;
    /// `None` if it does not reach them.
    fn spread_time(&self, silent_share: f64, random: &mut SmallRng) -> Option<Duration> {
        let count = self.recipients.len();
        let is_silent: Vec<bool> = (0..count)
            .map(|_| random.random_bool(silent_share))
            .collect();
        let first = (0..count).find(|entry| !is_silent[*entry])?;
        let mut knows = vec![false; count];
        knows[first] = true;
        for tick in 1..40_u32 {
            let senders: Vec<usize> = (0..count).filter(|entry| knows[*entry]).collect();
            for sender in senders {
                let with_loads = self.recipients[sender].iter().filter(|r| r.takes_loads);
                for recipient in with_loads {
                    let entry = usize::from(recipient.address.port()) - 1_000;
                    if !is_silent[entry] && !random.random_bool(LOSS) {
                        knows[entry] = true;
                    }
                }
            }
            if (0..count).all(|entry| knows[entry] || is_silent[entry]) {
                return Some(INTERVAL * tick);
            }
        }
        None
    }

    /// Returns the datagrams with loads that go to other data centres in each interval.
    fn remote_loads(&self) -> usize {
        let is_remote = |entry: usize, recipient: &Recipient| {
            let other = usize::from(recipient.address.port()) - 1_000;
            self.data_centres[entry] != self.data_centres[other]
        };
        let of_entry = |(entry, recipients): (usize, &Vec<Recipient>)| {
            let loads = recipients.iter().filter(|r| r.takes_loads);
            loads.filter(|r| is_remote(entry, r)).count()
        };
        self.recipients.iter().enumerate().map(of_entry).sum()
    }
}

// Each entry sent its loads to four entries in other data centres: 780 datagrams in each interval of
// 195 entries, 1,200 of 300.
#[test]
fn gossip_loads_between_data_centres_do_not_grow_with_the_entries() {
    for entries in [60, 100, 195, 300, 1_000] {
        // Eight entries of each data centre send to one in each of the four others.
        assert_eq!(Mesh::new(entries, 5).remote_loads(), 5 * 8 * 4);
    }
}

#[test]
fn gossip_loads_reach_all_entries_while_they_are_used() {
    let mut random = SmallRng::seed_from_u64(0x6055);
    for (entries, data_centres) in [(14, 5), (66, 3), (77, 3), (195, 5), (300, 5)] {
        let mesh = Mesh::new(entries, data_centres);
        for _ in 0..20 {
            let time = mesh.spread_time(0.0, &mut random);
            let is_in_time = time.is_some_and(|time| time < LOAD_AGE_MAX);
            assert!(is_in_time, "{entries} entries: {time:?}");
        }
    }
}

// A third of the entries is paused or cut off, more than any zone's share.
#[test]
fn gossip_loads_reach_all_entries_with_a_third_of_them_silent() {
    let mut random = SmallRng::seed_from_u64(0x6056);
    let mut late = 0;
    for (entries, data_centres) in [(66, 3), (195, 5), (300, 5)] {
        let mesh = Mesh::new(entries, data_centres);
        for _ in 0..40 {
            let time = mesh.spread_time(0.33, &mut random);
            late += usize::from(time.is_none_or(|time| time >= LOAD_AGE_MAX));
        }
    }
    assert_eq!(late, 0);
}
