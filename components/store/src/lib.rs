//! Client of the platform's object API, a versioned key-value store with watches.
//!
//! All writes are conditional. Every error tells whether the call may have taken effect, because
//! the response can be lost after the write was applied.

mod http;
mod memory;
mod object;

pub use {
    http::{HttpStore, HttpStoreTimeouts},
    memory::MemoryStore,
    object::{
        Change, MAX_VALUE_BYTES, Object, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome, WriteResponse, is_key,
    },
};
