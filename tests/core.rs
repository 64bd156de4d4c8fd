//! The core with lists that change while parts are out, without sockets.

mod common;

use common::process::Setup;
use sailmux::config::Config;
use sailmux::core::*;
use sailmux::inventory::{Bundle, BundleFile, Options, Role, read};
use sailmux::membership::{FileList, Input};
use std::sync::Arc;

fn list(text: &str) -> Arc<FileList> {
    let (name, text) = ("n.csv", format!("name,host,port,cell\n{text}"));
    let file = BundleFile {
        name: name.into(),
        key: name.into(),
        role: Role::Inventory,
        text: text.into(),
        checksum: None,
    };
    Arc::new(read(&Bundle { files: vec![file] }, &Options::default()).expect("whole"))
}

fn tell(state: &mut State, now: f64, input: Input) -> Vec<Effect> {
    reduce(state, now, Event::Membership { input, wall_ahead: 0.0 })
}

/// The connections dialled, with their addresses.
fn dials(effects: &[Effect]) -> Vec<(ConnId, String)> {
    let dial = |e: &Effect| match e {
        Effect::Dial(conn, address) => Some((*conn, address.to_string())),
        _ => None,
    };
    effects.iter().filter_map(dial).collect()
}

fn calls(effects: &[Effect]) -> usize {
    effects.iter().filter(|e| matches!(e, Effect::Call(..))).count()
}

/// A mixer with two nodes in cell 0, a query for shard 0, and the connection that its part waits for.
fn waiting() -> (State, ConnId, String) {
    let path = common::process::scratch("core").join("config.json");
    std::fs::write(&path, Setup::new(&[]).config()).expect("written");
    let site = Config::at(&path).expect("sound").site;
    let mut state = State::new(site, Limits::of(1024), 7, Default::default()).expect("sound");
    let files = vec![list("a,h,1,0\nb,h,2,0\nc,h,3,1\nd,h,4,1\ne,h,5,2\n")];
    tell(&mut state, 1e6, Input::Begin { known: None, files });
    reduce(&mut state, 1e6, Event::ClientOpened(ClientId(1)));
    let part = NewPart { shard: 0, weight: 1.0, cost_hint: None };
    let query = NewQuery {
        name: "q".into(),
        class: "c".into(),
        tenant: None,
        time_left: Some(5000.0),
        retry: false,
        text: "t".into(),
        parts: vec![part],
    };
    let effects = reduce(&mut state, 1e6 + 1.0, Event::Query(ClientId(1), query));
    let (conn, address) = dials(&effects).pop().expect("a dial");
    (state, conn, address)
}

#[test]
fn a_part_that_waits_for_a_node_whose_cell_changes_goes_elsewhere() {
    let (mut state, conn, address) = waiting();
    let moved = "a,h,1,0\nb,h,2,0\nc,h,3,1\nd,h,4,1\ne,h,5,2\n"
        .replace(&format!("{},0", address.replace(':', ",")), &format!("{},1", address.replace(':', ",")));
    let mut effects = tell(&mut state, 1e6 + 2.0, Input::File(0, list(&moved)));
    effects.extend(reduce(&mut state, 1e6 + 3.0, Event::Connected(conn)));
    assert_eq!(calls(&effects), 0, "it does not hold the shard any more");
    // The module sends the part to the other holder at once, or once it has thought about it.
    let mut now = 1e6 + 3.0;
    while dials(&effects).is_empty() && now < 1e6 + 2000.0 {
        now += 5.0;
        effects.extend(reduce(&mut state, now, Event::Tick));
    }
    let (other, elsewhere) = dials(&effects).pop().expect("another dial");
    assert_ne!(elsewhere, address);
    let effects = reduce(&mut state, now + 1.0, Event::Connected(other));
    assert_eq!(calls(&effects), 1);
}

#[test]
fn a_node_that_changes_its_address_or_name_keeps_what_is_out_on_it() {
    for (from, to) in [("h:1", "z,h,9,0"), ("h:2", "y,h,8,0")] {
        let (mut state, conn, address) = waiting();
        let called = reduce(&mut state, 1e6 + 2.0, Event::Connected(conn));
        assert_eq!(calls(&called), 1);
        let attempt = called.iter().find_map(|e| match e {
            Effect::Call(_, parts) => Some(parts[0].attempt),
            _ => None,
        });
        reduce(&mut state, 1e6 + 2.5, Event::Written(conn, 1));
        // Another name at another address, and the old name gone.
        let old = if from == "h:1" { "a,h,1,0" } else { "b,h,2,0" };
        let text = "a,h,1,0\nb,h,2,0\nc,h,3,1\nd,h,4,1\ne,h,5,2\n".replace(old, to);
        let effects = tell(&mut state, 1e6 + 3.0, Input::File(0, list(&text)));
        let closed = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Close(c) if *c == conn));
        assert!(!closed(&effects), "a part is out on it");
        let end = Event::PartEnded {
            conn,
            attempt: attempt.expect("an attempt"),
            end: End::Good,
            rows: vec!["v".into()],
            report: None,
        };
        let effects = reduce(&mut state, 1e6 + 9.0, end);
        let whole = |e: &Effect| matches!(e, Effect::Reply { reply: Reply::Answer { whole: true, .. }, .. });
        assert!(effects.iter().any(whole), "{effects:?}");
        assert_eq!(closed(&effects), address == from, "closed once nothing is out, if its node is gone");
    }
}

#[test]
fn the_core_counts_and_tells_what_membership_decides() {
    let (mut state, ..) = waiting();
    let effects = tell(&mut state, 1e6 + 2.0, Input::File(0, list("a,h,1,0\n")));
    assert!(effects.iter().any(|e| matches!(e, Effect::Notice(_))));
    tell(&mut state, 1e6 + 3.0, Input::Refused(0, "torn".into()));
    let counters = state.counters();
    assert_eq!((counters.lists_held, counters.lists_refused, counters.lists_confirmed), (1, 1, 0));
    assert_eq!(state.membership().nodes().len(), 5);
}
