//! Identifiers: validated strings that are cheap to clone.

use {
    crate::text::ParseError,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        str::FromStr,
        sync::Arc,
    },
};

/// Maximum length of an id in bytes; one object key or header contains several ids.
const MAX_ID_LEN: usize = 128;
const ID_FORM: &str = "1 to 128 characters from a-z A-Z 0-9 . _ - / @ :";

fn is_valid_id(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-/@:".contains(c);
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.chars().all(is_allowed)
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as a string slice.
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
                if !is_valid_id(text) {
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
    /// Id of a host, the name in its settings.
    HostId,
    "host id"
);
text_id!(
    /// Id of one run of a process; each start gets a new one.
    BootId,
    "boot id"
);
text_id!(
    /// Id of an availability zone.
    ZoneId,
    "zone id"
);
text_id!(
    /// Id of a region, a group of availability zones.
    RegionId,
    "region id"
);
text_id!(
    /// Id of a leaf, that is, of an upstream.
    LeafId,
    "leaf id"
);
text_id!(
    /// Id of a collection, a set of services that are queried together.
    CollectionId,
    "collection id"
);
text_id!(
    /// Id of a service, a group of interchangeable upstreams.
    ServiceId,
    "service id"
);
text_id!(
    /// Id of a shard of a collection.
    ShardId,
    "shard id"
);
text_id!(
    /// Id of a member (tenant); no member can see the rows of another.
    MemberId,
    "member id"
);
text_id!(
    /// Id of a caller.
    CallerId,
    "caller id"
);
text_id!(
    /// Id of a request, chosen by its caller.
    RequestId,
    "request id"
);
text_id!(
    /// Id of a write to the platform's store; identifies the write again if its response was lost.
    OpId,
    "operation id"
);
text_id!(
    /// Id of an instance, one run of a host's process, written `host@boot`.
    InstanceId,
    "instance id"
);

impl InstanceId {
    /// Creates the id of the run `boot` of `host`.
    pub fn new(host: &HostId, boot: &BootId) -> Self {
        Self(format!("{host}@{boot}").into())
    }

    /// Returns the host part of the id.
    pub fn host(&self) -> HostId {
        let host = self.0.split('@').next().unwrap_or_default();
        HostId(host.into())
    }
}
