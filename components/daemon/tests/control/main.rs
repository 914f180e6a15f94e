//! The control side: hosts in this process with stand-ins of the platform and of leaves.

mod claims;
mod configuration;
mod lost_confirm;
mod parts;
mod stop;
mod support;
mod zones;
