//! Output queued for a socket as whole messages: a message of which no byte has been written can be
//! withdrawn.

use std::collections::VecDeque;
use std::ops::Deref;
use std::sync::Arc;

/// The bytes of a message.
pub enum MessageBytes {
    /// Owned by the message.
    Owned(Vec<u8>),
    /// Shared with other owners to avoid a copy.
    Shared(Arc<Vec<u8>>),
}

impl Deref for MessageBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            MessageBytes::Owned(bytes) => bytes,
            MessageBytes::Shared(bytes) => bytes,
        }
    }
}

struct Message {
    tag: u64,
    is_counted: bool,
    bytes: MessageBytes,
}

/// Messages waiting to be written, oldest first.
#[derive(Default)]
pub struct OutputQueue {
    messages: VecDeque<Message>,
    /// Bytes of the first message that have been written.
    written: usize,
    /// Bytes of all messages, including the written ones of the first message.
    total: usize,
    last_tag: u64,
    /// Counted messages that have been written completely.
    counted_sent: u64,
}

impl OutputQueue {
    /// Adds a message and returns the tag by which it can be withdrawn.
    pub fn push(&mut self, bytes: MessageBytes, is_counted: bool) -> u64 {
        self.last_tag += 1;
        self.total += bytes.len();
        self.messages.push_back(Message { tag: self.last_tag, is_counted, bytes });
        self.last_tag
    }

    /// Bytes that have not been written.
    pub fn queued(&self) -> usize {
        self.total - self.written
    }

    /// Bytes of all queued messages, including the written ones of the first message.
    pub fn stored(&self) -> usize {
        self.total
    }

    /// Counted messages that have been written completely.
    pub fn counted_sent(&self) -> u64 {
        self.counted_sent
    }

    /// Removes a message if none of its bytes has been written. Returns whether it was removed.
    pub fn withdraw(&mut self, tag: u64) -> bool {
        let Ok(position) = self.messages.binary_search_by_key(&tag, |message| message.tag) else {
            return false;
        };
        if position == 0 && self.written > 0 {
            return false;
        }
        self.messages.remove(position).map(|message| self.total -= message.bytes.len()).is_some()
    }

    /// The bytes to write next: the rest of the first message, which may be empty.
    pub fn next_bytes(&self) -> Option<&[u8]> {
        self.messages.front().map(|message| &message.bytes[self.written..])
    }

    /// Records that the next `count` bytes have been written.
    pub fn advance(&mut self, count: usize) {
        self.written += count;
        if self.messages.front().is_some_and(|message| self.written == message.bytes.len()) {
            let is_counted = self.messages.pop_front().is_some_and(|message| message.is_counted);
            self.counted_sent += u64::from(is_counted);
            self.total -= self.written;
            self.written = 0;
        }
    }
}
