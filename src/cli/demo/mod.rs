//! `sailmux demo`: an aggregator on loopback with a built-in inventory and simulated leaf servers in the same process.

mod leaf_server;

use super::failure::Failure;
use super::print;
use crate::config::{Config, Operator};
use std::net::SocketAddr;
use std::path::Path;
use std::{fs, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

/// The built-in inventory. `PORT0` and so on are placeholders for the ports of the simulated leaf servers.
const INVENTORY: &str = include_str!("inventory.yaml");
const CONFIG: &str = include_str!("config.json");
const LEAF_SERVERS: usize = 6;
const QUERY: &str = r#"{"ranges":[{"range":0,"portion":0.5},{"range":2,"portion":0.5}],"predicate":"hello"}"#;
const QUERY_HEADERS: &str = "Req-Id: demo-1\r\nReq-Kind: search\r\nReq-Owner: acme\r\nReq-Deadline: 2000m";

#[derive(clap::Args)]
pub(super) struct Demo {
    /// The aggregator's listen address, which must be on loopback; by default on a free port
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Exit after the first answer
    #[arg(long)]
    once: bool,
}

impl Demo {
    pub(super) fn run(self) -> Result<(), Failure> {
        if !self.listen.ip().is_loopback() {
            return Err(Failure::message(format!(
                "{}: the demo listens on loopback addresses only",
                self.listen
            )));
        }
        let directory = std::env::temp_dir().join(format!("sailmux-demo-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let result = LocalSet::new().block_on(&runtime, self.serve(&directory));
        // A leftover directory in the temporary directory is harmless.
        let _ = fs::remove_dir_all(&directory);
        result
    }

    async fn serve(self, directory: &Path) -> Result<(), Failure> {
        let inventory_path = directory.join("nodes.yaml");
        fs::write(&inventory_path, start_leaf_servers().await?)?;
        let config = configuration(directory)?;
        crate::logging::start(&config.operator.log);
        let listener = TcpListener::bind(self.listen).await?;
        let address = listener.local_addr()?;
        let aggregator = spawn_local(crate::net::serve_on(listener, config));
        let inventory_path = inventory_path.display();
        print(&format!("the aggregator listens on http://{address}, its inventory is {inventory_path}\n\n"))?;
        show_query(address).await?;
        if self.once {
            return Ok(());
        }
        print(&instructions(address))?;
        Ok(aggregator.await??)
    }
}

/// Starts the simulated leaf servers and returns the inventory with their ports.
async fn start_leaf_servers() -> io::Result<String> {
    let mut inventory = INVENTORY.to_owned();
    for number in 0..LEAF_SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let port = listener.local_addr()?.port();
        inventory = inventory.replace(&format!("PORT{number}"), &port.to_string());
        spawn_local(leaf_server::run(format!("s{number}"), listener));
    }
    Ok(inventory)
}

/// The configuration of an aggregator that uses the inventory in this directory.
fn configuration(directory: &Path) -> Result<Config, Failure> {
    let config_path = directory.join("config.json");
    fs::write(&config_path, CONFIG)?;
    let operator_path = directory.join("operator.yaml");
    fs::write(&operator_path, "inventory:\n  file: nodes.yaml\n")?;
    let operator = Operator::load(&operator_path)?;
    Ok(Config { operator, ..Config::from_file(&config_path)? })
}

/// Sends a query and prints its answer and the aggregator's nonzero counters.
async fn show_query(address: SocketAddr) -> Result<(), Failure> {
    print(&format!("query for shards 0 and 2:\n  {QUERY}\nanswer:\n"))?;
    let length = QUERY.len();
    let request = format!(
        "POST /api/demo HTTP/1.1\r\nHost: {address}\r\n{QUERY_HEADERS}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{QUERY}"
    );
    let answer = response_body(address, &request).await?;
    print(&format!("  {answer}\n\nnonzero counters of the aggregator:\n"))?;
    let request = "GET /metrics HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n";
    let counters = response_body(address, request).await?;
    for counter in counters.lines().filter(|line| !line.starts_with('#') && !line.ends_with(" 0")) {
        print(&format!("  {counter}\n"))?;
    }
    if !answer.contains(r#""total":true"#) {
        return Err(Failure::message("the answer is not complete"));
    }
    Ok(())
}

fn instructions(address: SocketAddr) -> String {
    format!(
        "\nsend another query, or set `state: draining` for a leaf server in the inventory and query again:\n  \
         curl -sS http://{address}/api/demo -H 'Req-Id: mine-1' -H 'Req-Kind: search' -H 'Req-Owner: acme' \\\n    \
         -H 'Req-Deadline: 2000m' -d '{QUERY}'\n\npress Ctrl-C to stop\n"
    )
}

/// Sends a request on a new connection and returns the body of the response.
async fn response_body(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    let body = response.split_once("\r\n\r\n").map_or(response.as_str(), |(_, body)| body);
    Ok(body.to_owned())
}
