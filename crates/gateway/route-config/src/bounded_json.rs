//! From bytes to JSON: what would take too much memory, time or stack is rejected before it is
//! read.

use jzon::JsonValue;

use crate::error::{ConfigError, ConfigFault};

/// Longest body, in bytes: a configuration of 10,000 routes with all their members is below it.
pub const MAX_BODY: usize = 4 * 1024 * 1024;
/// How deep lists and objects may be nested; those of a configuration are 5 deep.
pub const MAX_DEPTH: usize = 64;
/// Most members of one object, which are searched one after the other at worst.
const MAX_MEMBERS: u32 = 1_024;
/// Memory that the read body may take: within a quarter of the smallest machine that reads one.
const MAX_MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that a member takes once it is read, rounded up: its name, value and place.
const MEMBER_BYTES: usize = 112;
/// Bytes that a value of a list takes.
const VALUE_BYTES: usize = 32;

fn error(fault: ConfigFault, detail: impl Into<String>) -> ConfigError {
    ConfigError::new(fault, "the body", detail)
}

/// Reads a body.
pub(crate) fn parse(body: &[u8]) -> Result<JsonValue, ConfigError> {
    if body.len() > MAX_BODY {
        return Err(error(
            ConfigFault::TooLarge,
            format!("is {} bytes long", body.len()),
        ));
    }
    let text = std::str::from_utf8(body).map_err(|e| error(ConfigFault::NotUtf8, e.to_string()))?;
    // Some editors begin a file with the mark of its encoding.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let members = count_in_text(text)?;
    let value = jzon::parse(text).map_err(|e| error(ConfigFault::NotJson, e.to_string()))?;
    // Of a member that is there twice the reader keeps the last only.
    if count_in_value(&value) != members {
        return Err(error(ConfigFault::DuplicateMember, "has a member twice"));
    }
    Ok(value)
}

/// How many members a text has, if it is within bounds; meaningful only if it is JSON.
fn count_in_text(text: &str) -> Result<usize, ConfigError> {
    // For each list and object that is open, how many values it has so far.
    let mut open: Vec<u32> = Vec::with_capacity(MAX_DEPTH);
    let (mut members, mut memory) = (0_usize, 0_usize);
    let (mut in_text, mut escaped) = (false, false);
    for byte in text.bytes() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => {
                if open.len() == MAX_DEPTH {
                    return Err(error(ConfigFault::TooDeep, "is nested more than 64 deep"));
                }
                open.push(0);
                // Room for a few is taken at once.
                memory += if byte == b'{' {
                    3 * MEMBER_BYTES
                } else {
                    2 * VALUE_BYTES
                };
            }
            b'}' | b']' => drop(open.pop()),
            b':' => {
                members += 1;
                // Room doubles as it grows.
                memory += 2 * MEMBER_BYTES;
                let members_of_object = open.last_mut();
                if members_of_object
                    .is_some_and(|n| std::mem::replace(n, n.saturating_add(1)) >= MAX_MEMBERS)
                {
                    return Err(error(
                        ConfigFault::TooManyMembers,
                        "has an object of more than 1,024 members",
                    ));
                }
            }
            b',' => memory += 2 * VALUE_BYTES,
            _ => {}
        }
        if memory > MAX_MEMORY_BYTES {
            return Err(error(
                ConfigFault::TooLarge,
                "takes more than 64 MiB of memory to read",
            ));
        }
    }
    Ok(members)
}

/// How many members a value has in all. Recursion is as deep as the text was, which is bounded.
fn count_in_value(value: &JsonValue) -> usize {
    match value {
        JsonValue::Object(object) => object
            .iter()
            .map(|(_, value)| 1 + count_in_value(value))
            .sum(),
        JsonValue::Array(list) => list.iter().map(count_in_value).sum(),
        _ => 0,
    }
}
