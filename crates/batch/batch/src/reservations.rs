//! Tokens of a route that are reserved for batch jobs on any partition: the replicated part of a
//! quota.
//!
//! It is part of the table of the host's home partition, so that a new head of it knows every grant
//! that was ever sent.

use crate::codec::{read_name, write_name};
use crate::wire::JobKey;
use binrw::io::{Read, Seek, Write};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// What a reservation costs in memory beside its names, in bytes.
const RESERVATION_COST: usize = 160;

/// The tokens that are reserved for one batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The partition that holds the batch job, or was to hold it.
    pub partition: u16,
    /// How many tokens.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Route {
    sum: u64,
    batch_jobs: BTreeMap<CompactString, Reservation>,
}

/// All reservations of one home partition. Invariant: the sum of a route is that of its batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservations {
    routes: BTreeMap<(CompactString, CompactString), Route>,
    bytes: usize,
}

impl Reservations {
    /// The tokens that are reserved on a route.
    pub fn sum(&self, host: &str, route: &str) -> u64 {
        self.route(host, route).map_or(0, |route| route.sum)
    }

    /// The reservation of one batch job.
    pub fn of(&self, host: &str, route: &str, batch_job: &str) -> Option<Reservation> {
        self.route(host, route)?.batch_jobs.get(batch_job).copied()
    }

    /// All reservations on a route, in the order of the batch jobs' ids.
    pub fn on<'a>(
        &'a self,
        host: &str,
        route: &str,
    ) -> impl Iterator<Item = (&'a CompactString, &'a Reservation)> {
        self.route(host, route)
            .into_iter()
            .flat_map(|route| route.batch_jobs.iter())
    }

    /// The routes with reservations: host and name.
    pub fn routes(&self) -> impl Iterator<Item = (&CompactString, &CompactString)> {
        self.routes.keys().map(|(host, route)| (host, route))
    }

    /// Whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// About how many bytes of memory they need.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn route(&self, host: &str, route: &str) -> Option<&Route> {
        self.routes.get(&(host.into(), route.into()))
    }

    /// Reserves tokens for a batch job: at least as many as are reserved for it already.
    pub(crate) fn reserve(&mut self, job: JobKey, new: Reservation) {
        let names = names_len(&job);
        let route = self.routes.entry((job.host, job.route)).or_default();
        match route.batch_jobs.get_mut(&job.batch_job) {
            Some(old) => {
                let more = new.tokens.saturating_sub(old.tokens);
                old.tokens += more;
                old.partition = new.partition;
                route.sum = route.sum.saturating_add(more);
            }
            None => {
                self.bytes += RESERVATION_COST + names;
                route.sum = route.sum.saturating_add(new.tokens);
                route.batch_jobs.insert(job.batch_job, new);
            }
        }
    }

    /// So many tokens of a batch job are still queued: its reservation becomes no larger than that,
    /// and is removed without any.
    pub(crate) fn shrink(&mut self, job: &JobKey, tokens: u64) {
        let key = (job.host.clone(), job.route.clone());
        let Some(route) = self.routes.get_mut(&key) else {
            return;
        };
        let Some(old) = route.batch_jobs.get_mut(&job.batch_job) else {
            return;
        };
        let left = old.tokens.min(tokens);
        route.sum = route.sum.saturating_sub(old.tokens - left);
        old.tokens = left;
        if left == 0 {
            route.batch_jobs.remove(&job.batch_job);
            self.bytes = self.bytes.saturating_sub(RESERVATION_COST + names_len(job));
        }
        if route.batch_jobs.is_empty() {
            self.routes.remove(&key);
        }
    }

    pub(crate) fn write<W: Write + Seek>(&self, out: &mut W) -> BinResult<()> {
        let count = self
            .routes
            .values()
            .map(|route| route.batch_jobs.len())
            .sum::<usize>();
        u32::try_from(count).unwrap_or(u32::MAX).write_le(out)?;
        for ((host, name), route) in &self.routes {
            for (batch_job, reservation) in &route.batch_jobs {
                for name in [host, name, batch_job] {
                    write_name(name, out, Endian::Little, ())?;
                }
                reservation.partition.write_le(out)?;
                reservation.tokens.write_le(out)?;
            }
        }
        Ok(())
    }

    pub(crate) fn read<R: Read + Seek>(input: &mut R) -> BinResult<Self> {
        let mut reservations = Reservations::default();
        for _ in 0..u32::read_le(input)? {
            let mut name = || read_name(input, Endian::Little, ());
            let job = JobKey {
                host: name()?,
                route: name()?,
                batch_job: name()?,
            };
            let reservation = Reservation {
                partition: u16::read_le(input)?,
                tokens: u64::read_le(input)?,
            };
            reservations.reserve(job, reservation);
        }
        Ok(reservations)
    }
}

fn names_len(job: &JobKey) -> usize {
    job.host.len() + job.route.len() + job.batch_job.len()
}
