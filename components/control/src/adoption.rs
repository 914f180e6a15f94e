//! Adoption of versioned documents: a host only moves to higher versions, and never accepts two
//! different bodies of the same version.

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

/// Outcome of offering a document for adoption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The document was adopted and is now in force on this host.
    Adopt,
    /// The version is lower than the adopted one; the document is ignored.
    Older,
    /// The document is the adopted one.
    Same,
    /// The version is the adopted one, but the body differs; reported and never adopted.
    Conflict(AdoptionConflict),
}

/// Two different bodies of the same version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdoptionConflict {
    /// Digest of the adopted body.
    pub adopted: Digest,
    /// Digest of the offered body.
    pub offered: Digest,
    /// Where the offered body came from.
    pub source: DocumentSource,
}

/// The version of a document that this host has adopted: the highest one it was offered.
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
    /// Offers a document with this version and body digest.
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

    /// The adopted version; `None` before the first adoption.
    pub fn version(&self) -> Option<T> {
        self.current.map(|(version, _)| version)
    }

    /// Digest of the adopted body; `None` before the first adoption.
    pub fn digest(&self) -> Option<Digest> {
        self.current.map(|(_, digest)| digest)
    }
}
