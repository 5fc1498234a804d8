//! The other members, and the outgoing connections to them.

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
    /// The outgoing connection to it; it may be closed already.
    connection: Option<Token>,
    /// Its id, once it has identified itself or is known from the log.
    id: Option<Id>,
}

/// The other members, by name.
pub struct Peers(BTreeMap<String, Peer>);

impl Peers {
    /// The configured peers, except for this member itself, which is called `name`.
    pub fn new(config: &Config, name: &str) -> Self {
        let others = config.peers.iter().filter(|(other, _)| *other != name);
        let peer = |address: &SocketAddr| Peer { address: *address, connection: None, id: None };
        Self(others.map(|(name, address)| (name.clone(), peer(address))).collect())
    }

    /// Whether there is a peer of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The outgoing connection to the member with this id.
    pub fn connection_to(&self, id: Id) -> Option<Token> {
        self.0.values().find(|peer| peer.id == Some(id)).and_then(|peer| peer.connection)
    }

    /// Records the id of the peer at the other end of an outgoing connection. Returns false if the connection is not the
    /// outgoing one to that peer.
    pub fn identify(&mut self, connection: Token, hello: &Hello) -> bool {
        let peer = self.0.get_mut(&hello.name).filter(|peer| peer.connection == Some(connection));
        peer.map(|peer| peer.id = Some(hello.id)).is_some()
    }

    /// Adds the members of the log that are not configured as peers, with their addresses from the log.
    pub fn add_members(&mut self, members: &Members, own: Id) {
        for (id, member) in members.iter().filter(|(id, _)| **id != own) {
            let Ok(address) = member.address.parse() else { continue };
            let peer = || Peer { address, connection: None, id: Some(*id) };
            self.0.entry(member.name.clone()).or_insert_with(peer);
        }
    }

    /// Connects to each peer without an open outgoing connection.
    pub fn reconnect(&mut self, connections: &mut Connections, own: &Hello) {
        for peer in self.0.values_mut() {
            if !peer.connection.is_some_and(|connection| connections.is_open(connection)) {
                peer.connection = connections.connect(peer.address, encode_hello(own));
            }
        }
    }
}
