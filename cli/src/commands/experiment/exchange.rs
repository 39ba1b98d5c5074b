//! `beryltray experiment exchange`: cost of the state exchange per entry.
//!
//! The entries of one data centre run the library's exchange on simulated time that advances in
//! rounds. Two entries of each other data centre are at the remote ends of its links. Bytes are
//! those of the encoded frames plus the TCP and IP headers of each packet. CPU time is the elapsed
//! time of the exchange, encoding and decoding on this machine.
//!
//! The target size is the planned size of the whole system. It isn't related to targets, the back
//! ends of a service. A "node" in the printed report is an entry.

mod fleet;
mod link_interval;
mod load;

use self::fleet::Cost;
use self::fleet::Encoding;
use self::fleet::FleetSettings;
use self::fleet::measure_fleet;
use super::report::Report;
use super::report::Row;
use super::report::Section;

/// Entries per data centre at the target size: 350 entries in 26 data centres.
const TARGET_SIZE_ENTRIES: usize = 14;
/// Hosts per data centre at the target size: 2,100 worker hosts in 26 data centres.
const TARGET_SIZE_HOSTS: usize = 81;
/// Data centres at the target size.
const TARGET_SIZE_DATA_CENTRES: usize = 26;
/// Client accounts; an assumption, because the target size does not state a number.
const TARGET_SIZE_ACCOUNTS: usize = 100;
/// Request rate of one entry at the target size: 10,000 per second at 350 entries.
const TARGET_SIZE_REQUESTS_PER_S: f64 = 10_000.0 / 350.0;
/// Limit on the control traffic of one entry.
const CONTROL_TRAFFIC_LIMIT_BYTES_PER_S: f64 = 12_000.0;

/// Measures the exchange with different encodings, sizes and intervals between data centres.
pub(crate) fn measure(seed: u64) -> Report {
    let target_size = FleetSettings {
        local_entries: TARGET_SIZE_ENTRIES,
        hosts: TARGET_SIZE_HOSTS,
        accounts: TARGET_SIZE_ACCOUNTS,
        data_centres: TARGET_SIZE_DATA_CENTRES,
        requests_per_s: TARGET_SIZE_REQUESTS_PER_S,
        round_ms: 1000,
        encoding: Encoding::Compact,
        sends_full_state: false,
        seed,
    };
    let mut sections = vec![compare_configurations(target_size)];
    sections.push(measure_scaling(
        "entries",
        &[4, 8, 14, 20, 28],
        target_size,
        |settings, value| {
            settings.local_entries = value;
        },
    ));
    sections.push(measure_scaling(
        "hosts",
        &[20, 40, 81, 120, 162],
        target_size,
        |settings, value| {
            settings.hosts = value;
        },
    ));
    sections.push(measure_scaling(
        "accounts",
        &[10, 50, 100, 200],
        target_size,
        |settings, value| {
            settings.accounts = value;
        },
    ));
    sections.push(measure_scaling(
        "data centres",
        &[3, 9, 18, 26, 40],
        target_size,
        |settings, value| {
            settings.data_centres = value;
        },
    ));
    sections.push(measure_scaling(
        "requests/s",
        &[10, 29, 60, 120],
        target_size,
        |settings, value| {
            settings.requests_per_s = value as f64;
        },
    ));
    sections.push(link_interval::compare(seed));
    Report {
        experiment: String::from("exchange"),
        seed,
        sections,
    }
}

/// Compares exchange configurations at the target size, from the simplest one to the one in use.
fn compare_configurations(target_size: FleetSettings) -> Section {
    let plain = FleetSettings {
        round_ms: 500,
        encoding: Encoding::Json,
        sends_full_state: true,
        ..target_size
    };
    let compact = FleetSettings {
        encoding: Encoding::Compact,
        ..plain
    };
    let deltas = FleetSettings {
        sends_full_state: false,
        ..compact
    };
    let json_deltas = FleetSettings {
        encoding: Encoding::Json,
        ..target_size
    };
    let rows = [
        ("JSON, whole state, 0.5 s", plain),
        ("compact, whole state, 0.5 s", compact),
        ("compact, deltas, 0.5 s", deltas),
        ("JSON, deltas, 1 s", json_deltas),
        ("compact, deltas, 1 s (in use)", target_size),
    ];
    let rows = rows.map(|(case, settings)| cost_row(case, measure_fleet(settings)));
    Section {
        title: String::from("a node at the target size, step by step"),
        rows: rows.into(),
    }
}

/// Measures the cost for several values of one setting, with the others at the target size.
///
/// The last row is the cost per unit of the setting, as a least-squares slope.
fn measure_scaling<F>(
    name: &str,
    values: &[usize],
    target_size: FleetSettings,
    set_value: F,
) -> Section
where
    F: Fn(&mut FleetSettings, usize),
{
    let measured: Vec<(usize, Cost)> = values
        .iter()
        .map(|&value| {
            let mut settings = target_size;
            set_value(&mut settings, value);
            (value, measure_fleet(settings))
        })
        .collect();
    let mut rows: Vec<Row> = measured
        .iter()
        .map(|(value, cost)| cost_row(&format!("{value} {name}"), *cost))
        .collect();
    let slope_of = |figure: fn(&Cost) -> f64| {
        let points = measured.iter().map(|(x, cost)| (*x as f64, figure(cost)));
        least_squares_slope(&points.collect::<Vec<_>>())
    };
    let cost_per_unit = Cost {
        bytes_per_s: slope_of(|cost| cost.bytes_per_s),
        calls_per_s: slope_of(|cost| cost.calls_per_s),
        cpu_us_per_s: slope_of(|cost| cost.cpu_us_per_s),
        state_bytes: slope_of(|cost| cost.state_bytes),
    };
    rows.push(cost_row(
        &format!("slope: one more of {name}"),
        cost_per_unit,
    ));
    let title = format!("a node against {name}, all else at the target size");
    Section { title, rows }
}

fn cost_row(case: &str, cost: Cost) -> Row {
    Row::new(case)
        .with("bytes/s", cost.bytes_per_s)
        .with(
            "of 12 KB/s, %",
            100.0 * cost.bytes_per_s / CONTROL_TRAFFIC_LIMIT_BYTES_PER_S,
        )
        .with("calls/s", cost.calls_per_s)
        .with("processor, us/s", cost.cpu_us_per_s)
        .with("state, KB", cost.state_bytes / 1000.0)
}

/// Returns the slope of the linear regression of the points.
fn least_squares_slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let variance = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    covariance.sum::<f64>() / variance.sum::<f64>()
}
