//! Client of the platform's object API.
//!
//! Writes are conditional. Every error says whether the call may have taken effect, because an
//! answer can be lost after the write.

mod http;
mod memory;
mod object;

pub use {
    http::{HttpStore, HttpStoreTimes},
    memory::MemoryStore,
    object::{
        Change, Fetched, MAX_VALUE_BYTES, Object, ObjectStore, PlatformHost, Precondition, Put,
        StoreError, WrittenAs, is_key,
    },
};
