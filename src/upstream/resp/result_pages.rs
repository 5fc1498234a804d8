//! A result that comes in pages, in any order.

use crate::core::{AttemptReport, ResultParts};
use crate::limits::ResultLimits;
use crate::net::resp::Malformed;

/// A result as far as its pages have come.
pub struct ResultPages {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    /// Bytes of the pages that are here.
    size: usize,
    /// What the engine reported with the result.
    pub report: AttemptReport,
}

/// What a page has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageStatus {
    /// Other pages are missing, or it was here already.
    Incomplete,
    /// All pages are here.
    Complete,
}

impl ResultPages {
    /// A result of `total` pages, of which none is here yet.
    ///
    /// # Errors
    /// Where that is more than a result may have.
    pub fn new(total: usize, report: AttemptReport, limits: &ResultLimits) -> Result<Self, Malformed> {
        if total > limits.max_pages {
            return Err(Malformed);
        }
        let total = total.max(1); // the first page comes in any case
        Ok(Self { pages: vec![None; total], missing: total, size: 0, report })
    }

    /// Pages of the complete result.
    pub fn total(&self) -> usize {
        self.pages.len()
    }

    /// Adds a page; a second copy of one is passed over.
    ///
    /// # Errors
    /// Where the result has no such page, or the page or the result is too large.
    pub fn add(
        &mut self,
        index: usize,
        page: Vec<u8>,
        limits: &ResultLimits,
    ) -> Result<PageStatus, Malformed> {
        let place = self.pages.get_mut(index).ok_or(Malformed)?;
        if place.is_some() {
            return Ok(PageStatus::Incomplete);
        }
        self.size += page.len();
        if page.len() > limits.page_rows || self.size > limits.max_rows {
            return Err(Malformed);
        }
        *place = Some(page);
        self.missing -= 1;
        Ok(if self.missing > 0 { PageStatus::Incomplete } else { PageStatus::Complete })
    }

    /// Takes the pages out, in order.
    pub fn take_parts(&mut self) -> ResultParts {
        std::mem::take(&mut self.pages).into_iter().flatten().collect()
    }
}
