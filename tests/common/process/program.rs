//! The program under test as a child process: start, log, counters, admin commands, signals.

use super::client::Client;
use super::setup::Setup;
use super::waiting::{WAIT_TIMEOUT, wait_until};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Creates a new directory for a test or for one of its processes.
pub fn scratch_dir(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let unique = format!("{name}-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let dir = option_env!("CARGO_TARGET_TMPDIR").map_or_else(std::env::temp_dir, PathBuf::from).join(unique);
    std::fs::create_dir_all(&dir).expect("a directory can be made");
    dir
}

/// A running aggregator process, which is killed on drop.
pub struct Aggregator {
    child: Child,
    /// The path of its configuration file.
    pub config: PathBuf,
    /// The address for clients.
    pub address: SocketAddr,
    log_lines: Receiver<String>,
    /// The log lines read so far.
    seen: Vec<String>,
}

/// Path of the program. An example, which has no path from Cargo, finds it in the parent of its own directory.
pub fn binary() -> PathBuf {
    let next_to_example = || std::env::current_exe().expect("a path").with_file_name("../sailmux");
    option_env!("CARGO_BIN_EXE_sailmux").map_or_else(next_to_example, PathBuf::from)
}

/// Starts the program with a configuration and, if given, an operator file.
pub fn spawn(config: &str, operator: Option<&str>) -> Child {
    spawn_in(&scratch_dir("aggregator"), config, operator, None)
}

fn spawn_in(dir: &Path, config: &str, operator: Option<&str>, tmp: Option<&Path>) -> Child {
    let path = dir.join("config.json");
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(binary());
    command.env("RELAY_CONFIG", &path).env("TMPDIR", tmp.unwrap_or(dir)).stderr(Stdio::piped());
    for inherited in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_MANAGEMENT", "SAILMUX_OPERATOR"]
    {
        command.env_remove(inherited);
    }
    if let Some(text) = operator {
        let path = dir.join("operator.yaml");
        std::fs::write(&path, text).expect("written");
        command.env("SAILMUX_OPERATOR", path);
    }
    command.spawn().expect("the aggregator starts")
}

impl Aggregator {
    pub fn start(config: &str, operator: Option<&str>) -> Self {
        Self::start_in(config, operator, None)
    }

    pub fn start_in(config: &str, operator: Option<&str>, tmp: Option<&Path>) -> Self {
        let dir = scratch_dir("aggregator");
        let mut child = spawn_in(&dir, config, operator, tmp);
        let (sender, log_lines) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = dir.join("config.json");
        let mut aggregator =
            Aggregator { child, config, address: unknown_address, log_lines, seen: Vec::new() };
        let address = aggregator.wait_for_log("serving on ");
        aggregator.address = address.parse().expect("an address");
        aggregator
    }

    /// Starts the program, expects it to exit, and returns its exit status.
    pub fn start_expecting_failure(config: &str, setup: &Setup) -> ExitStatus {
        let mut child = spawn_in(&scratch_dir("aggregator"), config, None, setup.tmp_dir.as_deref());
        child.wait().expect("the process has exited")
    }

    /// Waits for a log line that contains `words` and returns what follows them; lines already read count too.
    pub fn wait_for_log(&mut self, words: &str) -> String {
        let after = |line: &String| line.split_once(words).map(|(_, after)| after.to_owned());
        if let Some(found) = self.seen.iter().find_map(after) {
            return found;
        }
        loop {
            let line = self.log_lines.recv_timeout(WAIT_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no log line contains {words:?}: {:#?}", self.seen));
            self.seen.push(line.clone());
            if let Some(found) = after(&line) {
                return found;
            }
        }
    }

    /// Waits for a log line with `words` that has not been read before.
    pub fn wait_for_new_log(&mut self, words: &str) -> String {
        self.wait_for_either_log(words, words)
    }

    /// Waits for a log line with `words` or `others` that has not been read before.
    pub fn wait_for_either_log(&mut self, words: &str, others: &str) -> String {
        let timeout_at = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < timeout_at {
            let line = self.log_lines.recv_timeout(WAIT_TIMEOUT);
            let line =
                line.unwrap_or_else(|_| panic!("no new log line contains {words:?}: {:#?}", self.seen));
            self.seen.push(line.clone());
            if line.contains(words) || line.contains(others) {
                return line;
            }
        }
        panic!("no new log line contains {words:?}: {:#?}", self.seen)
    }

    /// All log lines so far.
    pub fn log(&mut self) -> &[String] {
        self.seen.extend(self.log_lines.try_iter());
        &self.seen
    }

    /// Sends a command to the admin address and returns the status of the response.
    pub fn send_admin_command(&mut self, call: &str) -> u16 {
        let admin: SocketAddr = self.wait_for_log("admin interface on ").parse().expect("an address");
        Client::connect(admin)
            .request(format!("{call} HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n"))
            .status
    }

    /// The status of the load balancer's health check.
    pub fn healthz(&self) -> u16 {
        Client::connect(self.address).request("GET /healthz HTTP/1.1\r\n\r\n").status
    }

    /// The address of the aggregator's Flight server.
    pub fn flight_address(&mut self) -> String {
        self.wait_for_log("Flight server on ")
    }

    /// The current counters, without the prefix `sailmux_`.
    pub fn counters(&self) -> HashMap<String, u64> {
        let reply = Client::connect(self.address).request("GET /metrics HTTP/1.1\r\n\r\n");
        let lines = reply.body.lines().filter(|line| !line.starts_with('#'));
        let pair = |line: &str| {
            let (name, count) = line.strip_prefix("sailmux_")?.split_once(' ')?;
            Some((name.to_owned(), count.parse().ok()?))
        };
        lines.filter_map(pair).collect()
    }

    /// Waits until a counter is at least `number`.
    pub fn wait_for_counter(&self, counter: &str, number: u64) {
        let timeout_at = Instant::now() + WAIT_TIMEOUT;
        while self.counters()[counter] < number {
            assert!(Instant::now() < timeout_at, "{counter} did not reach {number}: {:#?}", self.counters());
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the counters show that all clients have disconnected, except the one that requests the counters.
    pub fn wait_until_clients_disconnected(&self) {
        wait_until("the aggregator has registered the disconnects of all other clients", || {
            let counters = self.counters();
            counters["clients_opened"] - counters["clients_closed"] == 1
        });
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    }

    /// Stops the process until [`Self::resume`]; the kernel buffers what arrives meanwhile.
    pub fn pause(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/status", self.child.id());
        let state = || std::fs::read_to_string(&status).unwrap_or_default();
        let timeout_at = Instant::now() + WAIT_TIMEOUT;
        while !state().contains("State:\tT") {
            assert!(Instant::now() < timeout_at, "the aggregator did not stop: {}", state());
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Continues a stopped process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Resident memory of the process in KB.
    pub fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// The most resident memory that the process has had, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    fn status_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process was running");
        self.child.wait().expect("the process has exited");
    }

    /// Waits for the process to exit; its log is complete by then.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let timeout_at = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.child.try_wait().expect("the process can be waited for") {
                Some(status) => return status,
                None => assert!(Instant::now() < timeout_at, "the aggregator did not exit"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Aggregator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
