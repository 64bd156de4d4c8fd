//! Hostile peers beside well-behaved ones: an aggregator with the least memory that the platform assigns, and what the others
//! must get meanwhile.

use super::process::{Aggregator, AnsweringLeafServer, Client, Setup, listed_endpoint, query};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the platform assigns to a process; above it, the process is killed.
pub const MEMORY_LIMIT_MB: u64 = 32;
/// The deadline of the queries of a well-behaved client, and the time after it in which an answer is late but not lost.
const DEADLINE: Duration = Duration::from_millis(1500);
const LATE_ANSWER: Duration = Duration::from_millis(500);
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// One test at a time: each uses a core or two, and measures in time what others get.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
pub const FLIGHT: &str = "flight:\n  listen: 127.0.0.1:0\n";

/// An aggregator with the least memory and 1,024 descriptors.
pub fn start(setup: &Setup) -> Aggregator {
    let limit = format!("\"memory_mb\":{MEMORY_LIMIT_MB}");
    let config = setup.config().replace("\"memory_mb\":192", &limit);
    assert!(config.contains(&limit), "the configuration has the limit");
    Aggregator::start(&config, setup.operator.as_deref())
}

pub fn start_with_flight(leaf_server: &AnsweringLeafServer) -> (Aggregator, SocketAddr) {
    let setup = Setup { operator: Some(FLIGHT.to_owned()), ..answering(leaf_server) };
    let mut aggregator = start(&setup);
    let flight = aggregator.flight_address().parse().expect("an address");
    (aggregator, flight)
}

pub fn answering(leaf_server: &AnsweringLeafServer) -> Setup {
    Setup::new(&[listed_endpoint("a", leaf_server.address, 0)])
}

/// Waits until no other test of this program runs.
pub fn exclusively() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn assert_within_memory_limit(aggregator: &mut Aggregator) {
    assert!(aggregator.is_running(), "the process has ended: {:#?}", aggregator.log());
    let peak = aggregator.peak_memory_kb();
    assert!(peak <= MEMORY_LIMIT_MB << 10, "{peak} kB of {} kB", MEMORY_LIMIT_MB << 10);
}

/// Sends small queries on a connection of its own for a while. Each must get its final answer in time, and at least half of
/// them must be served. A connection that is closed between requests is opened again, as clients of the platform do.
pub fn assert_others_are_served(address: SocketAddr, period: Duration) {
    let (sent, served) = query_repeatedly(address, period);
    assert!(served * 2 >= sent, "{served} of {sent} queries were served");
}

/// Sends small queries as in [`assert_others_are_served`]; while leaf servers hang, the balancer may reject them. Returns how
/// many were sent and how many served.
pub fn query_repeatedly(address: SocketAddr, period: Duration) -> (u64, u64) {
    let end = Instant::now() + period;
    let deadline = format!("{}m", DEADLINE.as_millis());
    let mut connection = None;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        sent += 1;
        let request = query(&format!("probe-{sent}"), &deadline, &[0]);
        let sent_at = Instant::now();
        let mut client = connection.take().unwrap_or_else(|| Client::connect(address));
        let response = client.try_request(&request).unwrap_or_else(|| {
            client = Client::connect(address);
            client.request(&request)
        });
        let elapsed = sent_at.elapsed();
        assert!(elapsed <= DEADLINE + LATE_ANSWER, "{} after {elapsed:?}", response.status);
        served += u64::from(response.status == 200);
        let closes = response.header("Connection") == Some("close");
        connection = (!closes).then_some(client);
        thread::sleep(PROBE_INTERVAL);
    }
    (sent, served)
}
