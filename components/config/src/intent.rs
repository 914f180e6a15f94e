//! Applying intents to a document, and the capacity and coverage of a document.

use {
    crate::{
        api::{CoverageRisk, Intent},
        document::{AdminState, Collection, Document},
        error::ValidationError,
        rules,
    },
    wigeonramp_units::{CollectionId, LeafId, OpId, ShardId, Slots, ZoneId},
};

impl Document {
    /// Returns the document that results from `intent`, with the next version and operation `op`.
    ///
    /// Fails if the intent names a zone or leaf that does not exist, or if the result is invalid.
    pub fn apply(&self, intent: &Intent, op: OpId) -> Result<Document, ValidationError> {
        let mut target = match intent {
            Intent::Declare { document } => document.as_ref().clone(),
            Intent::ZoneOut { zone } => self.with_zone_state(zone, AdminState::Out)?,
            Intent::ZoneIn { zone } => self.with_zone_state(zone, AdminState::In)?,
            Intent::LeafOut { leaf } => self.with_leaf_state(leaf, AdminState::Out)?,
            Intent::LeafIn { leaf } => self.with_leaf_state(leaf, AdminState::In)?,
        };
        target.version = self.version.next();
        target.op = op;
        target.check()?;
        Ok(target)
    }

    fn with_zone_state(&self, id: &ZoneId, state: AdminState) -> Result<Document, ValidationError> {
        let mut target = self.clone();
        let Some(zone) = target.zones.get_mut(id) else {
            let expected = format!("one of {}", rules::join_ids(self.zones.keys()));
            return Err(ValidationError::new(format!("zones.{id}"), "no such zone", expected));
        };
        zone.state = state;
        Ok(target)
    }

    fn with_leaf_state(&self, id: &LeafId, state: AdminState) -> Result<Document, ValidationError> {
        let mut target = self.clone();
        let Some(leaf) = target.leaves.get_mut(id) else {
            let expected = "the id of an upstream, such as \"quote-desk/07/a\"";
            return Err(ValidationError::new(format!("leaves.{id}"), "no such upstream", expected));
        };
        leaf.state = state;
        Ok(target)
    }

    /// Returns the number of slots of all leaves in service once they are warm.
    pub fn capacity(&self) -> Slots {
        let in_service = self.leaves.iter().filter(|(id, _)| self.in_service(id));
        let collections = in_service.filter_map(|(_, leaf)| self.collections.get(&leaf.collection));
        Slots(collections.map(|collection| collection.leaf_limits.slots.get()).sum())
    }

    /// Returns the collections whose newest map has shards with fewer than two replicas in service.
    pub fn coverage_risks(&self) -> Vec<CoverageRisk> {
        let risks = self.collections.iter().filter_map(|(id, c)| self.coverage_risk(id, c));
        risks.filter(|risk| risk.single + risk.uncovered > 0).collect()
    }

    fn coverage_risk(&self, id: &CollectionId, collection: &Collection) -> Option<CoverageRisk> {
        let map = collection.maps.last()?;
        let replicas_in_service = |(_, leaves): (&ShardId, &Vec<LeafId>)| {
            leaves.iter().filter(|leaf| self.in_service(leaf)).count()
        };
        let counts: Vec<usize> = map.shards.iter().map(replicas_in_service).collect();
        let shards_with = |n| counts.iter().filter(|count| **count == n).count() as u32;
        Some(CoverageRisk {
            collection: id.clone(),
            total: counts.len() as u32,
            single: shards_with(1),
            uncovered: shards_with(0),
        })
    }
}
