//! Merging the parts of a gathered response.

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top_k` records of all parts, greatest first, compared byte by byte.
///
/// Equal records are all kept. A remainder shorter than a record at the end of a part is ignored.
pub fn merge_top_k<'a>(parts: impl Iterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > top_k && top_k > 0 {
        records.select_nth_unstable_by(top_k - 1, |a, b| b.cmp(a));
    }
    records.truncate(top_k);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
