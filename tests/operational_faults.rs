//! Faults during operators' actions, on real processes: kills at each step of a hot restart, overrides and drains during
//! it, invalid settings, a full disk, many concurrent admin commands.

mod common;

use common::process::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::symlink;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

/// A setup for several processes of one aggregator, with two leaf servers that both hold shard 0.
struct TwoLeafServers {
    a: AnsweringLeafServer,
    _b: AnsweringLeafServer,
    /// Reserves the port that the processes share.
    _port: TcpSocket,
    setup: Setup,
}

impl TwoLeafServers {
    fn new() -> Self {
        let a = AnsweringLeafServer::new();
        let b = AnsweringLeafServer::new();
        let port = shared_port();
        let leaf_servers = [listed_endpoint("a", a.address, 0), listed_endpoint("b", b.address, 0)];
        let setup = Setup::new(&leaf_servers).shared(&port);
        TwoLeafServers { a, _b: b, _port: port, setup }
    }
}

/// Sends a query for shard 0 and returns the status of its response.
fn query_status(aggregator: &Aggregator, id: &str) -> u16 {
    Client::connect(aggregator.address).request(query(id, "9000m", &[0])).status
}

fn wait_until_ready(aggregator: &mut Aggregator) {
    wait_until("ready", || aggregator.send_admin_command("GET /-/ready") == 200);
}

/// The step of a hot restart at which a process is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KillStep {
    NewIsNotReady,
    NewIsReady,
    OldGotSigterm,
    OldClosedItsListener,
}

/// Under load, the old or the new process is killed at each step of a hot restart. The other process continues to serve
/// all queries with the override given before; each client loses at most the query it had in flight at the killed one.
#[test]
fn a_kill_at_each_step_of_a_hot_restart_costs_only_the_queries_of_the_killed_process() {
    const CLIENTS: usize = 4;
    for step in [
        KillStep::NewIsNotReady,
        KillStep::NewIsReady,
        KillStep::OldGotSigterm,
        KillStep::OldClosedItsListener,
    ] {
        for old_is_killed in [false, true] {
            let TwoLeafServers { a, setup, _b, _port } = TwoLeafServers::new();
            let mut old = setup.start();
            wait_until_ready(&mut old);
            assert_eq!(old.send_admin_command("POST /-/leaf-servers/a/disable"), 200);
            let count_while_disabled = a.count();
            let running = Arc::new(AtomicBool::new(true));
            let clients = load(old.address, &running, CLIENTS);
            let mut new = setup.start();
            if step != KillStep::NewIsNotReady {
                wait_until_ready(&mut new);
                old.wait_for_log("others=1 ready=true");
            }
            if matches!(step, KillStep::OldGotSigterm | KillStep::OldClosedItsListener) {
                old.signal("-TERM");
            }
            if step == KillStep::OldClosedItsListener {
                old.wait_for_log("to=\"hot restarting\"");
            }
            let (mut killed, mut survivor) = if old_is_killed { (old, new) } else { (new, old) };
            killed.kill();
            // An old process that got SIGTERM exits even if the new one was killed.
            if matches!(step, KillStep::OldGotSigterm | KillStep::OldClosedItsListener) && !old_is_killed {
                assert!(survivor.wait_for_exit().success(), "{step:?}");
            } else {
                wait_until_ready(&mut survivor);
                for i in 0..20 {
                    assert_eq!(
                        query_status(&survivor, &format!("k{i}")),
                        200,
                        "{step:?}, old is killed: {old_is_killed}"
                    );
                }
                assert_eq!(
                    a.count(),
                    count_while_disabled,
                    "still disabled at {step:?}, old is killed: {old_is_killed}"
                );
                assert_eq!(survivor.send_admin_command("POST /-/leaf-servers/a/enable"), 200);
                survivor.wait_for_log("leaf server enabled leaf_server=\"a\"");
            }
            running.store(false, Ordering::SeqCst);
            let counts: Vec<(u64, u64)> =
                clients.into_iter().filter_map(|client| client.join().ok()).collect();
            if survivor.is_running() {
                let failed: u64 = counts.iter().map(|(_, failed)| failed).sum();
                assert!(
                    failed <= CLIENTS as u64,
                    "{failed} of {counts:?} at {step:?}, old is killed: {old_is_killed}"
                );
            }
        }
    }
}

/// A drain is in force in both processes, whichever got the command; so is its cancellation.
#[test]
fn a_drain_during_a_hot_restart_is_in_force_in_both_processes() {
    let leaf_server = AnsweringLeafServer::new();
    let port = shared_port();
    let setup = Setup::new(&[listed_endpoint("a", leaf_server.address, 0)]).shared(&port);
    let mut old = setup.start();
    wait_until_ready(&mut old);
    let mut new = setup.start();
    wait_until_ready(&mut new);
    old.wait_for_log("others=1 ready=true");
    assert_eq!(old.send_admin_command("POST /-/drain"), 200);
    // The load balancer's health check may reach either process.
    for _ in 0..20 {
        assert_eq!(old.healthz(), 503, "503 from both processes once the command is answered");
    }
    old.signal("-TERM");
    assert!(old.wait_for_exit().success(), "SIGTERM while drained");
    assert_eq!(new.healthz(), 503, "the drain remains in force");
    assert_eq!(new.send_admin_command("GET /-/ready"), 200, "the process itself is ready");
    assert_eq!(new.send_admin_command("POST /-/resume"), 200);
    assert_eq!(new.healthz(), 200);
    assert_eq!(query_status(&new, "q"), 200);
}

// Guards against an operator's command that is cut off, since the process exits while it waits for a sibling process.
#[test]
fn an_admin_command_in_progress_at_the_exit_is_answered() {
    let leaf_server = AnsweringLeafServer::new();
    let port = shared_port();
    let setup = Setup::new(&[listed_endpoint("a", leaf_server.address, 0)]).shared(&port);
    let mut old = setup.start();
    wait_until_ready(&mut old);
    let mut new = setup.start();
    wait_until_ready(&mut new);
    old.wait_for_log("others=1 ready=true");
    // Paused, it does not confirm the override, for which the command waits 600 ms.
    new.pause();
    let admin: SocketAddr = old.wait_for_log("admin interface on ").parse().expect("an address");
    let call = "POST /-/leaf-servers/a/disable HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n";
    let response = background(move || Client::connect(admin).try_request(call));
    old.wait_for_log("leaf server disabled leaf_server=\"a\"");
    old.signal("-TERM");
    assert_eq!(response().map(|response| response.status), Some(200));
    assert!(old.wait_for_exit().success());
    new.resume();
    new.wait_for_log("leaf server disabled leaf_server=\"a\"");
}

/// Enabling a leaf server that is not disabled changes nothing, and does not cancel a later disable.
#[test]
fn an_enable_before_a_disable_does_not_cancel_it() {
    let TwoLeafServers { a, setup, _b, _port } = TwoLeafServers::new();
    let mut aggregator = setup.start();
    wait_until_ready(&mut aggregator);
    for command in ["enable", "enable", "disable"] {
        assert_eq!(aggregator.send_admin_command(&format!("POST /-/leaf-servers/a/{command}")), 200);
    }
    let count_while_disabled = a.count();
    for i in 0..20 {
        assert_eq!(query_status(&aggregator, &format!("q{i}")), 200);
    }
    assert_eq!(a.count(), count_while_disabled, "disabled");
    assert_eq!(aggregator.send_admin_command("POST /-/leaf-servers/a/enable"), 200, "one command enables it");
    let mut i = 0;
    wait_until("used again", || {
        i += 1;
        assert_eq!(query_status(&aggregator, &format!("r{i}")), 200);
        a.count() > count_while_disabled
    });
}

/// Invalid settings leave the old ones in force while a leaf server is disabled, during a drain and during a hot restart;
/// each rejection is counted and logged.
#[test]
fn invalid_settings_change_nothing_during_a_disable_a_drain_and_a_hot_restart() {
    let TwoLeafServers { a, setup, _b, _port } = TwoLeafServers::new();
    let mut old = setup.start();
    wait_until_ready(&mut old);
    let valid = setup.config();
    let invalid = [
        String::new(),
        valid[..valid.len() / 2].to_owned(),
        valid.replace("\"maxAttempts\":3,", ""),
        valid.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
        valid.replace("\"hardLimitMs\":10000", "\"hardLimitMs\":0"),
    ];
    let mut rejected = 0;
    let reload_invalid = |aggregator: &mut Aggregator, rejected: &mut u64| {
        for text in &invalid {
            std::fs::write(&aggregator.config, text).expect("written");
            aggregator.signal("-HUP");
            *rejected += 1;
            aggregator.wait_for_new_log("the previous settings stay in force");
        }
    };
    assert_eq!(old.send_admin_command("POST /-/leaf-servers/a/disable"), 200);
    let count_while_disabled = a.count();
    reload_invalid(&mut old, &mut rejected);
    assert_eq!(old.counters()["reloads_rejected"], rejected);
    assert_eq!(query_status(&old, "q1"), 200);
    assert_eq!(old.send_admin_command("POST /-/drain"), 200);
    reload_invalid(&mut old, &mut rejected);
    assert_eq!(old.healthz(), 503, "still drained");
    assert_eq!(old.send_admin_command("POST /-/resume"), 200);
    let mut new = setup.start();
    wait_until_ready(&mut new);
    old.wait_for_log("others=1 ready=true");
    reload_invalid(&mut old, &mut rejected);
    reload_invalid(&mut new, &mut rejected);
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    for i in 0..20 {
        assert_eq!(query_status(&new, &format!("r{i}")), 200);
    }
    assert_eq!(a.count(), count_while_disabled, "disabled throughout");
    assert_eq!(new.counters()["reloads_rejected"], invalid.len() as u64);
}

/// With a full disk an override is in force in the process that got the command, and the log reports that it is not
/// stored.
#[test]
fn an_override_that_cannot_be_stored_is_in_force_in_this_process() {
    let TwoLeafServers { a, setup, _b, _port } = TwoLeafServers::new();
    let tmp_dir = setup.tmp_dir.clone().expect("a directory");
    let mut aggregator = setup.start();
    wait_until_ready(&mut aggregator);
    let directory =
        std::fs::read_dir(&tmp_dir).expect("read").next().expect("a directory").expect("read").path();
    // Every write to /dev/full fails with ENOSPC.
    symlink("/dev/full", directory.join("orders.new")).expect("symlink created");
    let started = Instant::now();
    assert_eq!(aggregator.send_admin_command("POST /-/leaf-servers/a/disable"), 200);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    aggregator.wait_for_log("overrides cannot be stored");
    let count_while_disabled = a.count();
    for i in 0..20 {
        assert_eq!(query_status(&aggregator, &format!("q{i}")), 200);
    }
    assert_eq!(a.count(), count_while_disabled, "disabled in this process");
    assert!(!directory.join("orders").exists(), "the override is not stored");
    // Once the disk has space, the next command stores both overrides.
    assert_eq!(aggregator.send_admin_command("POST /-/drain"), 200);
    aggregator.kill();
    let mut next = setup.start();
    next.wait_for_log("leaf server disabled leaf_server=\"a\"");
    assert_eq!(next.healthz(), 503, "drained");
}

/// A thousand concurrent admin commands, with sixty idle admin connections and more clients than the limit: each command
/// is answered, and 200 means that the override is in force.
#[test]
fn a_thousand_concurrent_admin_commands_are_all_answered() {
    let TwoLeafServers { a, setup, _b, _port } = TwoLeafServers::new();
    let mut aggregator = setup.start();
    wait_until_ready(&mut aggregator);
    let admin_address: SocketAddr =
        aggregator.wait_for_log("admin interface on ").parse().expect("an address");
    // More clients than the limit.
    let clients: Vec<TcpStream> =
        (0..700).filter_map(|_| TcpStream::connect(aggregator.address).ok()).collect();
    assert!(clients.len() > 500, "{}", clients.len());
    let idle: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect(admin_address).expect("accepted")).collect();
    let request = |n: usize| {
        let command =
            ["GET /-/ready", "POST /-/leaf-servers/a/disable", "POST /-/leaf-servers/a/enable"][n % 3];
        format!("{command} HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n")
    };
    let mut streams: Vec<TcpStream> = Vec::new();
    for n in 0..1000 {
        let mut stream = TcpStream::connect(admin_address).expect("accepted");
        stream.write_all(request(n).as_bytes()).expect("written");
        streams.push(stream);
    }
    let mut answered = 0;
    for mut stream in streams {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        let mut response = String::new();
        let _ = stream.read_to_string(&mut response);
        answered += usize::from(response.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(answered, 1000);
    drop((idle, clients));
    assert_eq!(aggregator.send_admin_command("POST /-/leaf-servers/a/disable"), 200);
    let count_while_disabled = a.count();
    thread::sleep(Duration::from_millis(50));
    for i in 0..10 {
        assert_eq!(query_status(&aggregator, &format!("q{i}")), 200);
    }
    assert_eq!(a.count(), count_while_disabled);
}

/// Guards against a query that runs twice because its id comes again at the other process of a hot restart: while it is in
/// flight in the old one, after its client has left, and after the old process has exited.
#[test]
fn a_request_id_does_not_run_again_at_the_other_process_of_a_hot_restart() {
    let leaf_server = LeafServer::new();
    let setup = Setup::new(&[listed_endpoint("a", leaf_server.address, 0)]);
    let port = shared_port();
    let setup = setup.shared(&port);
    let mut old = setup.start();
    wait_until_ready(&mut old);
    let mut in_flight = Client::connect(old.address);
    in_flight.send(query("in-flight", "9000m", &[0]));
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "in-flight.0");
    let mut leaving = Client::connect(old.address);
    leaving.send(query("left", "9000m", &[0]));
    assert_eq!(connection.next_part(), "left.0");
    drop(leaving);
    assert_eq!(connection.next_frame(), Some(('n', "left.0".to_owned())));
    let mut new = setup.start();
    wait_until_ready(&mut new);
    old.wait_for_log("others=1 ready=true");
    let ids = ["in-flight", "left"];
    // The kernel gives each connection to one of the two processes.
    for id in ids.repeat(20) {
        assert_eq!(query_status(&new, id), 400, "{id} beside the old process");
    }
    old.signal("-TERM");
    old.wait_for_log("to=\"hot restarting\"");
    connection.answer("in-flight.0", "good", "v");
    assert_eq!(in_flight.response().status, 200);
    old.wait_for_exit();
    for id in ids {
        assert_eq!(query_status(&new, id), 400, "{id} after the exit of the old process");
    }
    assert_eq!(new.counters()["attempts_sent"], 0);
}
