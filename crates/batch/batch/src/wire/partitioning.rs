//! Which partition a host or a batch job belongs to: a hash that is the same on every machine, in
//! every build and in every version.

/// FNV-1a, 64 bit: <http://www.isthe.com/chongo/tech/comp/fnv/>.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

fn hash_of_host(host: &str) -> u64 {
    // A port behind the name names no other host.
    let name = host.split(':').next().unwrap_or(host);
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        fnv_step(hash, byte.to_ascii_lowercase())
    })
}

fn bucket(hash: u64, partitions: usize) -> usize {
    ((hash ^ (hash >> 32)) % partitions.max(1) as u64) as usize
}

/// The home partition of a host among `partitions`: its head grants the tokens of all routes of the
/// host.
pub fn home_partition(host: &str, partitions: usize) -> usize {
    bucket(hash_of_host(host), partitions)
}

/// The partition of a batch job among `partitions`: the same for each attempt to submit the job,
/// through whichever gateway.
pub fn partition_of(host: &str, batch_job: &str, partitions: usize) -> usize {
    // A byte that is in no host's name keeps the two apart.
    let hash = batch_job
        .bytes()
        .fold(fnv_step(hash_of_host(host), 0xff), fnv_step);
    bucket(hash, partitions)
}
