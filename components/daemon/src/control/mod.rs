//! Control side of the host: builds the cluster view and the holder's rights.

pub mod simple;
