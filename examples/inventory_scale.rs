//! Measures the time and memory for a large inventory: for reading it, which the aggregator does on a separate thread,
//! and for applying it, which it does in the event loop.
//!
//! `cargo run --release --example inventory_scale -- [SERVERS]`; the default is 20,000 leaf servers.

use sailmux::aggregator::{Event, Limits, State, reduce};
use sailmux::config::Config;
use sailmux::endpoints::{FileList, GuardSettings, Input};
use sailmux::inventory::{Bundle, BundleFile, Options, Role, digest, read};
use std::sync::Arc;
use std::time::Instant;

fn bundle(name: &str, text: &str) -> Bundle {
    let file = BundleFile {
        name: name.into(),
        relative_path: name.to_owned(),
        role: Role::Inventory,
        content: text.as_bytes().to_vec(),
        checksum: None,
    };
    Bundle { files: vec![file] }
}

fn csv_text(servers: usize, draining: usize, moved: usize) -> String {
    let row = |i: usize| {
        let state = if i < draining { "draining" } else { "ready" };
        let port = if i >= servers - moved { 9001 } else { 9000 };
        format!("s{i:05},10.{}.{}.{},{port},{},{state}\n", i >> 16, (i >> 8) & 255, i & 255, i % 3)
    };
    (0..servers).fold("name,host,port,cell,state\n".to_owned(), |text, i| text + &row(i))
}

fn yaml_text(servers: usize) -> String {
    let cell = |c: usize| {
        let hosts = (0..servers).filter(|i| i % 3 == c);
        let hosts = hosts
            .map(|i| format!("        s{i:05}: {{host: 10.{}.{}.{}}}\n", i >> 16, (i >> 8) & 255, i & 255));
        format!("    cell{c}:\n      vars: {{cell: {c}}}\n      hosts:\n{}", hosts.collect::<String>())
    };
    format!("all:\n  vars: {{port: 9000}}\n  children:\n{}{}{}", cell(0), cell(1), cell(2))
}

/// Resident memory, in MiB.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn timed<T>(label: &str, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = work();
    println!(
        "{label:44} {:9.2} ms   {:6.1} MiB resident",
        start.elapsed().as_secs_f64() * 1e3,
        resident_mib()
    );
    result
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let servers = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let options = Options::default();
    let list = |name: &str, text: &str| -> Result<Arc<FileList>, _> {
        read(&bundle(name, text), &options).map(Arc::new)
    };
    println!("{servers} leaf servers, {:.1} MiB resident at the start", resident_mib());
    let (all_ready, one_drained, tenth_moved) =
        (csv_text(servers, 0, 0), csv_text(servers, 1, 0), csv_text(servers, 1, servers / 10));
    let yaml = yaml_text(servers);
    timed("read YAML, groups and variables", || list("n.yaml", &yaml))?;
    let initial_list = timed("read CSV", || list("n.csv", &all_ready))?;
    let drained_list = timed("read CSV, one drained", || list("n.csv", &one_drained))?;
    let moved_list = timed("read CSV, a tenth moved", || list("n.csv", &tenth_moved))?;
    timed("digest", || digest(&bundle("n.csv", &all_ready)));
    timed("diff, one drained", || initial_list.changed_names(&drained_list));
    let config_path = std::env::temp_dir().join(format!("sailmux-scale-{}.json", std::process::id()));
    std::fs::write(&config_path, include_str!("../src/cli/demo/config.json"))?;
    let config = Config::from_file(&config_path);
    std::fs::remove_file(&config_path)?;
    let mut state =
        State::new(config?.settings, Limits::new(1024, 192_000_000), 1, GuardSettings::default())?;
    let mut now = 1e6;
    let mut step = |label: &str, input: Input| {
        now += 5.0;
        timed(label, || {
            reduce(&mut state, now, Event::EndpointSourceChanged { input, wall_clock_offset: 0.0 })
        })
        .len()
    };
    step("apply all, at the start", Input::Started { initial_list: None, files: vec![initial_list.clone()] });
    step("apply one drained", Input::File(0, drained_list));
    step("apply a tenth moved", Input::File(0, moved_list));
    step("apply the initial list again", Input::File(0, initial_list));
    Ok(())
}
