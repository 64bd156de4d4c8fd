//! Watches an inventory's file and tells the core of its list whenever it has changed.

use super::{Input, ToCore};
use crate::clock::Clock;
use crate::core::Event;
use crate::inventory::parse;
use crate::membership::NodeList;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the file is looked at: it is small, and tools replace it whole.
const LOOK: Duration = Duration::from_millis(500);

/// Looks for as long as the program runs; `known` is the text already taken.
pub(crate) async fn watch(path: PathBuf, mut known: String, to_core: ToCore, clock: Rc<Clock>) {
    let mut generation = 1;
    loop {
        sleep(LOOK).await;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) if text == known => continue,
            Ok(text) => text,
            // A tool that replaces the file may leave none for a moment: the list stands.
            Err(_) => continue,
        };
        match parse(&path, &text) {
            Ok(entries) => {
                generation += 1;
                let list = NodeList { generation, complete: true, entries };
                let event = Event::Nodes { list, wall_ahead: clock.wall_ahead() };
                if to_core.send(Input::Event(event)).await.is_err() {
                    return;
                }
            }
            Err(e) => eprintln!("{}: {e}; the old list stands", path.display()),
        }
        known = text;
    }
}
