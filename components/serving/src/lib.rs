//! Data-plane decisions, free of I/O.
