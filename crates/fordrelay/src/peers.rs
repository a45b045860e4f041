//! Datagrams between dispatchers.

use api::told::MESSAGE_BYTES;
use desk::Desk;
use state::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tracing::{debug, warn};

/// The socket, and who is at the other ends.
pub struct Peers {
    socket: UdpSocket,
    numbers: Vec<SocketAddr>,
    to: Vec<SocketAddr>,
}

impl Peers {
    /// `numbers` holds every dispatcher's address by its number; messages go to `all`, or to each but `me`.
    pub fn new(socket: UdpSocket, numbers: Vec<SocketAddr>, all: Option<SocketAddr>, me: u32) -> Rc<Self> {
        let others = || (0..).zip(&numbers).filter(|(n, _)| *n != me).map(|(_, addr)| *addr);
        let to = all.map_or_else(|| others().collect(), |all| vec![all]);
        Rc::new(Peers { socket, numbers, to })
    }

    /// Sends a message at once or not at all: it may be lost on the way just as well.
    pub fn tell(&self, message: &[u8]) {
        if message.is_empty() || message.len() > MESSAGE_BYTES {
            return;
        }
        for to in &self.to {
            if let Err(e) = self.socket.try_send_to(message, *to) {
                debug!(%to, "a message was not sent: {e}");
            }
        }
    }

    /// Reports what arrives from addresses that are known.
    pub async fn listen(self: Rc<Self>, desk: Rc<Desk>) {
        let mut buffer = [0; MESSAGE_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, _)) if len > MESSAGE_BYTES => warn!("a message is too long"),
                Ok((len, from)) => match self.numbers.iter().position(|addr| *addr == from) {
                    Some(number) => {
                        let message = buffer[..len].to_vec();
                        desk.report(Input::Told { from: number as u32, message });
                    }
                    None => debug!(%from, "a message from a stranger"),
                },
                // An earlier message that found nobody is reported here; the socket stays good.
                Err(e) => debug!("can't receive: {e}"),
            }
        }
    }
}
