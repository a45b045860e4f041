//! What the decisions need of a request's headers.

use super::rejection::Rejection;
use super::ListenerTerms;
use dispatch_api::load_exchange;
use dispatch_api::{JobId, JobSpec, Micros};
use hyper::header::HeaderValue;
use hyper::HeaderMap;

/// Bytes of the longest id of a request.
const MAX_ID_BYTES: usize = 256;
/// How long a request may have been under way when its head is read: its deadline runs from its sending.
const TRANSIT_ALLOWANCE: Micros = 2_000;
/// The largest number that a header may hold.
const MAX_NUMBER: f64 = 1.0e6;

/// A job as its request's headers describe it.
pub(super) struct JobHeaders {
    /// The request's id.
    pub(super) id: HeaderValue,
    /// What the decisions need; without its key.
    pub(super) spec: JobSpec,
}

impl JobHeaders {
    /// Reads the headers of a request that was received at this time.
    ///
    /// # Errors
    /// A header is missing, malformed, repeated, or names a class or tenant that there is not.
    pub(super) fn read(
        headers: &HeaderMap,
        terms: &ListenerTerms,
        received_at: Micros,
    ) -> Result<Self, Rejection> {
        let id = at_most_one(headers, "req-id")?
            .filter(is_valid_id)
            .ok_or(Rejection::Header("Req-Id"))?;
        at_most_one(headers, "idempotency-key")?;
        let class = class(headers, terms)?;
        let tenant = tenant(headers, terms)?;
        let deadline = text(headers, "req-deadline")?
            .and_then(number)
            .ok_or(Rejection::Header("Req-Deadline"))?;
        let work = match text(headers, "req-cost")? {
            Some(cost) => Some(number(cost).ok_or(Rejection::Header("Req-Cost"))?),
            None => None,
        };
        let slots = slots(headers)?;
        // No client of the class waits for longer than that, whatever it says.
        let longest = terms
            .client_timeout
            .get(class)
            .copied()
            .unwrap_or(Micros::MAX);
        let patience = micros(deadline).saturating_sub(TRANSIT_ALLOWANCE);
        let spec = JobSpec {
            id: JobId(0),
            class,
            tenant,
            slots,
            expires: received_at + patience.min(longest),
            work: work.map(micros),
            key: None,
        };
        Ok(JobHeaders {
            id: id.clone(),
            spec,
        })
    }
}

fn is_valid_id(id: &&HeaderValue) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.to_str().is_ok()
}

/// A header that may be there once: given twice, a target or another party may read the other one.
fn at_most_one<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a HeaderValue>, Rejection> {
    let mut all = headers.get_all(name).iter();
    let first = all.next();
    match all.next() {
        None => Ok(first),
        Some(_) => Err(Rejection::Repeated(name)),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = at_most_one(headers, name)? else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Rejection::Header(name))?;
    Ok(Some(text.trim()))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn class(headers: &HeaderMap, terms: &ListenerTerms) -> Result<usize, Rejection> {
    let kind = text(headers, "req-kind")?.ok_or(Rejection::Header("Req-Kind"))?;
    position(&terms.classes, kind).ok_or_else(|| Rejection::Class(kind.to_owned()))
}

fn tenant(headers: &HeaderMap, terms: &ListenerTerms) -> Result<usize, Rejection> {
    match text(headers, "req-owner")? {
        Some(owner) if !terms.tenants.is_empty() => {
            position(&terms.tenants, owner).ok_or_else(|| Rejection::Tenant(owner.to_owned()))
        }
        _ => Ok(0),
    }
}

/// The slots that a job takes, from a list of `name=value`.
fn slots(headers: &HeaderMap) -> Result<f64, Rejection> {
    const MALFORMED: Rejection = Rejection::Header("Req-Extra");
    let mut slots = 1.0;
    let extras = text(headers, "req-extra")?.unwrap_or("").split(',');
    for extra in extras.filter(|extra| !extra.trim().is_empty()) {
        let (name, value) = extra.split_once('=').ok_or(MALFORMED)?;
        if matches!(name.trim(), "slots" | "cores-needed") {
            slots = number(value.trim()).ok_or(MALFORMED)?;
        }
    }
    Ok(slots)
}

/// A number that can be meant: not negative, and not beyond all bounds.
fn number(text: &str) -> Option<f64> {
    let number = text.parse::<f64>().ok()?;
    (0.0..=MAX_NUMBER).contains(&number).then_some(number)
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1.0e6) as Micros
}

/// What a request concerns, as a number: the same text gives the same number at every dispatcher.
pub(super) fn affinity_key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&');
    let session = pairs.find_map(|pair| pair.strip_prefix("sid="))?;
    (!session.is_empty()).then(|| u64::from(load_exchange::name_hash(session)))
}
