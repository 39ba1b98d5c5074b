//! The load pattern of the heaviest days: hosts are lost every few seconds and come back without
//! weights, beside cuts. What counts is how much of the capacity serves.

use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::version::routes::EngineSheet;
use beryltray_lib::version::routes::ModelSheet;
use beryltray_testutils::fleet::Cut;
use beryltray_testutils::formation::FormationWorld;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn model(name: &str, size: usize, load_s: u64, warm_ms: u64) -> ModelSheet {
    ModelSheet {
        weights: name.parse().unwrap(),
        group_size: size,
        expected_share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(load_s),
        warm_time: Duration::from_millis(warm_ms),
    }
}

fn sheet(large: usize, small: usize, at_once: usize) -> EngineSheet {
    EngineSheet {
        models: vec![
            model("large", large, 16, 1_600),
            model("small", small, 12, 1_100),
        ],
        slots: 48,
        step_time: Duration::from_micros(6_450),
        step_time_per_request: Duration::from_micros(97),
        prompt_tokens_per_s: 56_100.0,
        steps_per_event: 5,
        usual_answer_tokens: 150.0,
        loads_per_s: 14.0,
        loads_at_once: at_once,
        cross_domain_factor: 2.5,
    }
}

/// What happens beside the losses.
#[derive(Clone, Copy, Debug, Default)]
struct Pattern {
    /// The most hosts that are lost or come at once.
    count: usize,
    /// The share of the hosts that the registry loses sight of, when, and for how long.
    registry_cut: Option<(f64, u64, u64)>,
    /// When all hosts of a domain go dark, and for how long.
    dark_domain: Option<(u64, u64)>,
    /// When so many hosts leave, while as many new ones come.
    release: Option<(u64, usize)>,
}

/// The parts of the first capacity that serve over time.
struct Served {
    /// The mean of what the worse supplied model has.
    worst: f64,
    /// The mean over both models.
    mean: f64,
    /// What both have at each second.
    by_second: Vec<(f64, f64)>,
    idle: Vec<String>,
}

const SPAN: Duration = Duration::from_secs(40);

fn play(seed: u64, sheet: EngineSheet, domains: &[usize], pattern: Pattern) -> Served {
    let mut random = SmallRng::seed_from_u64(seed);
    let models = sheet.models.clone();
    let mut world = FormationWorld::new(sheet, domains);
    world.open();
    world.has_streams = true;
    let start = world.now;
    let first: Vec<f64> = models
        .iter()
        .map(|m| world.fleet.served_groups(&m.weights))
        .collect();
    let mut next_loss = Duration::from_millis(2_500);
    let mut next_new = Duration::from_secs(12);
    let mut zone = 0;
    let zones = domains.len().div_ceil(2);
    let mut added = 0;
    let mut has_released = false;
    let mut sums = (0.0, 0.0, 0);
    let mut by_second = Vec::new();
    let mut idle_lines = Vec::new();
    let mut cut: Vec<HostId> = Vec::new();
    let mut dark: Vec<HostId> = Vec::new();
    while world.now - start < SPAN {
        let at = world.now - start;
        if at >= next_loss && at < Duration::from_secs(28) {
            next_loss = at + Duration::from_millis(2_800);
            zone = (zone + 1) % zones;
            let count = random.random_range(pattern.count.div_ceil(2)..=pattern.count);
            for _ in 0..count {
                let joined: Vec<HostId> = world
                    .fleet
                    .hosts
                    .iter()
                    .filter(|host| {
                        let domain = domain_index(host.domain.as_str());
                        let is_joined = host
                            .membership
                            .as_ref()
                            .is_some_and(|m| m.group.as_str().starts_with('g'));
                        host.is_alive && domain / 2 == zone && is_joined
                    })
                    .map(|host| host.id.clone())
                    .collect();
                if !joined.is_empty() {
                    let pick = random.random_range(0..joined.len());
                    world.fleet.lose(&joined[pick]);
                }
            }
        }
        if at >= next_new && at < Duration::from_secs(30) {
            next_new = at + Duration::from_millis(3_000);
            let zone = random.random_range(0..zones);
            for _ in 0..random.random_range(pattern.count.div_ceil(2)..=pattern.count) {
                let domain = (zone * 2 + random.random_range(0..2)).min(domains.len() - 1);
                added += 1;
                let now = world.now;
                world.fleet.add(
                    &format!("host-{domain}-new-{added:02}"),
                    &format!("domain-{domain}"),
                    now,
                );
            }
        }
        if let Some((share, from_s, for_s)) = pattern.registry_cut {
            if at >= Duration::from_secs(from_s) && cut.is_empty() {
                for host in &world.fleet.hosts {
                    if random.random_bool(share) {
                        cut.push(host.id.clone());
                    }
                }
                for host in &cut {
                    world
                        .fleet
                        .change(host, |host| host.cut.from_registry = true);
                }
            }
            if at >= Duration::from_secs(from_s + for_s) {
                for host in &cut {
                    world.fleet.change(host, |host| host.cut = Cut::default());
                }
            }
        }
        if let Some((from_s, for_s)) = pattern.dark_domain {
            if at >= Duration::from_secs(from_s) && dark.is_empty() {
                let of_domain = world
                    .fleet
                    .hosts
                    .iter()
                    .filter(|host| host.is_alive && domain_index(host.domain.as_str()) == 0);
                dark = of_domain.map(|host| host.id.clone()).collect();
                for host in &dark {
                    world.fleet.lose(host);
                }
            }
            if at >= Duration::from_secs(from_s + for_s) && !dark.is_empty() {
                for host in std::mem::take(&mut dark) {
                    let now = world.now;
                    if world.fleet.host(&host).is_some_and(|host| !host.is_alive) {
                        world.fleet.restart(&host, now);
                    }
                }
                dark.push("host-none".parse().unwrap());
            }
        }
        if let Some((at_s, count)) = pattern.release.filter(|_| !has_released)
            && at >= Duration::from_secs(at_s)
        {
            has_released = true;
            let now = world.now;
            for _ in 0..count {
                let alive: Vec<HostId> = world
                    .fleet
                    .hosts
                    .iter()
                    .filter(|host| host.is_alive && host.draining_since.is_none())
                    .map(|host| host.id.clone())
                    .collect();
                let host = &alive[random.random_range(0..alive.len())];
                let domain = world.fleet.host(host).unwrap().domain.to_string();
                world
                    .fleet
                    .change(host, |host| host.draining_since = Some(now));
                added += 1;
                let id = format!("host-{}-new-{added:02}", domain_index(&domain));
                world.fleet.add(&id, &domain, now);
            }
        }
        world.step();
        let parts: Vec<f64> = models
            .iter()
            .zip(&first)
            .map(|(m, first)| world.fleet.served_groups(&m.weights) / first)
            .collect();
        let worst = parts.iter().copied().fold(f64::MAX, f64::min);
        let mean = parts.iter().sum::<f64>() / parts.len() as f64;
        sums = (sums.0 + worst, sums.1 + mean, sums.2 + 1);
        if by_second.len() as u64 <= at.as_secs() {
            by_second.push((parts[0], parts[1]));
            let alive = world.fleet.hosts.iter().filter(|h| h.is_alive).count();
            let mut idle = [0; 6];
            for h in world.fleet.hosts.iter().filter(|h| {
                h.is_alive
                    && h.membership.as_ref().is_none_or(|m| {
                        m.group.as_str().starts_with('w')
                            && m.state != beryltray_lib::target::record::MemberState::Joining
                    })
            }) {
                idle[domain_index(h.domain.as_str())] += 1;
            }
            let loading = world
                .fleet
                .hosts
                .iter()
                .filter(|h| {
                    h.is_alive
                        && h.membership.as_ref().is_some_and(|m| {
                            m.group.as_str().starts_with('w')
                                && m.state == beryltray_lib::target::record::MemberState::Joining
                        })
                })
                .count();
            idle_lines.push(format!("alive {alive} loading {loading} idle {idle:?}"));
        }
    }
    world.assert_promises_kept();
    Served {
        worst: sums.0 / f64::from(sums.2),
        mean: sums.1 / f64::from(sums.2),
        by_second,
        idle: idle_lines,
    }
}

fn domain_index(domain: &str) -> usize {
    domain.trim_start_matches("domain-").parse().unwrap()
}

#[test]
fn losses_measure() {
    let patterns = [
        ("plain", Pattern::default()),
        (
            "registry cut",
            Pattern {
                registry_cut: Some((0.12, 12, 5)),
                ..Pattern::default()
            },
        ),
        (
            "late registry cut",
            Pattern {
                registry_cut: Some((0.25, 30, 10)),
                ..Pattern::default()
            },
        ),
        (
            "dark domain",
            Pattern {
                dark_domain: Some((11, 6)),
                ..Pattern::default()
            },
        ),
        (
            "release",
            Pattern {
                release: Some((22, 7)),
                ..Pattern::default()
            },
        ),
    ];
    let shapes: [(&str, EngineSheet, Vec<usize>); 2] = [
        ("grown", sheet(12, 6, 20), vec![27; 6]),
        ("small", sheet(6, 3, 8), vec![11; 6]),
    ];
    for (shape, sheet, domains) in shapes {
        for (name, mut pattern) in patterns {
            pattern.count = if shape == "grown" { 3 } else { 1 };
            let mut worst = 0.0;
            let mut mean = 0.0;
            let seeds = 16;
            for seed in 0..seeds {
                let served = play(seed, sheet.clone(), &domains, pattern);
                worst += served.worst / seeds as f64;
                mean += served.mean / seeds as f64;
                if seed == 0 {
                    let line: Vec<String> = served
                        .by_second
                        .iter()
                        .step_by(3)
                        .map(|(a, b)| format!("{:.0}/{:.0}", a * 100.0, b * 100.0))
                        .collect();
                    println!("   {}", line.join(" "));
                    for (second, line) in served.idle.iter().enumerate().step_by(4) {
                        let (a, b) = served.by_second[second];
                        println!("     {second}: {a:.2} {b:.2} {line}");
                    }
                }
            }
            println!("{shape} {name}: worst {worst:.3} mean {mean:.3}");
        }
    }
}
