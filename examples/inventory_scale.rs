//! Measures an inventory of many leaf servers: reading it, which happens on a thread of its own, and applying it, on the
//! event loop's thread. `cargo run --release --example inventory_scale -- [SERVERS]`; the default is 20,000.

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

fn timed<T>(what: &str, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = work();
    println!("{what:44} {:9.2} ms   {:6.1} MB resident", start.elapsed().as_secs_f64() * 1e3, resident_mib());
    result
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let servers = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let options = Options::default();
    let list = |name: &str, text: &str| -> Result<Arc<FileList>, _> {
        read(&bundle(name, text), &options).map(Arc::new)
    };
    println!("{servers} servers, {:.1} MB resident at the start", resident_mib());
    let (first, drained, many) =
        (csv_text(servers, 0, 0), csv_text(servers, 1, 0), csv_text(servers, 1, servers / 10));
    let text = yaml_text(servers);
    timed("read YAML, groups and variables", || list("n.yaml", &text))?;
    let old = timed("read CSV", || list("n.csv", &first))?;
    let one = timed("read CSV, one drained", || list("n.csv", &drained))?;
    let tenth = timed("read CSV, a tenth moved", || list("n.csv", &many))?;
    timed("digest", || digest(&bundle("n.csv", &first)));
    timed("diff, one drained", || old.changed_names(&one));
    let config = std::env::temp_dir().join(format!("sailmux-scale-{}.json", std::process::id()));
    std::fs::write(&config, include_str!("../src/cli/demo/config.json"))?;
    let site = Config::at(&config);
    std::fs::remove_file(&config)?;
    let mut state =
        State::new(site?.settings, Limits::from_max_descriptors(1024), 1, GuardSettings::default())?;
    let mut now = 1e6;
    let mut step = |what: &str, input: Input| {
        now += 5.0;
        timed(what, || {
            reduce(&mut state, now, Event::EndpointSourceChanged { input, wall_clock_offset: 0.0 })
        })
        .len()
    };
    step(
        "the aggregator applies all, at the start",
        Input::Started { known: None, files: vec![old.clone()] },
    );
    step("the aggregator applies one drained", Input::File(0, one));
    step("the aggregator applies a tenth moved", Input::File(0, tenth));
    step("the aggregator applies all as at the start", Input::File(0, old));
    Ok(())
}
