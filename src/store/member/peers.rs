//! The other members, and the connections that are opened to them from here.

use super::connections::Connections;
use crate::net::Token;
use crate::store::wire::{encode_hello, Hello};
use crate::store::Config;
use dahliaspoke_raft::entry::Members;
use dahliaspoke_raft::Id;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Another member.
struct Peer {
    address: SocketAddr,
    /// The connection that was opened to it; it may be closed already.
    connection: Option<Token>,
    /// Its id, once it has presented itself or the log names it.
    id: Option<Id>,
}

/// The other members, by name.
pub struct Peers(BTreeMap<String, Peer>);

impl Peers {
    /// The configured peers but `name`, this member's own.
    pub fn new(config: &Config, name: &str) -> Self {
        let others = config.peers.iter().filter(|(other, _)| *other != name);
        let peer = |address: &SocketAddr| Peer { address: *address, connection: None, id: None };
        Self(others.map(|(name, address)| (name.clone(), peer(address))).collect())
    }

    /// Whether a peer has that name.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The connection to the member of an id.
    pub fn connection_to(&self, id: Id) -> Option<Token> {
        self.0.values().find(|peer| peer.id == Some(id)).and_then(|peer| peer.connection)
    }

    /// The peer at the other end of a connection has presented itself. Returns whether the connection was opened from
    /// here.
    pub fn identify(&mut self, connection: Token, hello: &Hello) -> bool {
        let peer = self.0.get_mut(&hello.name).filter(|peer| peer.connection == Some(connection));
        peer.map(|peer| peer.id = Some(hello.id)).is_some()
    }

    /// Adds the members that the log names and the configuration does not, at their addresses in the log.
    pub fn add_members(&mut self, members: &Members, own: Id) {
        for (id, member) in members.iter().filter(|(id, _)| **id != own) {
            let Ok(address) = member.address.parse() else { continue };
            let peer = || Peer { address, connection: None, id: Some(*id) };
            self.0.entry(member.name.clone()).or_insert_with(peer);
        }
    }

    /// Connects to each peer that no connection is open to.
    pub fn reconnect(&mut self, connections: &mut Connections, own: &Hello) {
        for peer in self.0.values_mut() {
            if !peer.connection.is_some_and(|connection| connections.is_open(connection)) {
                peer.connection = connections.connect(peer.address, encode_hello(own));
            }
        }
    }
}
