//! The bytes of the file between two processes: each reads what a process of another version wrote.

use hot_restart::{HandoverFile, SavedOverride, MAX_BYTES, VERSION};

type Plain = HandoverFile<Vec<String>, u32>;

const BODY: &str = r#"{"written":1764000000000000,"clients":3,"words":{"s-1":{"out":true,"at":20,"since":10},"s-2":{"out":false,"at":40,"since":30}},"discovery":"127.0.0.1:85","list":["s-1","s-2"],"known":7}"#;

fn note() -> Plain {
    let word = |name: &str, out, at| {
        (
            name.to_owned(),
            SavedOverride {
                disabled: out,
                set_at: at,
                disabled_since: at - 10,
            },
        )
    };
    HandoverFile {
        written_at: 1_764_000_000_000_000,
        clients: 3,
        overrides: [word("s-1", true, 20), word("s-2", false, 40)].into(),
        discovery: Some("127.0.0.1:85".into()),
        endpoints: Some(vec!["s-1".into(), "s-2".into()]),
        known: Some(7),
    }
}

#[test]
fn a_file_is_a_header_line_and_its_json_byte_for_byte() {
    let file = format!("fordrelay-note 1 {} 1fcb5e92\n{BODY}", BODY.len());
    assert_eq!(String::from_utf8(note().encode().unwrap()).unwrap(), file);
    assert_eq!(Plain::decode(file.as_bytes()), Ok(note()));
    assert_eq!((VERSION, MAX_BYTES), (1, 8 * 1024 * 1024));
}

#[test]
fn decode_errors_keep_their_texts() {
    let said = |file: &str| Plain::decode(file.as_bytes()).unwrap_err().to_string();
    assert_eq!(said("what?"), "is no note of fordrelay");
    assert_eq!(
        said("fordrelay-note 2 1 0\n"),
        "has version 2, and 1 is the newest that can be read"
    );
    assert_eq!(
        said("fordrelay-note 1 9 00000000\n{}"),
        "holds 2 bytes of 9"
    );
    assert_eq!(
        said("fordrelay-note 1 2 00000000\n{}"),
        "does not match its checksum"
    );
}
