//! Control-plane decisions, free of I/O.
