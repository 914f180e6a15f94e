//! Versions, counts, sizes, rates and hashes.

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
            /// Returns the number as its primitive type.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Returns the number plus one.
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
    /// Version of a collection's index; higher is newer.
    SnapshotId,
    u64,
    "snapshot id"
);
number!(
    /// Version of a collection's partition map; higher is newer.
    MapVersion,
    u64,
    "map version"
);
number!(
    /// Version of the configuration document; never decreases.
    ConfigVersion,
    u64,
    "configuration version"
);
number!(
    /// Ownership epoch of a leaf: the number of times its holder has changed.
    Epoch,
    u64,
    "epoch"
);
number!(
    /// Revision of an object in the platform's store.
    Revision,
    u64,
    "revision"
);
number!(
    /// Number of times that the platform's store has come back from a copy.
    StoreEra,
    u64,
    "era of the store"
);
number!(
    /// Id of an attempt to run a query at a leaf; unique within an entry host's instance.
    AttemptId,
    u64,
    "attempt id"
);
number!(
    /// Number of requests that a leaf runs concurrently.
    Slots,
    u32,
    "slot count"
);
number!(
    /// Number of open connections.
    Connections,
    u32,
    "connection count"
);
number!(
    /// Rate in events per second.
    PerSecond,
    u32,
    "rate"
);
number!(
    /// Percentage.
    Percent,
    u32,
    "percentage"
);
number!(
    /// Size in bytes.
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
            /// Computes the hash of `bytes` (XXH3, 64 bits).
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
    /// Checksum that shows that a body is complete and unaltered.
    Digest,
    "digest"
);
hash!(
    /// Hash of member, caller and body; equal for every submission of the same request.
    Fingerprint,
    "fingerprint"
);
