//! Encoding into memory.

use binrw::meta::WriteEndian;
use binrw::BinWrite;
use bytes::Bytes;
use std::io::Cursor;

pub(crate) fn to_bytes<T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian>(value: &T) -> Bytes {
    let mut output = Cursor::new(Vec::new());
    // A vector grows as needed, and none of these types refuses a value.
    let _ = value.write(&mut output);
    output.into_inner().into()
}
