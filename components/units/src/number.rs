//! Versions, counts, sizes and rates.

use {
    crate::text::ParseError,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        str::FromStr,
    },
    xxhash_rust::xxh3::xxh3_64,
};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The plain number.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// The number after this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let value = text.parse().map_err(|_| ParseError::new($kind, "a whole number", text))?;
                Ok(Self(value))
            }
        }
    };
}

number!(
    /// An index version of a collection; higher is newer.
    SnapshotId,
    u64,
    "snapshot id"
);
number!(
    /// A version of a collection's partition map; higher is newer.
    MapVersion,
    u64,
    "map version"
);
number!(
    /// A version of the configuration document; only rises.
    ConfigVersion,
    u64,
    "configuration version"
);
number!(
    /// How often a leaf changed its holder.
    Epoch,
    u64,
    "epoch"
);
number!(
    /// A version of an object in the platform's store.
    Revision,
    u64,
    "revision"
);
number!(
    /// One try to run a query at one leaf; unique within an entry host's instance.
    AttemptId,
    u64,
    "attempt id"
);
number!(
    /// Requests that a leaf runs at the same time.
    Slots,
    u32,
    "slot count"
);
number!(
    /// Open connections.
    Connections,
    u32,
    "connection count"
);
number!(
    /// Events a second.
    PerSecond,
    u32,
    "rate"
);
number!(
    /// Hundredths of a whole.
    Percent,
    u32,
    "percentage"
);
number!(
    /// Bytes.
    ByteSize,
    u64,
    "size"
);

macro_rules! hash {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl $name {
            /// The hash of `bytes` (XXH3, 64 bits).
            pub fn of(bytes: &[u8]) -> Self {
                Self(xxh3_64(bytes))
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let err = || ParseError::new($kind, "16 hexadecimal digits", text);
                if text.len() != 16 {
                    return Err(err());
                }
                u64::from_str_radix(text, 16).map(Self).map_err(|_| err())
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(hash: $name) -> String {
                hash.to_string()
            }
        }
    };
}

hash!(
    /// A hash that proves a body whole.
    Digest,
    "digest"
);
hash!(
    /// A hash of member, caller and body, the same for each repetition of a request.
    Fingerprint,
    "fingerprint"
);
