//! Macro that generates a policy struct with its defaults, reader and description from one list.

/// Defines a preset section of whole-number fields.
macro_rules! section {
    (
        #[doc = $about:literal]
        $type:ident at $section:literal {
            $(
                #[doc = $field_about:literal]
                $field:ident: $default:literal, $range:expr, $unit:literal;
            )+
        }
    ) => {
        #[doc = $about]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        pub struct $type {
            $(
                #[doc = $field_about]
                pub $field: u32,
            )+
        }

        impl Default for $type {
            fn default() -> Self {
                Self { $($field: $default,)+ }
            }
        }

        impl $type {
            /// Returns the description of the section.
            pub fn section() -> $crate::field::Section {
                $crate::field::Section {
                    name: $section,
                    about: $about.trim(),
                    fields: vec![$(
                        $crate::field::Field {
                            name: stringify!($field),
                            about: $field_about.trim(),
                            unit: $unit,
                            range: $range,
                            default: $default,
                        },
                    )+],
                }
            }

            pub(crate) fn read(
                mut reader: $crate::reader::Reader<'_>,
                findings: &mut agate_core::Findings,
            ) -> Self {
                let policy = Self {
                    $($field: reader.number(stringify!($field), $range, $default, findings),)+
                };
                reader.finish(findings);
                policy
            }
        }
    };
}

pub(crate) use section;
