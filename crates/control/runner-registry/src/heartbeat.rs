//! The body of a runner's heartbeat: a JSON object, as the users' protocol page names its members.

use crate::error::HeartbeatError;
use crate::runner::Model;
use compact_str::CompactString;
use jzon::{object::Object, JsonValue};
use std::net::SocketAddr;

/// Longest id of a runner, in bytes.
pub const MAX_ID_BYTES: usize = 64;
/// Longest name in a heartbeat, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Largest body of a heartbeat, in bytes: a runner with a long list of models stays well below it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Most models of a runner; the rest of a longer list is left out.
pub const MAX_MODELS: usize = 64;
/// Largest sequence number: what JSON numbers carry exactly.
const MAX_SEQNO: u64 = 1 << 53;
/// Longest warm-up, in milliseconds: a day.
const MAX_WARMUP_MS: f64 = 86_400_000.0;

/// What a heartbeat says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Heartbeat {
    pub service: CompactString,
    pub addr: SocketAddr,
    pub zone: CompactString,
    pub software_version: CompactString,
    pub slots: u32,
    pub draining: bool,
    pub warmup_left_ms: u64,
    pub phase: CompactString,
    pub models: Vec<Model>,
    pub seqno: u64,
}

pub(crate) fn check_id(id: &str) -> Result<(), HeartbeatError> {
    let fits = !id.is_empty()
        && id.len() <= MAX_ID_BYTES
        && id
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if fits {
        Ok(())
    } else {
        Err(HeartbeatError::BadId)
    }
}

impl Heartbeat {
    pub(crate) fn parse(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(HeartbeatError::TooLarge);
        }
        let text = std::str::from_utf8(body).map_err(|_| HeartbeatError::NotJson)?;
        let json = jzon::parse(text).map_err(|_| HeartbeatError::NotJson)?;
        let members = json.as_object().ok_or(HeartbeatError::NotJson)?;
        // The order decides which of several faults is reported.
        let addr = required(members, "Address", optional_text)?;
        let state = required(members, "State", optional_text)?;
        let service = required(members, "Svc", optional_text)?;
        let addr: SocketAddr = addr
            .parse()
            .map_err(|_| HeartbeatError::Invalid("Address"))?;
        if addr.port() == 0 || addr.ip().is_unspecified() {
            return Err(HeartbeatError::Invalid("Address"));
        }
        if service.is_empty() {
            return Err(HeartbeatError::Invalid("Svc"));
        }
        let draining = match state.as_str() {
            "up" => false,
            "draining" => true,
            _ => return Err(HeartbeatError::Invalid("State")),
        };
        let slots = required(members, "Slots", optional_integer)?;
        let seqno = required(members, "Seqno", optional_integer)?;
        if seqno > MAX_SEQNO {
            return Err(HeartbeatError::Invalid("Seqno"));
        }
        Ok(Heartbeat {
            service,
            addr,
            zone: optional_text(members, "Zone")?.unwrap_or_default(),
            software_version: optional_text(members, "Gen")?.unwrap_or_default(),
            slots: u32::try_from(slots).map_err(|_| HeartbeatError::Invalid("Slots"))?,
            draining,
            warmup_left_ms: warmup_left_ms(members)?,
            phase: optional_text(members, "Phase")?.unwrap_or_default(),
            models: models(members)?,
            seqno,
        })
    }
}

/// A member that is there; `null` counts as missing.
fn member<'a>(members: &'a Object, name: &str) -> Option<&'a JsonValue> {
    members.get(name).filter(|value| !value.is_null())
}

fn required<T>(
    members: &Object,
    name: &'static str,
    read: impl Fn(&Object, &'static str) -> Result<Option<T>, HeartbeatError>,
) -> Result<T, HeartbeatError> {
    read(members, name)?.ok_or(HeartbeatError::Missing(name))
}

fn optional_text(
    members: &Object,
    name: &'static str,
) -> Result<Option<CompactString>, HeartbeatError> {
    let Some(value) = member(members, name) else {
        return Ok(None);
    };
    let text = value.as_str().filter(|text| text.len() <= MAX_NAME_BYTES);
    Ok(Some(text.ok_or(HeartbeatError::Invalid(name))?.into()))
}

fn optional_integer(members: &Object, name: &'static str) -> Result<Option<u64>, HeartbeatError> {
    let Some(value) = member(members, name) else {
        return Ok(None);
    };
    value
        .as_u64()
        .map(Some)
        .ok_or(HeartbeatError::Invalid(name))
}

/// `ColdLeftMs` may have a fraction, and may have run out (be negative).
fn warmup_left_ms(members: &Object) -> Result<u64, HeartbeatError> {
    let Some(value) = member(members, "ColdLeftMs") else {
        return Ok(0);
    };
    let left = value.as_f64().filter(|left| left.is_finite());
    Ok(left
        .ok_or(HeartbeatError::Invalid("ColdLeftMs"))?
        .clamp(0.0, MAX_WARMUP_MS) as u64)
}

fn models(members: &Object) -> Result<Vec<Model>, HeartbeatError> {
    let Some(value) = member(members, "Models") else {
        return Ok(Vec::new());
    };
    let list = value.as_array().ok_or(HeartbeatError::Invalid("Models"))?;
    let mut models = Vec::with_capacity(list.len().min(MAX_MODELS));
    for model in list.iter().take(MAX_MODELS) {
        let model = model.as_object().ok_or(HeartbeatError::Invalid("Models"))?;
        let name = optional_text(model, "Name")?.ok_or(HeartbeatError::Invalid("Models"))?;
        let version = optional_integer(model, "Gen")?.unwrap_or(0);
        models.push(Model { name, version });
    }
    Ok(models)
}
