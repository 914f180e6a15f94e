//! The kernel's round-trip estimate of a TCP connection.

use {
    mio::net::TcpStream,
    std::{
        mem::{size_of, zeroed},
        os::fd::AsRawFd,
    },
    wigeonramp_routing::reply_time::RoundTrip,
    wigeonramp_units::Span,
};

/// Returns the round-trip time of the connection; none before the kernel has measured one, which
/// is the case if the only segment so far was sent twice.
#[allow(unsafe_code)] // No library offers this socket option without it.
pub(crate) fn round_trip(stream: &TcpStream) -> Option<RoundTrip> {
    // SAFETY: the structure consists of integers, for which all bits zero are valid.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes to `info`, which is that long, and both
    // outlive the call; the descriptor is open as long as `stream`.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    let micros = |value: u32| Span(u64::from(value));
    // An unsupported option and a kernel that fills in less than the structure leave zeros.
    (result == 0 && info.tcpi_rtt > 0).then(|| RoundTrip {
        smoothed: micros(info.tcpi_rtt),
        variation: micros(info.tcpi_rttvar),
        shortest: Some(info.tcpi_min_rtt).filter(|time| (1..u32::MAX).contains(time)).map(micros),
    })
}
