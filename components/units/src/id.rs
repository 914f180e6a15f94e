//! Identifiers.

use {
    crate::text::ParseError,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        str::FromStr,
        sync::Arc,
    },
};

/// Longest accepted id in bytes; object keys and headers carry several of them.
const MAX_ID_LEN: usize = 128;
const ID_FORM: &str = "1 to 128 characters from a-z A-Z 0-9 . _ - / @ :";

fn is_id(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || "._-/@:".contains(c);
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.chars().all(ok)
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if !is_id(text) {
                    return Err(ParseError::new($kind, ID_FORM, text));
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

text_id!(
    /// A host, by the name in its settings.
    HostId,
    "host id"
);
text_id!(
    /// One start of a process; new at each start.
    BootId,
    "boot id"
);
text_id!(
    /// An availability zone.
    ZoneId,
    "zone id"
);
text_id!(
    /// A region; a group of availability zones.
    RegionId,
    "region id"
);
text_id!(
    /// An upstream.
    LeafId,
    "leaf id"
);
text_id!(
    /// A set of services that are queried together.
    CollectionId,
    "collection id"
);
text_id!(
    /// A service: upstreams that answer alike.
    ServiceId,
    "service id"
);
text_id!(
    /// One shard of a collection.
    ShardId,
    "shard id"
);
text_id!(
    /// A member whose rows no other member sees.
    MemberId,
    "member id"
);
text_id!(
    /// A caller.
    CallerId,
    "caller id"
);
text_id!(
    /// A request, chosen by its caller.
    RequestId,
    "request id"
);
text_id!(
    /// One write to the platform, found again after a lost answer.
    OpId,
    "operation id"
);
text_id!(
    /// One start of one host, written `host@boot`.
    InstanceId,
    "instance id"
);

impl InstanceId {
    /// The instance of `host` that started as `boot`.
    pub fn new(host: &HostId, boot: &BootId) -> Self {
        Self(format!("{host}@{boot}").into())
    }

    /// The host's part of the id.
    pub fn host(&self) -> HostId {
        let host = self.0.split('@').next().unwrap_or_default();
        HostId(host.into())
    }
}
