//! A port that refuses connections until it is listened on.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

const BACKLOG: i32 = 128;

/// A loopback port that is bound but not listened on: connections to it are refused, as by a
/// VM whose process has ended, and no other process can bind it meanwhile.
#[derive(Debug)]
pub struct ClosedPort {
    socket: Socket,
    addr: SocketAddr,
}

impl ClosedPort {
    /// Binds a free port.
    ///
    /// # Panics
    ///
    /// Panics if none can be bound.
    pub fn bind() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any.into()).expect("a free loopback port");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket());
        Self {
            socket,
            addr: addr.expect("a bound port is known"),
        }
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts listening on the port.
    ///
    /// # Panics
    ///
    /// Panics if `listen` fails.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(BACKLOG).expect("a bound socket listens");
        self.socket.into()
    }
}
