//! A result that arrives in pages, in any order.

use crate::core::{AttemptReport, ResultParts};
use crate::limits::ResultLimits;
use crate::net::resp::Malformed;

/// The pages of a result that have arrived so far.
pub struct ResultPages {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    /// Bytes of the pages that have arrived.
    size: usize,
    /// What the engine reported with the result.
    pub report: AttemptReport,
}

/// The state of a result after a page was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageStatus {
    /// Other pages are missing, or the page was a duplicate.
    Incomplete,
    /// All pages have arrived.
    Complete,
}

impl ResultPages {
    /// A result of `total` pages, none of which has arrived yet.
    ///
    /// # Errors
    /// If that exceeds the limit on pages.
    pub fn new(total: usize, report: AttemptReport, limits: &ResultLimits) -> Result<Self, Malformed> {
        if total > limits.max_pages {
            return Err(Malformed);
        }
        let total = total.max(1); // there is always a first page
        Ok(Self { pages: vec![None; total], missing: total, size: 0, report })
    }

    /// Number of pages of the complete result.
    pub fn total(&self) -> usize {
        self.pages.len()
    }

    /// Adds a page; a duplicate is ignored.
    ///
    /// # Errors
    /// If the result has no such page, or the page or the result is too large.
    pub fn add(
        &mut self,
        index: usize,
        page: Vec<u8>,
        limits: &ResultLimits,
    ) -> Result<PageStatus, Malformed> {
        let slot = self.pages.get_mut(index).ok_or(Malformed)?;
        if slot.is_some() {
            return Ok(PageStatus::Incomplete);
        }
        self.size += page.len();
        if page.len() > limits.max_page_bytes || self.size > limits.max_bytes {
            return Err(Malformed);
        }
        *slot = Some(page);
        self.missing -= 1;
        Ok(if self.missing > 0 { PageStatus::Incomplete } else { PageStatus::Complete })
    }

    /// Removes and returns the pages, in order.
    pub fn take_parts(&mut self) -> ResultParts {
        std::mem::take(&mut self.pages).into_iter().flatten().collect()
    }
}
