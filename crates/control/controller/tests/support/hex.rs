//! Bytes as hexadecimal digits.

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of these digits.
pub fn bytes(hex: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("ASCII");
        u8::from_str_radix(digits, 16).expect("hexadecimal digits")
    };
    hex.as_bytes().chunks(2).map(byte).collect()
}
