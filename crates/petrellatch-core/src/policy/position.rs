//! Positions in the source text of an expression.

use std::fmt;

use cel::common::ast::SourceInfo;

/// A position in the source text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourcePosition {
    /// The line, starting at 1.
    pub line: u32,
    /// The character within the line, starting at 1.
    pub column: u32,
}

impl SourcePosition {
    /// The position of the first character.
    pub const START: SourcePosition = SourcePosition { line: 1, column: 1 };

    /// Returns the position of the character that starts at this byte.
    pub(super) fn of_byte(source: &str, byte: usize) -> SourcePosition {
        let mut position = SourcePosition::START;
        for (start, character) in source.char_indices() {
            if start >= byte {
                break;
            }
            if character == '\n' {
                position.line += 1;
                position.column = 1;
            } else {
                position.column += 1;
            }
        }
        position
    }

    /// Returns the position of a node of the syntax tree.
    pub(super) fn of_node(info: &SourceInfo, node: u64) -> SourcePosition {
        let (start, _) = info.offset_for(node).unwrap_or((0, 0));
        SourcePosition::of_byte(&info.source, start as usize)
    }
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}", self.line, self.column)
    }
}
