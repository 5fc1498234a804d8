//! Where attempts run. A link keeps connections to engines and tells the core how each attempt ended.

pub mod resp;
