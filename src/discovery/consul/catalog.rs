//! Registration of this coordinator in Consul's catalog.

use serde_json::json;
use std::net::SocketAddr;

/// Path of the call that registers an instance of a service (PUT).
pub const REGISTER_PATH: &str = "/v1/catalog/register";
/// Path of the call that deregisters an instance (PUT).
pub const DEREGISTER_PATH: &str = "/v1/catalog/deregister";

/// A coordinator's node in the catalog.
pub struct CatalogNode {
    /// The coordinator's name, which is also the name of its node.
    pub name: String,
    /// Where the coordinator listens for clients.
    pub address: SocketAddr,
}

impl CatalogNode {
    /// The body of a call that registers this node as an instance of a service, with a passing check.
    pub fn registration(&self, service: &str) -> String {
        let Self { name, address } = self;
        let ip = address.ip().to_string();
        let id = self.instance_id(service);
        let check = json!({"Node": name, "CheckID": format!("service:{id}"), "Name": "serving",
            "Status": "passing", "ServiceID": id});
        let body = json!({"Node": name, "Address": ip, "SkipNodeUpdate": false, "Check": check,
            "Service": {"ID": id, "Service": service, "Address": ip, "Port": address.port()}});
        body.to_string()
    }

    /// The body of a call that deregisters this instance.
    pub fn deregistration(&self, service: &str) -> String {
        json!({"Node": self.name, "ServiceID": self.instance_id(service)}).to_string()
    }

    fn instance_id(&self, service: &str) -> String {
        format!("{service}-{}", self.name)
    }
}
