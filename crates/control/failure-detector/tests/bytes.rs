//! The bytes of each datagram between dispatchers, exactly, written and read.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use failure_detector::Message;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

#[test]
fn each_kind_of_datagram_has_these_bytes() {
    let (by, of, heartbeat) = (
        0x1112_1314_1516_1718,
        0x2122_2324_2526_2728,
        0x3132_3334_3536_3738,
    );
    let cases = [
        (
            Message::Heartbeat { id: of, heartbeat },
            "0128272625242322213837363534333231",
        ),
        (
            Message::Probe { by, of },
            "0218171615141312112827262524232221",
        ),
        (
            Message::Suspect { by, of, heartbeat },
            "03181716151413121128272625242322213837363534333231",
        ),
        (
            Message::Alive {
                by,
                of,
                heartbeat,
                age_ms: 0x4142_4344,
            },
            "0418171615141312112827262524232221383736353433323144434241",
        ),
    ];
    for (message, expected) in cases {
        assert_eq!(hex(&message.encode()), expected, "{message:?}");
        let bytes = from_hex(expected);
        assert_eq!(Message::decode(&bytes), Ok(message));
        // A byte less or more is no datagram.
        assert!(Message::decode(&bytes[..bytes.len() - 1]).is_err());
        assert!(Message::decode(&[&bytes[..], &[0]].concat()).is_err());
    }
    for kind in [0, 5, 255] {
        let mut bytes = from_hex(cases[0].1);
        bytes[0] = kind;
        assert_eq!(
            Message::decode(&bytes).map_err(|error| error.to_string()),
            Err("failure detector message malformed".to_owned())
        );
    }
}
