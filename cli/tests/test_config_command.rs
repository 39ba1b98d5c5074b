//! Tests of `beryltray config` as a separate process, against a stand-in platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::AsyncBufReadExt as _;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

/// Far longer than an entry takes from binding its first listener to binding its last.
const BIND_TIME: Duration = Duration::from_millis(200);
const COMMONS: &str = include_str!("../../docs/examples/commons.ini");

fn example(name: &str) -> String {
    format!("{}/../docs/examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

async fn beryltray(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beryltray"));
    command.env("USER", "maud").env_remove("RUST_LOG");
    command.args(args).output().await.unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// A stand-in platform and a directory for documents; dropping the value removes both.
struct TestPlatform {
    address: String,
    directory: PathBuf,
    _child: Child,
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}

/// Returns `--host` arguments for the hosts that `commons.ini` needs in one data centre.
fn host_args() -> Vec<String> {
    let writers = (0..20).map(|index| {
        let domain = index / 4;
        format!(
            "w{index},beryl-writers,127.0.0.1:{},lakes-a,d{domain}",
            9000 + index
        )
    });
    let ledger = std::iter::once(String::from("l0,slot-ledger,127.0.0.1:9100,lakes-a,d0"));
    writers.chain(ledger).collect()
}

async fn start_platform(name: &str, hosts: &[String]) -> TestPlatform {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beryltray"));
    command.args(["stand-in", "platform"]);
    for host in hosts {
        command.args(["--host", host]);
    }
    command.stdout(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let address = line.strip_prefix("listening on ").unwrap().to_owned();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    TestPlatform {
        address,
        directory,
        _child: child,
    }
}

impl TestPlatform {
    fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn config(&self, environment: &str, args: &[&str]) -> Output {
        let common = ["--environment", environment, "--platform", &self.address];
        beryltray(&[&["config"], args, &common[..]].concat()).await
    }

    async fn apply(&self, file: &str, base: &str, more: &[&str]) -> Output {
        let args = [&["apply", file, "--base", base], more].concat();
        self.config("trial", &args).await
    }
}

#[tokio::test]
async fn config_check_examples_have_no_fault() {
    for name in ["commons.ini", "pritchard.ini"] {
        let output = beryltray(&["config", "check", &example(name)]).await;
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(stdout(&output).contains("no fault; 2 services, 10 client accounts"));
    }
}

#[tokio::test]
async fn config_check_misspelt_key_names_line_and_key() {
    let platform = start_platform("config_check_misspelt_key", &[]).await;
    let text = COMMONS.replace("presence-bound", "presense-bound");
    let line = 1 + text
        .lines()
        .position(|line| line.starts_with("presense"))
        .unwrap();
    let file = platform.file("commons.ini", &text);
    let output = beryltray(&["config", "check", &file]).await;
    assert_eq!(output.status.code(), Some(2));
    let message = stderr(&output);
    let place = format!("commons.ini:{line}: unknown key `presense-bound` in [routing]");
    assert!(message.contains(&place), "{message}");
    assert!(
        message.contains("Hint: did you mean `presence-bound`?"),
        "{message}"
    );
}

#[tokio::test]
async fn config_check_continues_after_invalid_document() {
    let platform = start_platform("config_check_goes_on", &[]).await;
    let invalid = COMMONS.replace("presence-bound", "presense-bound");
    let invalid = platform.file("faulty.ini", &invalid);
    let output = beryltray(&["config", "check", &invalid, &example("pritchard.ini")]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("presense-bound"));
    assert!(stdout(&output).contains("pritchard.ini: no fault"));
}

#[tokio::test]
async fn config_check_too_few_hosts_is_refused() {
    let hosts = host_args();
    let platform = start_platform("config_check_too_few_hosts", &hosts[1..]).await;
    let file = example("commons.ini");
    let output = beryltray(&["config", "check", &file, "--platform", &platform.address]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("wants 5 replicas in data centre lakes-a"));
    let refused = platform.apply(&file, "0", &[]).await;
    assert_eq!(refused.status.code(), Some(2));
    let accepted = platform.apply(&file, "0", &["--without-host-check"]).await;
    assert_eq!(accepted.status.code(), Some(0));
}

#[tokio::test]
async fn config_apply_same_base_is_one_conflict() {
    let platform = start_platform("config_apply_same_base", &host_args()).await;
    let first = platform.apply(&example("commons.ini"), "0", &[]).await;
    assert_eq!(first.status.code(), Some(0), "{}", stderr(&first));
    assert!(stdout(&first).contains("accepted as version 1"));
    let faster = platform.file("faster.ini", &COMMONS.replace("= 20s", "= 15s"));
    let fewer = platform.file(
        "fewer.ini",
        &COMMONS.replace("replicas = 5", "replicas = 4"),
    );
    let (left, right) = tokio::join!(
        platform.apply(&faster, "1", &[]),
        platform.apply(&fewer, "1", &[])
    );
    let mut codes = [left.status.code(), right.status.code()];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)]);
    let (winner, loser) = if left.status.success() {
        (left, right)
    } else {
        (right, left)
    };
    assert!(stdout(&winner).contains("accepted as version 2"));
    let printed = stdout(&loser);
    assert!(
        printed.contains("made on version 1, but version 2 by maud came first"),
        "{printed}"
    );
    assert!(
        printed.contains("-default-deadline = 20s\n+default-deadline = 15s"),
        "{printed}"
    );
    assert!(
        printed.contains("-replicas = 5\n+replicas = 4"),
        "{printed}"
    );
}

#[tokio::test]
async fn config_earlier_version_undoes_change() {
    let platform = start_platform("config_earlier_version", &host_args()).await;
    platform.apply(&example("commons.ini"), "0", &[]).await;
    let changed = platform.file(
        "changed.ini",
        &COMMONS.replace("budget = 10%", "budget = 20%"),
    );
    platform.apply(&changed, "1", &[]).await;
    let diff = platform
        .config("trial", &["diff", "--from", "1", "--to", "2"])
        .await;
    assert!(stdout(&diff).contains("-budget = 10%\n+budget = 20%"));
    let undone = ["apply", "--earlier", "1", "--base", "2"];
    let undone = platform.config("trial", &undone).await;
    assert_eq!(undone.status.code(), Some(0), "{}", stderr(&undone));
    let shown = platform.config("trial", &["show"]).await;
    assert_eq!(stdout(&shown), COMMONS);
    assert!(stderr(&shown).starts_with("version 3 by maud"));
    let history = platform
        .config("trial", &["history", "--format", "json"])
        .await;
    let history: serde_json::Value = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(history.as_array().unwrap().len(), 3);
    assert_eq!(history[0]["digest"], history[2]["digest"]);
}

#[tokio::test]
async fn config_promote_moves_same_digest() {
    let platform = start_platform("config_promote", &host_args()).await;
    platform.apply(&example("commons.ini"), "0", &[]).await;
    let mut args = vec!["config", "promote", "--from", "trial", "--to", "production"];
    args.extend([
        "--base",
        "0",
        "--platform",
        &platform.address,
        "--format",
        "json",
    ]);
    let promoted = beryltray(&args).await;
    assert_eq!(promoted.status.code(), Some(0), "{}", stderr(&promoted));
    let report: serde_json::Value = serde_json::from_slice(&promoted.stdout).unwrap();
    assert_eq!(report["outcome"], "accepted");
    let shown = platform
        .config("production", &["show", "--format", "json"])
        .await;
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown["digest"], report["version"]["digest"]);
    assert_eq!(shown["text"], COMMONS);
}

#[tokio::test]
async fn config_apply_unreachable_entry_is_named() {
    let platform = start_platform("config_apply_unheard", &host_args()).await;
    // The port is bound without a listener, so that no parallel test gets it.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address: SocketAddr = closed.local_addr().unwrap();
    let address = address.to_string();
    let more = ["--entry", &address, "--within", "300ms"];
    let output = platform.apply(&example("commons.ini"), "0", &more).await;
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
    let printed = stdout(&output);
    assert!(printed.contains("accepted as version 1"));
    let row = printed
        .lines()
        .find(|line| line.contains(&address))
        .unwrap();
    assert!(row.contains("not heard"), "{printed}");
}

/// Returns loopback addresses whose ports were free a moment ago.
fn free_addresses(count: usize) -> Vec<String> {
    let bind = |_| std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners = (0..count).map(bind).collect::<Vec<_>>();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap());
    addresses.map(|address| address.to_string()).collect()
}

/// Starts two entries that are each other's seeds.
///
/// Another process may take a free port before the entry binds it. The entry then exits, and both
/// entries are started again on other ports.
async fn start_entry_pair(platform: &TestPlatform) -> ([Child; 2], Vec<String>) {
    loop {
        let addresses = free_addresses(8);
        let (first, second) = addresses.split_at(4);
        let mut entries = [
            start_entry(platform, "a", first, &second[2]),
            start_entry(platform, "b", second, &first[2]),
        ];
        if wait_until_listening(&mut entries[0], &first[1]).await
            && wait_until_listening(&mut entries[1], &second[1]).await
        {
            return (entries, addresses);
        }
    }
}

/// Waits until an entry accepts connections at its operators' address; returns false if the entry
/// has exited.
async fn wait_until_listening(entry: &mut Child, operators: &str) -> bool {
    loop {
        if entry.try_wait().unwrap().is_some() {
            return false;
        }
        // Another process may have accepted the connection, so check again that the entry runs.
        if tokio::net::TcpStream::connect(operators).await.is_ok() {
            tokio::time::sleep(BIND_TIME).await;
            return entry.try_wait().unwrap().is_none();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts an entry in its own data centre, named after it.
fn start_entry(platform: &TestPlatform, name: &str, addresses: &[String], seed: &str) -> Child {
    let settings = format!(
        "[entry]\nname = {name}\nenvironment = trial\ndata-centre = lakes-{name}\n\
         [listen]\ncallers = {}\noperators = {}\npeers = {}\nrelay = {}\n\
         [platform]\naddress = {}\n[peers]\nseeds = {seed}\n",
        addresses[0], addresses[1], addresses[2], addresses[3], platform.address
    );
    let file = platform.file(&format!("{name}.ini"), &settings);
    let mut command = Command::new(env!("CARGO_BIN_EXE_beryltray"));
    command
        .args(["entry", "--settings", &file])
        .kill_on_drop(true);
    command.stderr(Stdio::null()).spawn().unwrap()
}

#[tokio::test]
async fn config_apply_waits_until_in_force_on_known_entries() {
    let platform = start_platform("config_apply_waits", &host_args()).await;
    let (_entries, addresses) = start_entry_pair(&platform).await;
    let (first, second) = addresses.split_at(4);
    let entries = [
        "--entry", &first[1], "--entry", &second[1], "--within", "60s",
    ];
    let output = platform.apply(&example("commons.ini"), "0", &entries).await;
    assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    let changed = platform.file(
        "changed.ini",
        &COMMONS.replace("budget = 10%", "budget = 20%"),
    );
    let output = platform.apply(&changed, "1", &entries).await;
    assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    let printed = stdout(&output);
    assert!(printed.contains("in force everywhere"), "{printed}");
    let wrong = ["apply", &changed, "--base", "0", "--entry", &first[1]];
    let wrong = platform.config("production", &wrong).await;
    assert_eq!(wrong.status.code(), Some(2));
    assert!(stderr(&wrong).contains("serves environment trial, not production"));
}

#[tokio::test]
async fn config_platform_unreachable_is_failure() {
    let args = [
        "show",
        "--environment",
        "trial",
        "--platform",
        "127.0.0.1:1",
    ];
    let output = beryltray(&[&["config"], &args[..]].concat()).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("Hint:"));
}
