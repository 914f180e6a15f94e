//! Adopting versioned documents: upwards only, and never two bodies of one version.

use wigeonramp_units::Digest;

/// Where a document came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentSource {
    /// A watch on the store.
    Watch,
    /// A read of the store.
    Read,
    /// Another host.
    Peer,
}

/// Outcome of an offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
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
    pub source: DocumentSource,
}

/// The highest version that this host has seen.
#[derive(Clone, Copy, Debug)]
pub struct AdoptedVersion<T> {
    current: Option<(T, Digest)>,
}

impl<T> Default for AdoptedVersion<T> {
    fn default() -> Self {
        Self { current: None }
    }
}

impl<T: Copy + Ord> AdoptedVersion<T> {
    /// Offers the document of `version`.
    pub fn offer(&mut self, version: T, digest: Digest, source: DocumentSource) -> OfferOutcome {
        let Some((adopted, adopted_digest)) = self.current else {
            return self.adopt(version, digest);
        };
        if version < adopted {
            return OfferOutcome::Older;
        }
        if version > adopted {
            return self.adopt(version, digest);
        }
        if digest == adopted_digest {
            return OfferOutcome::Same;
        }
        let (adopted, offered) = (adopted_digest, digest);
        OfferOutcome::Conflict(AdoptionConflict { adopted, offered, source })
    }

    fn adopt(&mut self, version: T, digest: Digest) -> OfferOutcome {
        self.current = Some((version, digest));
        OfferOutcome::Adopt
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
