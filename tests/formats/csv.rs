//! CSV inventories.

use crate::support::*;
use sailmux::inventory::*;
use std::collections::BTreeMap;

#[test]
fn common_delimiters_comments_quotes_and_line_endings_are_accepted() {
    let expected = ["s0 10.0.0.1:80 0", "s1 10.0.0.2:81 2 draining"];
    for text in [
        "name,host,port,cell,state\ns0,10.0.0.1,80,0,\ns1,10.0.0.2,81,2,draining\n",
        "\u{feff}name;host;port;cell;state\r\ns0;10.0.0.1;80;0;\r\ns1;10.0.0.2;81;2;draining\r\n",
        "# edited manually\nName\tHost\tPort\tCell\tState\tnotes\ns0\t10.0.0.1\t80\t0\t\t\ns1\t10.0.0.2\t81\t2\tdraining\tx\n",
        "name|address|cell|state|notes\ns0|10.0.0.1:80|0||\"two\nlines, | and more\"\n#s9|x|y|z|\ns1|10.0.0.2:81|2|draining|\n",
    ] {
        assert_eq!(summaries(&read_one("n.csv", text).expect(text)), expected, "{text}");
    }
}

fn mapping(fields: &[(Field, &str)], states: &[(&str, &str)], defaults: &[(Field, &str)]) -> Mapping {
    let by_field = |pairs: &[(Field, &str)]| -> BTreeMap<Field, String> {
        pairs.iter().map(|(field, text)| (*field, (*text).to_owned())).collect()
    };
    let states = states.iter().map(|(value, state)| ((*value).to_owned(), (*state).to_owned()));
    Mapping {
        fields: by_field(fields),
        values: BTreeMap::from([(Field::State, states.collect())]),
        defaults: by_field(defaults),
    }
}

#[test]
fn columns_and_values_of_a_tool_export_are_mapped() {
    let text = "Name,Status,Primary IPv4,Site,Rack\ns0,Active,10.0.0.1/24,tpe,1\ns1,decommissioning,10.0.0.2/24,tpe,0\ns2,Planned,10.0.0.3/24,tpe,0\n";
    let fields = [
        (Field::Address, "Primary IPv4"),
        (Field::State, "Status"),
        (Field::Zone, "Site"),
        (Field::Cell, "Rack"),
    ];
    let states = [("Active", "ready"), ("Decommissioning", "draining"), ("Planned", "absent")];
    let mapping = mapping(&fields, &states, &[(Field::Port, "9000")]);
    let list = read_with("export.csv", text, &Options { mapping, ..Options::default() }).expect("mapped");
    assert_eq!(summaries(&list), ["s0 10.0.0.1:9000 1", "s1 10.0.0.2:9000 0 draining"]);
    assert_eq!(&*endpoints(&list)[0].zone, "tpe");
    let state = list.get("s1").and_then(|record| record.state.as_ref()).expect("a state");
    assert_eq!(state.location.line, 3);
    // Without the mapping and its default for the port, the port is missing.
    assert!(
        diagnostics(read_one("export.csv", text))
            .iter()
            .any(|message| message.contains("s0.port: is missing"))
    );
}

#[test]
fn all_problems_are_reported_at_once_with_their_lines() {
    let text = "name,host,port,cell,weight\ns0,h,0,0,\ns1,h,1,99999,\ns2,h,2,1,-1\ns2,h,3,1,\ns3,h,4\n,h,5,1,\ns4,h,80,1,\ns5,h,80,2,\n";
    let found = diagnostics(read_one("n.csv", text));
    for expected in [
        "n.csv:5: name: s2 is listed twice, first on line 4",
        "n.csv:6: row: has 3 cells, but the header has 5",
        "n.csv:7: name: is missing",
    ] {
        assert!(found.iter().any(|message| message.contains(expected)), "{expected}: {found:#?}");
    }
    let text = "name,host,port,cell,weight\ns0,h,0,0,\ns1,h,1,99999,\ns2,h,2,1,-1\ns4,h,80,1,\ns5,h,80,2,\n";
    let found = diagnostics(read_one("n.csv", text));
    let expected = [
        "n.csv:2: s0.port",
        "n.csv:3: s1.cell",
        "n.csv:4: s2.weight",
        "n.csv:6: s5.address: h:80 is also the address of s4",
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found} does not start with {expected}");
    }
    for text in ["", "name,host,port,cell\n", "# nothing\n"] {
        assert!(!diagnostics(read_one("n.csv", text)).is_empty(), "{text:?} must be rejected");
    }
    assert!(diagnostics(read_one("n.csv", "name,name,port,cell\na,b,1,0\n"))[0].contains("twice"));
}
