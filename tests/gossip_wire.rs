//! Members' datagrams: what is sealed opens the same; anything changed, cut or under another key is refused with
//! its reason, never a panic.

use proptest::prelude::*;
use sailmux::gossip::{Envelope, MemberId, Message, News, Packet, Sealer, Status, WireError};

fn news(id: u64, incarnation: u64, status: Status) -> News {
    News {
        id: MemberId(id),
        address: "127.0.0.1:7946".into(),
        zone: "tpe-a".into(),
        incarnation,
        status,
        said_by: MemberId(id ^ 1),
    }
}

fn sealer() -> Sealer {
    Sealer::new(b"the fleet's key, sixteen or more", 1400).unwrap()
}

#[test]
fn each_kind_opens_as_it_was_sealed() {
    let some = vec![news(2, 3, Status::Suspect), news(4, 0, Status::Left)];
    let packets = [
        Packet::Member(Message::Ping { seq: 7, news: some.clone() }),
        Packet::Member(Message::Ack { seq: 7, news: vec![] }),
        Packet::Member(Message::Gossip { news: some.clone() }),
        Packet::Member(Message::PingReq { seq: 9, target: MemberId(5), news: some.clone() }),
        Packet::Member(Message::Sync { answer: true, members: some.clone() }),
        Packet::Look { seq: 11 },
        Packet::Seen { seq: 11, part: 1, parts: 2, health: 3, members: some },
    ];
    for packet in packets {
        let envelope = Envelope { to: MemberId(9), from: news(1, 5, Status::Alive), packet };
        let bytes = sealer().seal(&envelope).unwrap();
        assert_eq!(sealer().open(&bytes), Ok(envelope));
    }
}

#[test]
fn another_key_a_changed_byte_and_too_many_bytes_are_refused() {
    let envelope =
        Envelope { to: MemberId(0), from: news(1, 0, Status::Alive), packet: Packet::Look { seq: 1 } };
    let bytes = sealer().seal(&envelope).unwrap();
    let other = Sealer::new(b"another fleet's key, as long", 1400).unwrap();
    assert_eq!(other.open(&bytes), Err(WireError::Seal));
    let mut changed = bytes.clone();
    changed[20] ^= 1;
    assert_eq!(sealer().open(&changed), Err(WireError::Seal));
    assert!(Sealer::new(b"short", 1400).is_err());
    let many = (0..40).map(|i| news(i, 0, Status::Alive)).collect();
    let big = Envelope { packet: Packet::Member(Message::Gossip { news: many }), ..envelope };
    assert!(matches!(sealer().seal(&big), Err(WireError::TooLarge(_))));
}

proptest! {
    #[test]
    fn any_bytes_open_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1600)) {
        let _ = sealer().open(&bytes);
    }

    #[test]
    fn a_cut_datagram_is_refused(cut in 0usize..100) {
        let envelope = Envelope {
            to: MemberId(3),
            from: news(1, 2, Status::Alive),
            packet: Packet::Member(Message::Ping { seq: 4, news: vec![news(2, 1, Status::Dead)] }),
        };
        let bytes = sealer().seal(&envelope).unwrap();
        let cut = cut % bytes.len();
        prop_assert!(sealer().open(&bytes[..cut]).is_err());
    }
}
