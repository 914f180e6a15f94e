//! Adopting versioned documents: upwards only, and never two bodies of one version.

use wigeonramp_units::Digest;

/// Where a document came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A watch on the store.
    Watch,
    /// A read of the store.
    List,
    /// Another host.
    Peer,
}

/// Outcome of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offered {
    /// The document is in force on this host from now on.
    Adopt,
    /// The version is below the adopted one; ignored.
    Older,
    /// The adopted document again.
    Same,
    /// The adopted version with another body; reported, never adopted.
    Conflict(AdoptionConflict),
}

/// Two bodies of one version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdoptionConflict {
    /// Digest of the adopted body.
    pub adopted: Digest,
    /// Digest of the offered body.
    pub offered: Digest,
    /// Where the offered body came from.
    pub source: Source,
}

/// The highest version that this host has seen.
#[derive(Clone, Copy, Debug)]
pub struct Adoption<T> {
    current: Option<(T, Digest)>,
}

impl<T> Default for Adoption<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T: Copy + Ord> Adoption<T> {
    /// Offers the document of `version`.
    pub fn offer(&mut self, version: T, digest: Digest, source: Source) -> Offered {
        let Some((adopted, adopted_digest)) = self.current else {
            return self.adopt(version, digest);
        };
        if version < adopted {
            return Offered::Older;
        }
        if version > adopted {
            return self.adopt(version, digest);
        }
        if digest == adopted_digest {
            return Offered::Same;
        }
        let (adopted, offered) = (adopted_digest, digest);
        Offered::Conflict(AdoptionConflict { adopted, offered, source })
    }

    fn adopt(&mut self, version: T, digest: Digest) -> Offered {
        self.current = Some((version, digest));
        Offered::Adopt
    }

    /// The adopted version.
    pub fn version(&self) -> Option<T> {
        self.current.map(|(version, _)| version)
    }

    /// Digest of the adopted body.
    pub fn digest(&self) -> Option<Digest> {
        self.current.map(|(_, digest)| digest)
    }
}
