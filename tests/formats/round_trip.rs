//! Property tests: printed lists read back unchanged, and mutated files are handled without a panic.

use crate::ansible::GROUPS;
use crate::support::*;
use proptest::prelude::*;
use sailmux::endpoints::{Endpoint, EndpointState};
use sailmux::inventory::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Generated properties of a leaf server other than its name.
#[derive(Clone, Debug)]
struct Row {
    cell: u32,
    zone: String,
    weight_eighths: u32,
    draining: bool,
    flight: bool,
    started: u8,
}

fn rows() -> impl Strategy<Value = Row> {
    let zone = "[a-zA-Z0-9 ,;\"'#:é|-]{0,6}";
    let fields = (0..200u32, zone, 0..100_000u32, any::<bool>(), any::<bool>(), 0..3u8);
    fields.prop_map(|(cell, zone, weight_eighths, draining, flight, started)| Row {
        cell,
        zone,
        weight_eighths,
        draining,
        flight,
        started,
    })
}

fn endpoint((index, (name, row)): (usize, (String, Row))) -> Endpoint {
    let scheme = if row.flight { "grpc+tcp://" } else { "" };
    Endpoint {
        name: name.into(),
        address: format!("{scheme}10.0.0.{index}:{}", 1000 + index).into(),
        zone: row.zone.trim().into(),
        cell: row.cell,
        weight: f64::from(row.weight_eighths) / 8.0,
        state: if row.draining { EndpointState::Draining } else { EndpointState::Ready },
        started_at_unix: f64::from(row.started) * 1234.5,
    }
}

fn endpoint_lists() -> impl Strategy<Value = Vec<Endpoint>> {
    let name = "[a-z#][a-z0-9#.'\",;_-]{0,8}";
    let by_name = prop::collection::btree_map(name, rows(), 1..12);
    by_name.prop_map(|rows: BTreeMap<String, Row>| rows.into_iter().enumerate().map(endpoint).collect())
}

const FORMATS: [(PrintFormat, &str); 3] =
    [(PrintFormat::Csv, "n.csv"), (PrintFormat::Yaml, "n.yaml"), (PrintFormat::Json, "n.json")];

const CSV: &str = "name;host;port;cell;state\ns0;10.0.0.1;80;0;\n\"s\n1\";10.0.0.2;81;2;draining\n";

#[derive(Clone, Copy, Debug)]
enum Mutation {
    Insert(u8),
    Replace(u8),
    Remove,
    /// Appends a copy of all bytes from the index on.
    Repeat,
}

impl Mutation {
    /// Replacing or removing at the end of the bytes has no effect.
    fn apply(self, bytes: &mut Vec<u8>, index: usize) {
        match self {
            Mutation::Insert(byte) => bytes.insert(index, byte),
            Mutation::Replace(byte) if index < bytes.len() => bytes[index] = byte,
            Mutation::Remove if index < bytes.len() => drop(bytes.remove(index)),
            _ => bytes.extend_from_within(index..),
        }
    }
}

fn mutations() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        any::<u8>().prop_map(Mutation::Insert),
        any::<u8>().prop_map(Mutation::Replace),
        Just(Mutation::Remove),
        Just(Mutation::Repeat),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn printed_list_reads_back_equal_in_each_format(list in endpoint_lists()) {
        for (format, file) in FORMATS {
            let text = print(&list, format);
            let reread = read_one(file, &text).map_err(|e| TestCaseError::fail(format!("{e}\n{text}")))?;
            prop_assert_eq!(&endpoints(&reread), &list, "{}", text);
        }
    }

    #[test]
    fn mutated_file_is_read_without_panic_in_bounded_time(
        yaml in any::<bool>(),
        mutations_at in prop::collection::vec((any::<prop::sample::Index>(), mutations()), 1..12),
    ) {
        let (name, text) = if yaml { ("n.yaml", GROUPS) } else { ("n.csv", CSV) };
        let mut bytes = text.as_bytes().to_vec();
        for (index, mutation) in mutations_at {
            let index = index.index(bytes.len().max(1)).min(bytes.len());
            mutation.apply(&mut bytes, index);
        }
        let mut bundle = bundle(&[(name, "")]);
        bundle.files[0].content = bytes;
        let start = Instant::now();
        let _ = read(&bundle, &Options::default());
        prop_assert!(start.elapsed() < Duration::from_secs(5));
    }
}
