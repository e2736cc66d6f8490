//! Basic value types shared by all other crates.
//!
//! Ids, rates and times have types of their own instead of bare strings and numbers, so that one
//! cannot be mistaken for another and text is validated once, where it enters the system. This
//! crate does not depend on the network, the disk or the catalogue.

pub mod code;
pub mod ids;
pub mod jsonc;
pub mod measure;
pub mod time;
