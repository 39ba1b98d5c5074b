//! A reader of settings in INI text that reports the line of every error.
//!
//! The reader collects all errors of a text instead of stopping at the first one, so that an
//! operator can fix a file in one pass. It reads both the configuration document of an environment
//! and the settings of a process.
//!
//! ```
//! use std::time::Duration;
//!
//! use beryltray_lib::ini::IniReader;
//!
//! let mut reader = IniReader::parse("example.ini", "[platform]\ntimeout = 2s\n");
//! let mut platform = reader.take_section("platform");
//! let timeout = platform.optional_in_range_or(
//!     "timeout",
//!     Duration::from_secs(1),
//!     Duration::from_millis(10)..=Duration::from_secs(30),
//! );
//! reader.finish_section(platform);
//! assert!(reader.finish().is_ok());
//! assert_eq!(timeout, Duration::from_secs(2));
//! ```

pub mod error;
pub mod reader;
pub mod section;
mod text;
pub mod value;

pub use error::IniError;
pub use error::IniErrors;
pub use reader::IniReader;
pub use section::SectionReader;
pub use value::IniValue;
