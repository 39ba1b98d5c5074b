//! Orders get no answer and are carried out some seconds later. The head of a group is partitioned from
//! the store, while entries reach it; it is ordered to leave its group and to join another one.
#[path = "../lib/harness.rs"]
mod harness;

use harness::{Entry, Json, Message, Record, Store, TempFolder, listen};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["lakes-a", "lakes-b", "lakes-c", "lakes-b"];
/// The workers at the start, and those that are added later.
const FIRST_WORKERS: usize = 3;
const WORKERS: usize = 6;
/// The times of the sheet's model of 3 workers.
const LOAD: Duration = Duration::from_secs(12);
const WARM: Duration = Duration::from_millis(1_100);
const REJOIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
/// Three heartbeat intervals of the sheet, after which the entry of a silent worker is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// How long the head of the group is partitioned from the store.
const CUT: Duration = Duration::from_secs(8);
/// When a late order is carried out, counted from its arrival (`fleetbench kinds`, `applied_late`).
const LATE_MIN: Duration = Duration::from_secs(2);
const LATE_MAX: Duration = Duration::from_secs(12);
/// The orders to join the next group are carried out this long after they came.
const LATE_JOIN: Duration = Duration::from_millis(2_100);
/// `stall-ms` of the sheet, after which a head whose members are gone is broken.
const STALL: Duration = Duration::from_secs(4);

#[derive(Clone, Default)]
struct Membership {
    group: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
    changes_at: Option<(Instant, &'static str)>,
}

struct Worker {
    id: String,
    address: Option<SocketAddr>,
    born: u64,
    seq: u64,
    is_staged: bool,
    is_up: bool,
    /// Whether the model was that of the last group since the start.
    was_last: bool,
    membership: Option<Membership>,
    /// Whether the worker is partitioned from the store.
    is_cut: bool,
    /// Since when the head serves without all its members.
    stalled_at: Option<Instant>,
    /// The orders that got no answer.
    late: Vec<LateOrder>,
}

/// An order that gets no answer.
struct LateOrder {
    order: Json,
    came_at: Instant,
    /// When it is carried out; `None` until that is decided.
    due_at: Option<Instant>,
}

impl Worker {
    fn advance(&mut self) -> bool {
        let Some(membership) = &mut self.membership else { return false };
        match membership.changes_at {
            Some((at, state)) if Instant::now() >= at => {
                membership.state = state;
                membership.changes_at = None;
                self.is_staged = true;
                self.was_last = true;
                true
            }
            _ => false,
        }
    }

    /// Breaks the group of a head whose members have been gone for [`STALL`]. `groups` are those of all
    /// workers.
    fn break_if_stalled(&mut self, groups: &[Option<String>]) {
        let Some(membership) = &mut self.membership else {
            self.stalled_at = None;
            return;
        };
        let members = groups.iter().filter(|group| group.as_ref() == Some(&membership.group)).count();
        if membership.rank != 0 || membership.state != "open" || members == 3 || membership.group.starts_with('w') {
            self.stalled_at = None;
        } else if self.stalled_at.get_or_insert_with(Instant::now).elapsed() >= STALL {
            membership.state = "broken";
        }
    }

    fn fields(&self) -> String {
        let has_model = self.membership.as_ref().is_some_and(|m| m.state != "joining");
        let models = if has_model { "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}" } else { "" };
        let group = self.membership.as_ref().map_or(String::new(), |m| {
            format!(",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}", m.group, m.epoch, m.rank, m.state)
        });
        let staged = if self.is_staged { "\"m0\"" } else { "" };
        format!("\"stage\":\"mixed\",\"models\":[{models}],\"domain\":\"d1\",\"staged\":[{staged}],\"seq\":{},\"born\":{}{group}", self.seq, self.born)
    }

    fn record(&self) -> String {
        format!(
            "{{\"service\":\"writers\",\"address\":\"{}\",\"zone\":\"lakes-a\",\"version\":\"v1\",\"slots\":26,\"state\":\"ready\",\"cold-remaining-ms\":0,{}}}",
            self.address.expect("an address"), self.fields())
    }

    /// Carries out an order and returns the status of the answer.
    fn order(&mut self, order: &Json, has_traffic: bool) -> u16 {
        let epoch: u64 = order.text("epoch").parse().unwrap_or(0);
        let group = order.text("group");
        let is_own = self.membership.as_ref().is_some_and(|m| m.group == group && m.epoch == epoch);
        match order.text("op").as_str() {
            "join" if is_own => 200,
            "join" => {
                if self.membership.as_ref().is_some_and(|m| epoch < m.epoch) {
                    return 412;
                }
                let members = order.list("members");
                let Some(rank) = members.iter().position(|m| matches!(m, Json::Text(id) if *id == self.id)) else { return 409 };
                let time = match (self.is_staged, has_traffic) {
                    _ if self.was_last => REJOIN,
                    (true, _) => WARM,
                    (false, true) => LOAD,
                    (false, false) => LOAD / 10,
                };
                self.seq += 1;
                self.membership = Some(Membership { group, epoch, rank, state: "joining", changes_at: Some((Instant::now() + time, "ready")) });
                202
            }
            "open" if is_own => {
                let membership = self.membership.as_mut().expect("a membership");
                match membership.state {
                    "open" => 200,
                    "ready" if membership.rank == 0 => {
                        self.seq += 1;
                        membership.changes_at.get_or_insert((Instant::now() + FORM, "open"));
                        202
                    }
                    _ => 409,
                }
            }
            "close" if is_own => {
                self.seq += 1;
                self.membership.as_mut().expect("a membership").state = "ready";
                202
            }
            "leave" if is_own => {
                self.seq += 1;
                self.membership = None;
                202
            }
            "leave" => 200,
            "stage" => 200,
            _ => 409,
        }
    }
}

struct Fleet {
    workers: Vec<Mutex<Worker>>,
    store: Store,
    has_trouble: bool,
    has_traffic: AtomicBool,
    run: AtomicUsize,
    /// The orders that were left unanswered, and their groups.
    left_unanswered: Mutex<Vec<(String, String)>>,
    /// The group whose head carries out orders late, and its members, the head first.
    late_group: Mutex<Option<(String, Vec<String>)>>,
    broken: AtomicUsize,
}

impl Fleet {
    fn publish(&self, worker: &Worker) {
        if !worker.is_cut {
            self.store.put("servers", &worker.id, &worker.record());
        }
    }

    /// Returns whether the head of a group is open or closing and, by its own word, not broken.
    fn serving_head(&self, group: &str, except: &str) -> Option<String> {
        self.workers.iter().find_map(|worker| {
            let Ok(worker) = worker.try_lock() else { return None };
            let membership = worker.membership.as_ref()?;
            let serves = membership.group == group && membership.rank == 0 && membership.state == "open";
            (worker.id != except && serves).then(|| worker.id.clone())
        })
    }

    fn carry_out(&self, worker: &mut Worker, order: &Json, text: &str, record: &Record) -> u16 {
        let before = worker.membership.clone();
        let status = worker.order(order, self.has_traffic.load(Ordering::Relaxed));
        let next = order.text("group");
        if let Some(before) = before.filter(|before| order.text("op") == "join" && status == 202 && before.group != next) {
            let head = if before.rank == 0 && before.state == "open" { Some(worker.id.clone()) } else { self.serving_head(&before.group, &worker.id) };
            if let Some(head) = head {
                self.broken.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("TWO: {} takes a join of {next} while it is in {}, whose head {head} is open", worker.id, before.group));
            }
        }
        record.line(&format!("{} carries out {text} -> {status}", worker.id));
        self.publish(worker);
        status
    }

    fn serve(&self, index: usize, stream: TcpStream, record: &Record) {
        let mut writer = stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let mut worker = self.workers[index].lock().unwrap();
            if !worker.is_up {
                return;
            }
            let answer = |status: u16, headers: &str, body: &str| {
                format!("HTTP/1.1 {status} A\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
            };
            let id = request.header("beryltray-request-id").unwrap_or_default().to_owned();
            let answered = match request.path() {
                "/report" => answer(200, "Content-Type: application/json\r\n", &format!("{{{},\"busy\":false,\"queued\":0,\"in-flight\":0}}", worker.fields())),
                "/order" => {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    let order = Json::parse(&text);
                    if self.is_late(&mut worker, &order) {
                        record.line(&format!("{} leaves {text} unanswered", worker.id));
                        drop(worker);
                        std::thread::sleep(Duration::from_secs(2));
                        return;
                    }
                    let status = self.carry_out(&mut worker, &order, &text, record);
                    answer(status, "", "")
                }
                _ if worker.membership.as_ref().is_some_and(|m| m.state == "open") => {
                    self.run.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("request {id} runs at {}", worker.id));
                    answer(200, &format!("Beryltray-Request-Id: {id}\r\nBeryltray-Response-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\n", worker.id), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
                }
                _ => answer(421, &format!("Beryltray-Request-Id: {id}\r\nBeryltray-Not-Executed: 1\r\n"), ""),
            };
            drop(worker);
            if writer.write_all(answered.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Carries out the late orders that are due.
    fn carry_out_late(&self, worker: &mut Worker, record: &Record) {
        let now = Instant::now();
        while let Some(index) = worker.late.iter().position(|late| late.due_at.is_some_and(|at| now >= at)) {
            let late = worker.late.remove(index);
            let age = late.came_at.elapsed();
            assert!(age >= LATE_MIN && age <= LATE_MAX, "a late order is carried out 2 to 12 s after it came");
            let text = format!("the late {} of {} ({:.1} s after it came)", late.order.text("op"), late.order.text("group"), age.as_secs_f64());
            self.carry_out(worker, &late.order, &text, record);
        }
    }

    /// Returns whether an order is left unanswered, which is then kept for later: of the head of the first
    /// whole group after the start of traffic, the first order to join it and the first one to open it,
    /// and the first two orders to join the next group.
    fn is_late(&self, worker: &mut Worker, order: &Json) -> bool {
        let (op, group) = (order.text("op"), order.text("group"));
        if !self.has_trouble || !self.has_traffic.load(Ordering::Relaxed) {
            return false;
        }
        let members: Vec<String> = order.list("members").iter().map(|m| if let Json::Text(id) = m { id.clone() } else { String::new() }).collect();
        let mut late_group = self.late_group.lock().unwrap();
        if late_group.is_none() && op == "join" && members.len() == 3 && members[0] == worker.id {
            *late_group = Some((group.clone(), members));
        }
        let Some((first, head)) = late_group.as_ref().map(|(group, members)| (group.clone(), members[0].clone())) else { return false };
        if head != worker.id {
            return false;
        }
        let now = Instant::now();
        let mut left = self.left_unanswered.lock().unwrap();
        let same = left.iter().filter(|(o, g)| *o == op && *g == group).count();
        let is_late = match op.as_str() {
            "join" if group == first => same < 1,
            "open" if group == first => same < 1,
            // The orders of before come while those of the next group are on their way.
            "join" if worker.membership.is_none() || same > 0 => same < 2,
            _ => false,
        };
        if !is_late {
            return false;
        }
        left.push((op.clone(), group.clone()));
        let is_next = op == "join" && group != first;
        if is_next && same == 0 {
            for late in &mut worker.late {
                let wait = if late.order.text("op") == "join" { 20 } else { 280 };
                late.due_at.get_or_insert(now + Duration::from_millis(wait));
            }
        }
        worker.late.push(LateOrder { order: order.clone(), came_at: now, due_at: is_next.then_some(now + LATE_JOIN) });
        true
    }
}

fn first_start(is_first: bool) -> &'static str {
    if is_first { "first-start = true" } else { "first-start = false" }
}

fn start_entry(zone: &str, number: usize, store: SocketAddr, folder: &TempFolder, is_first: bool) -> Entry {
    Entry::start_with(first_start(is_first), zone, &format!("front-{zone}-{number}"), store, &folder.0, "")
}

fn main() {
    // The code is returned first, so that all processes are ended and the folder is removed.
    let code = run();
    std::process::exit(code);
}

fn run() -> i32 {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = TempFolder::create();
    let (store, store_address) = Store::start();
    store.put("op", "config",
        "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"prefix\":\"/x/\",\"kind\":\"streaming\",\"timeout-ms\":6000,\
         \"target-latency-ms\":400,\"priority\":1,\"service\":\"writers\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":250}],\
         \"services\":[{\"name\":\"writers\",\"health-path\":\"/health\",\"max-connections\":314,\"engine\":{\"slots\":26,\"kv-capacity-tokens\":2470000,\"stride\":6,\
         \"models\":[{\"name\":\"m0\",\"size\":3,\"share\":1.0,\"pace\":0.6,\"load-s\":12.0,\"warm-s\":1.1}],\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"read_per_s\":56100.0,\
         \"loads-per-s\":5.5,\"loads_at_once\":8,\"usual\":{\"prompt\":1115,\"answer\":152},\"retains\":1,\"far_x\":2.5,\"form-ms\":300.0}}],\
         \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
         \"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"key-1\"],\"priority\":1}]}");
    let worker = |index: usize| Mutex::new(Worker {
        id: format!("i-{index}"), address: None, born: 1_700_000_000_000, seq: 0, is_staged: false, is_up: true, was_last: false,
        membership: None, is_cut: false, stalled_at: None, late: Vec::new() });
    let fleet = Arc::new(Fleet {
        workers: (0..WORKERS).map(worker).collect(), store: store.clone(), has_trouble, has_traffic: AtomicBool::new(false),
        run: AtomicUsize::new(0), left_unanswered: Mutex::default(), late_group: Mutex::default(), broken: AtomicUsize::new(0) });
    let add = |index: usize| {
        let (served, record) = (Arc::clone(&fleet), record.clone());
        let address = listen(move |stream| served.serve(index, stream, &record));
        let mut worker = fleet.workers[index].lock().unwrap();
        worker.address = Some(address);
        fleet.publish(&worker);
    };
    (0..FIRST_WORKERS).for_each(add);
    let (ticking, tick_record) = (Arc::clone(&fleet), record.clone());
    std::thread::spawn(move || loop {
        let group_of = |worker: &Mutex<Worker>| worker.lock().unwrap().membership.as_ref().map(|m| m.group.clone());
        let groups: Vec<Option<String>> = ticking.workers.iter().map(group_of).collect();
        for worker in &ticking.workers {
            let mut worker = worker.lock().unwrap();
            worker.break_if_stalled(&groups);
            if worker.is_up && worker.advance() {
                ticking.publish(&worker);
            }
            ticking.carry_out_late(&mut worker, &tick_record);
        }
        std::thread::sleep(Duration::from_millis(2));
    });
    let mut entries = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        entries.push(start_entry(zone, number, store_address, &folder, true));
    }
    if !entries.iter().all(|entry| entry.wait_until_ready(Duration::from_secs(10))) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(9));
    fleet.has_traffic.store(true, Ordering::Relaxed);
    record.line("traffic starts; empty workers are added");
    (FIRST_WORKERS..WORKERS).for_each(add);
    let callers = {
        let (entries, record) = (entries.iter().map(|entry| entry.callers).collect::<Vec<_>>(), record.clone());
        let until = Instant::now() + Duration::from_secs(34);
        std::thread::spawn(move || measure(&entries, until, 'a', &record))
    };
    let started = Instant::now();
    let mut head: Option<usize> = None;
    let mut cut_at: Option<Instant> = None;
    let mut is_removed = false;
    while started.elapsed() < Duration::from_secs(34) {
        let late_group = fleet.late_group.lock().unwrap().clone();
        if let Some((group, members)) = late_group.filter(|_| head.is_none()) {
            let index = (0..WORKERS).find(|index| format!("i-{index}") == members[0]).expect("the head");
            let worker = fleet.workers[index].lock().unwrap();
            if worker.membership.as_ref().is_some_and(|m| m.group == group && m.state == "open") {
                head = Some(index);
                cut_at = Some(Instant::now() + Duration::from_millis(500));
            }
        }
        if let (Some(index), Some(at)) = (head, cut_at) {
            let mut worker = fleet.workers[index].lock().unwrap();
            if Instant::now() >= at + CUT {
                if std::mem::take(&mut worker.is_cut) {
                    record.line(&format!("{} reaches the store again", worker.id));
                    fleet.publish(&worker);
                }
            } else if Instant::now() >= at && !worker.is_cut {
                worker.is_cut = true;
                record.line(&format!("{} is partitioned from the store", worker.id));
            }
            if worker.is_cut && !is_removed && Instant::now() >= at + EXPIRY {
                is_removed = true;
                store.remove("servers", &worker.id);
                record.line(&format!("the entry of {} is removed after three heartbeat intervals", worker.id));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let ends = callers.join().unwrap_or_default();
    let served = ends.iter().filter(|(_, status)| *status == 200).count();
    let broken = fleet.broken.load(Ordering::Relaxed);
    let summary = format!("{} requests, {served} served; joins of a member of a group whose head is open: {broken}", ends.len());
    record.line(&summary);
    println!("{summary}");
    drop(entries);
    drop(folder);
    if has_trouble && !is_removed {
        return 2;
    }
    i32::from(broken > 0)
}

/// Sends requests to all entries until then; returns when each was sent and its status.
fn measure(entries: &[SocketAddr], until: Instant, phase: char, record: &Record) -> Vec<(Instant, u16)> {
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for (index, address) in entries.iter().enumerate() {
        let (address, ends, record) = (*address, Arc::clone(&ends), record.clone());
        threads.push(std::thread::spawn(move || {
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let id = format!("{phase}{index}{number:012x}");
                let at = Instant::now();
                let status = send(address, &id);
                record.line(&format!("request {id} is answered: {status}"));
                ends.lock().unwrap().push((at, status));
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut ends = std::mem::take(&mut *ends.lock().unwrap());
    ends.sort();
    ends
}

fn send(address: SocketAddr, id: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let head = format!(
        "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nBeryltray-Request-Id: {id}\r\nBeryltray-Model: m0\r\nBeryltray-Token-Count: 1460,80\r\n\
         Beryltray-Request-Deadline: 6000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi");
    if stream.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    Message::read(&mut BufReader::new(stream)).map_or(0, |answer| answer.status())
}
