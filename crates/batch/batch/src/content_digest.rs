//! The digest by which a batch job is recognised when it is submitted again.
//!
//! It finds errors in transit and in clients; it need not withstand an attack. Its value is stored
//! in the table, so it must stay the same in every version.

use crate::wire::Item;

/// The digest of a batch job's content: what must be equal when it is submitted again. The route's
/// terms are left out, since the configuration may change in between.
pub fn content_digest(host: &str, items: &[Item]) -> u64 {
    let mut digest = Digest(0x9e37_79b9_7f4a_7c15);
    digest.add_bytes(host.as_bytes());
    for item in items {
        digest.add_bytes(item.id.as_bytes());
        digest.add_bytes(item.path.as_bytes());
        digest.add_word(item.headers.len() as u64);
        for header in &item.headers {
            digest.add_bytes(header.name.as_bytes());
            digest.add_bytes(header.value.as_bytes());
        }
        digest.add_bytes(&item.body);
        digest.add_word(item.tokens);
    }
    digest.0
}

/// Mixes in eight bytes at a time.
struct Digest(u64);

impl Digest {
    fn add_word(&mut self, word: u64) {
        let mixed = (self.0 ^ word).wrapping_mul(0xff51_afd7_ed55_8ccd);
        self.0 = mixed ^ (mixed >> 29);
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        self.add_word(bytes.len() as u64);
        let mut words = bytes.chunks_exact(8);
        for chunk in &mut words {
            let mut word = [0u8; 8];
            word.copy_from_slice(chunk);
            self.add_word(u64::from_le_bytes(word));
        }
        let mut last = [0u8; 8];
        for (to, from) in last.iter_mut().zip(words.remainder()) {
            *to = *from;
        }
        self.add_word(u64::from_le_bytes(last));
    }
}
