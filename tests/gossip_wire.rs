//! Datagrams between members: decoding returns the encoded value, and the encoding is stable across versions. Datagrams
//! that are modified, truncated or authenticated with another key give a typed error, and no bytes cause a panic.

use proptest::prelude::*;
use sailmux::gossip::{
    Datagram, DatagramCodec, MemberId, MemberStatus, MemberUpdate, Message, Packet, WireError,
};

fn update(id: u64, incarnation: u64, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        address: "127.0.0.1:7946".into(),
        zone: "tpe-a".into(),
        incarnation,
        status,
        reporter: MemberId(id ^ 1),
    }
}

/// The recipient of all [`datagrams`], in hexadecimal.
const RECIPIENT: &str = "0000000000000009";

fn codec() -> DatagramCodec {
    DatagramCodec::new(b"the fleet's key, sixteen or more", 1400).unwrap()
}

/// A datagram of each kind.
fn datagrams() -> [Datagram; 7] {
    let updates = vec![update(2, 3, MemberStatus::Suspect), update(4, 0, MemberStatus::Left)];
    let packets = [
        Packet::Member(Message::Ping { sequence: 7, updates: updates.clone() }),
        Packet::Member(Message::Ack { sequence: 7, updates: vec![] }),
        Packet::Member(Message::Gossip { updates: updates.clone() }),
        Packet::Member(Message::PingRequest { sequence: 9, target: MemberId(5), updates: updates.clone() }),
        Packet::Member(Message::Sync { reply_requested: true, members: updates.clone() }),
        Packet::TableRequest { sequence: 11 },
        Packet::TableReply { sequence: 11, part: 1, parts: 2, local_health: 3, members: updates },
    ];
    packets.map(|packet| Datagram {
        recipient: MemberId(9),
        sender: update(1, 5, MemberStatus::Alive),
        packet,
    })
}

#[test]
fn each_kind_decodes_to_the_encoded_value() {
    for datagram in datagrams() {
        let bytes = codec().encode(&datagram).unwrap();
        assert_eq!(codec().decode(&bytes), Ok(datagram));
    }
}

/// Compares with the bytes that version 0.1.0 encoded, in hexadecimal.
#[test]
fn the_encoding_of_each_kind_is_stable() {
    let sender =
        "000000000000000100000000000000050000000000000000000e3132372e302e302e313a37393436057470652d61";
    let updates = concat!(
        "02",
        "000000000000000200000000000000030100000000000000030e3132372e302e302e313a37393436057470652d61",
        "000000000000000400000000000000000300000000000000050e3132372e302e302e313a37393436057470652d61",
    );
    let expected = [
        format!("01{RECIPIENT}{sender}0000000000000007{updates}125c77ce6a8d8dedfd7ee0e2c7364db8"),
        format!("02{RECIPIENT}{sender}0000000000000007006914e060dff6b61747c47065debfedf7"),
        format!("03{RECIPIENT}{sender}{updates}5cd440d71ffa04242dd76d78915de9fa"),
        format!(
            "04{RECIPIENT}{sender}00000000000000090000000000000005{updates}06a50cf8f8f1cfc602bfd67ce141142a"
        ),
        format!("05{RECIPIENT}{sender}01{updates}0ce38f96cff781831d914134502d2e9b"),
        format!("06{RECIPIENT}{sender}000000000000000b2e09f273705d1c907bd76ba36f018d3a"),
        format!(
            "07{RECIPIENT}{sender}000000000000000b0001000200000003{updates}902733182662234e816b79ffa3e2d221"
        ),
    ];
    for (datagram, expected) in datagrams().iter().zip(expected) {
        let bytes = codec().encode(datagram).unwrap();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, format!("534d4701{expected}"), "{:?}", datagram.packet);
    }
}

#[test]
fn another_key_a_modified_byte_and_excess_length_are_rejected() {
    let datagram = Datagram {
        recipient: MemberId(0),
        sender: update(1, 0, MemberStatus::Alive),
        packet: Packet::TableRequest { sequence: 1 },
    };
    let bytes = codec().encode(&datagram).unwrap();
    let other_codec = DatagramCodec::new(b"another fleet's key, as long", 1400).unwrap();
    assert_eq!(other_codec.decode(&bytes), Err(WireError::AuthenticationFailed));
    let mut modified = bytes.clone();
    modified[20] ^= 1;
    assert_eq!(codec().decode(&modified), Err(WireError::AuthenticationFailed));
    assert!(matches!(DatagramCodec::new(b"short", 1400), Err(WireError::KeyTooShort)));
    let updates = (0..40).map(|id| update(id, 0, MemberStatus::Alive)).collect();
    let too_large = Datagram { packet: Packet::Member(Message::Gossip { updates }), ..datagram };
    assert!(matches!(codec().encode(&too_large), Err(WireError::TooLarge(_))));
}

proptest! {
    #[test]
    fn any_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1600)) {
        let _ = codec().decode(&bytes);
    }

    #[test]
    fn a_truncated_datagram_is_rejected(length in 0usize..100) {
        let datagram = Datagram {
            recipient: MemberId(3),
            sender: update(1, 2, MemberStatus::Alive),
            packet: Packet::Member(Message::Ping {
                sequence: 4,
                updates: vec![update(2, 1, MemberStatus::Dead)],
            }),
        };
        let bytes = codec().encode(&datagram).unwrap();
        let length = length % bytes.len();
        prop_assert!(codec().decode(&bytes[..length]).is_err());
    }
}
