//! Tests of the control plane: hosts in this process with stand-ins for the platform and leaves.

mod claims;
mod configuration;
mod lost_confirm;
mod parts;
mod stop;
mod support;
mod zones;
