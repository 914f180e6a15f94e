//! Host settings, declared deployments and the versioned configuration document.

mod document;

pub use document::{
    Caller, Collection, Document, Leaf, LeafLimits, Limits, Member, PartitionMap, Prefer, Presence,
    Priority, Zone,
};
