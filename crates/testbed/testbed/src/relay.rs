//! The network between the dispatchers of one machine: a relay that every datagram passes, and that drops, delays,
//! duplicates, reorders and splits by a seed.
//!
//! Each dispatcher sends to addresses of the relay, one for each pair: so it is known who sent to whom, whatever is in the
//! datagram. What comes on the address for `a` to `b` goes out to `b` from the relay's address for `b` to `a`, from
//! where `b` expects `a`.

use dispatch_api::Micros;
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, AbortHandle};

/// Datagrams that are on their way at most; more are lost.
const ON_THE_WAY: usize = 4_096;

/// What the network does.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    /// So large a share is lost ...
    pub loss: f64,
    /// ... or comes twice.
    pub twice: f64,
    /// One way takes this, at least and at most; so they overtake each other.
    pub travel: (Micros, Micros),
}

/// The relay.
pub struct Relay {
    weather: Weather,
    rng: RefCell<Pcg64Mcg>,
    /// By sender, then receiver; none for itself.
    links: Vec<Vec<Option<Rc<UdpSocket>>>>,
    /// Where each dispatcher listens.
    homes: Vec<SocketAddr>,
    /// Dispatchers on this side hear nothing of the others.
    side: RefCell<Vec<bool>>,
    /// Ways that are closed, by sender and receiver.
    closed: RefCell<BTreeSet<(usize, usize)>>,
    on_the_way: Cell<usize>,
    sent: Cell<(u64, u64)>,
    dropped: Cell<u64>,
    listening: RefCell<Vec<AbortHandle>>,
}

impl Relay {
    /// A relay between dispatchers that listen there.
    ///
    /// # Errors
    /// No addresses could be had.
    pub async fn start(
        homes: Vec<SocketAddr>,
        weather: Weather,
        seed: u64,
    ) -> std::io::Result<Rc<Self>> {
        let count = homes.len();
        let mut links = vec![];
        for from in 0..count {
            let mut row = vec![];
            for to in 0..count {
                row.push(match from == to {
                    true => None,
                    false => Some(Rc::new(UdpSocket::bind("127.0.0.1:0").await?)),
                });
            }
            links.push(row);
        }
        let relay = Rc::new(Relay {
            weather,
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 0x4e7)),
            links,
            homes,
            side: RefCell::new(vec![false; count]),
            closed: RefCell::default(),
            on_the_way: Cell::new(0),
            sent: Cell::default(),
            dropped: Cell::new(0),
            listening: RefCell::default(),
        });
        for from in 0..count {
            for to in 0..count {
                if let Some(socket) = relay.links[from][to].clone() {
                    let carrying = spawn_local(Rc::clone(&relay).carry(from, to, socket));
                    relay.listening.borrow_mut().push(carrying.abort_handle());
                }
            }
        }
        Ok(relay)
    }

    /// The addresses of all as dispatcher `me` is to know them; its own is where it listens.
    ///
    /// # Errors
    /// What the system says of an address.
    pub fn peers(&self, me: usize) -> std::io::Result<Vec<String>> {
        let addr = |to: usize| match &self.links[me][to] {
            Some(socket) => socket.local_addr(),
            None => Ok(self.homes[me]),
        };
        (0..self.homes.len())
            .map(|to| addr(to).map(|a| a.to_string()))
            .collect()
    }

    /// From now on these dispatchers hear nothing of the others, nor the others of them; none of them, and it is over.
    pub fn split(&self, one_side: &[usize]) {
        let mut side = self.side.borrow_mut();
        side.iter_mut()
            .enumerate()
            .for_each(|(n, s)| *s = one_side.contains(&n));
    }

    /// From now on these ways, by sender and receiver, carry nothing; none of them, and all do.
    pub fn close(&self, ways: &[(usize, usize)]) {
        *self.closed.borrow_mut() = ways.iter().copied().collect();
    }

    /// Datagrams that dispatchers sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        self.sent.get()
    }

    /// Datagrams that were lost by the seed, or by a split.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    async fn carry(self: Rc<Self>, from: usize, to: usize, socket: Rc<UdpSocket>) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
                // The receiver of an earlier one was not there.
                continue;
            };
            let (datagrams, bytes) = self.sent.get();
            self.sent.set((datagrams + 1, bytes + len as u64));
            let copies =
                1 + usize::from(self.rng.borrow_mut().random::<f64>() < self.weather.twice);
            for _ in 0..copies {
                let (lost, late) = {
                    let mut rng = self.rng.borrow_mut();
                    let lost = rng.random::<f64>() < self.weather.loss;
                    (
                        lost,
                        rng.random_range(self.weather.travel.0..=self.weather.travel.1),
                    )
                };
                let full = self.on_the_way.get() >= ON_THE_WAY;
                if lost || full || self.apart(from, to) {
                    self.dropped.set(self.dropped.get() + 1);
                    continue;
                }
                self.on_the_way.set(self.on_the_way.get() + 1);
                let (relay, datagram) = (Rc::clone(&self), buffer[..len].to_vec());
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(late)).await;
                    relay.on_the_way.set(relay.on_the_way.get() - 1);
                    // What was under way when they were parted does not arrive either.
                    if let Some(back) = relay.links[to][from]
                        .as_ref()
                        .filter(|_| !relay.apart(from, to))
                    {
                        let _ = back.try_send_to(&datagram, relay.homes[to]);
                    }
                });
            }
        }
    }

    fn apart(&self, from: usize, to: usize) -> bool {
        let side = self.side.borrow();
        side[from] != side[to] || self.closed.borrow().contains(&(from, to))
    }

    /// Ends it: nothing is carried any more.
    pub fn stop(&self) {
        self.listening
            .borrow_mut()
            .drain(..)
            .for_each(|l| l.abort());
    }
}
