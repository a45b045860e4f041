//! A client of batch jobs.

use crate::net::call;
use crate::operator::HOST;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A batch job with its items.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
}

pub fn body_of(item: &str) -> Vec<u8> {
    format!("position {item} ").repeat(20).into_bytes()
}

impl Job {
    pub fn new(number: u64, items: u64) -> Job {
        let id = format!("{:016x}", 0x7c41_0000_0000_0000_u64 + number);
        let items = (0..items).map(|n| format!("{:016x}", 0xe5b2_0000_0000_0000_u64 + number * 1_000 + n)).collect();
        Job { id, items }
    }

    fn json(&self) -> String {
        let items: Vec<String> = self
            .items
            .iter()
            .map(|item| {
                format!(
                    "{{\"Id\":\"{item}\",\"Path\":\"/pule252/3/{item}\",\"Headers\":{{\"Fordrelay-Model\":\"m\",\"Fordrelay-Tokens\":\"540,400\",\
                     \"Fordrelay-Prompt-Prefix\":\"9c2e41:300,{item}:240\"}},\"Body\":\"{}\",\"Tokens\":940}}",
                    base64(&body_of(item))
                )
            })
            .collect();
        format!("{{\"Requests\":[{}]}}", items.join(","))
    }

    /// Submits it until it is taken; the same again, at another gateway, after anything but a 202.
    pub fn submit(&self, gateways: &[SocketAddr], first: usize, within: Duration) -> Option<Instant> {
        let until = Instant::now() + within;
        let mut at = first;
        while Instant::now() < until {
            let headers = [
                ("Host", HOST.to_owned()),
                ("Fordrelay-Attempt-Id", self.id.clone()),
                ("Content-Type", "application/json".to_owned()),
                ("Fordrelay-Deadline-Ms", "4000".to_owned()),
            ];
            let path = format!("/pule252/{}", &self.id[..6]);
            let to = gateways[at % gateways.len()];
            let answer = call(to, "POST", &path, &headers, self.json().as_bytes(), Duration::from_secs(4));
            if answer.is_ok_and(|answer| answer.status() == 202) {
                return Some(Instant::now());
            }
            at += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Reads its results from the start; the status and the text of the answer.
    pub fn read(&self, gateway: SocketAddr, start: usize) -> Option<(u16, String)> {
        let path = format!("/-/lots/{}?StartAfter={start}", self.id);
        let answer = call(gateway, "GET", &path, &[("Host", HOST.to_owned())], b"", Duration::from_millis(2_500));
        answer.ok().map(|answer| (answer.status(), answer.text()))
    }

    /// Asks for the body of an item.
    pub fn item_body(&self, gateway: SocketAddr, item: &str) -> Option<(u16, Vec<u8>)> {
        let path = format!("/-/items/{}?Id={item}", self.id);
        let answer = call(gateway, "GET", &path, &[("Host", HOST.to_owned())], b"", Duration::from_millis(2_500));
        answer.ok().map(|answer| (answer.status(), answer.body))
    }

    /// Ends it.
    pub fn end(&self, gateway: SocketAddr) -> Option<u16> {
        let path = format!("/-/lots/{}", self.id);
        let answer = call(gateway, "DELETE", &path, &[("Host", HOST.to_owned())], b"", Duration::from_millis(2_500));
        answer.ok().map(|answer| answer.status())
    }
}
