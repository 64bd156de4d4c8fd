//! The adapter between the simulator and the balancer: reads and writes JSON lines and runs one balancer for each
//! simulated aggregator. The program `sailmux-simhost` runs it. It only parses, maps names to ids and converts messages;
//! every decision is the balancer's.

mod error;
mod instance;
mod message;
mod name_interner;
mod reply;

use error::{LineError, ProtocolError};
use instance::Instance;
use message::{EndpointRow, HostMessage, InstanceId, InstanceMessage, RawMessage};
use miniserde::json;
use reply::write_batch_done;
use sailmux::balancer::Millis;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

/// Processes messages until the end of the input.
///
/// # Errors
/// A line is invalid, or reading the input or writing the output fails.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    std::panic::set_hook(Box::new(|info| eprintln!("sailmux-simhost: {info}")));
    let mut host = Host::default();
    for (index, line) in input.lines().enumerate() {
        let handled = match line {
            Ok(line) => host.handle_line(&line, &mut output),
            Err(error) => Err(ProtocolError::Io(error)),
        };
        handled.map_err(|error| LineError { line: index + 1, error })?;
    }
    Ok(())
}

/// All simulated aggregators of this process. They share only the endpoint lists that the protocol numbers.
#[derive(Default)]
struct Host {
    instances: BTreeMap<InstanceId, Instance>,
    endpoint_lists: HashMap<u32, Vec<EndpointRow>>,
    /// Simulated time of the current batch.
    now: Millis,
    /// Number of the current batch.
    batch: u64,
}

impl Host {
    fn handle_line(&mut self, line: &str, output: &mut impl Write) -> Result<(), ProtocolError> {
        if line.trim().is_empty() {
            return Ok(());
        }
        let raw: RawMessage = json::from_str(line).map_err(|_| ProtocolError::Malformed)?;
        match HostMessage::try_from(raw)? {
            HostMessage::BeginBatch { now, batch } => {
                self.now = now;
                self.batch = batch;
                Ok(())
            }
            HostMessage::CommitBatch => self.commit_batch(output),
            HostMessage::StoreEndpointList { list_number, rows } => {
                self.endpoint_lists.insert(list_number, rows);
                Ok(())
            }
            HostMessage::StartInstance { instance, seed, settings } => {
                self.instances.insert(instance, Instance::new(instance, seed, &settings)?);
                Ok(())
            }
            HostMessage::StopInstance(instance) => {
                self.instances.remove(&instance);
                Ok(())
            }
            HostMessage::ToInstance(instance, raw) => self.handle_instance_message(instance, *raw, output),
        }
    }

    fn commit_batch(&mut self, output: &mut impl Write) -> Result<(), ProtocolError> {
        for instance in self.instances.values_mut() {
            instance.deliver_pending(self.now, output)?;
        }
        write_batch_done(output, self.batch)
    }

    fn handle_instance_message(
        &mut self,
        instance: InstanceId,
        raw: RawMessage,
        output: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let Some(instance) = self.instances.get_mut(&instance) else { return Ok(()) };
        let message = InstanceMessage::try_from(raw)?;
        let rows = match &message {
            InstanceMessage::EndpointList { list_number: Some(number), .. } => {
                self.endpoint_lists.get(number)
            }
            _ => None,
        };
        let rows = rows.map_or(&[][..], Vec::as_slice);
        instance.handle(self.now, message, rows, output)
    }
}
