//! Looks up sockets in the kernel's table.

use std::io;
use std::net::SocketAddr;

use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_sys::Socket;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;

/// Finds a socket whatever its cookie is.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// One end of an IPv4 connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    pub(super) local: SocketAddr,
    pub(super) remote: SocketAddr,
}

/// A connection to the kernel's socket diagnostics.
pub(super) struct SocketTable {
    socket: Socket,
}

impl SocketTable {
    /// # Errors
    ///
    /// Returns an error if the kernel refuses the connection.
    pub(super) fn open() -> io::Result<Self> {
        let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
        socket.bind_auto()?;
        socket.connect(&netlink_sys::SocketAddr::new(0, 0))?;
        Ok(Self { socket })
    }

    /// Inode of the socket at this end of a connection; `None` if it is closed.
    pub(super) fn inode(&self, end: End) -> Option<u32> {
        self.socket.send(&lookup(end), 0).ok()?;
        let (answer, _) = self.socket.recv_from_full().ok()?;
        let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer).ok()?;
        match answer.payload {
            NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => {
                // A closed socket may stay in the table, without an inode.
                Some(found.header.inode).filter(|inode| *inode != 0)
            }
            _ => None,
        }
    }
}

fn lookup(end: End) -> Vec<u8> {
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id: SocketId {
            source_port: end.local.port(),
            destination_port: end.remote.port(),
            source_address: end.local.ip(),
            destination_address: end.remote.ip(),
            interface_id: 0,
            cookie: ANY_COOKIE,
        },
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}
