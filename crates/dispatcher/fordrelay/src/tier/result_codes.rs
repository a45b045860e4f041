//! The page of result codes.

use super::error;

/// The beginning of the page.
const HEAD: &str = "# Result codes

Written by `fordrelay tier codes`; a test compares. Each fault is printed with its letter and number, then where it
stands and what is wrong: `C215 Routes[0].Svc: there is no service \"a\"`.
";

/// The codes of one source.
struct Section {
    letter: char,
    title: &'static str,
    /// Code, name and meaning.
    codes: &'static [(u16, &'static str, &'static str)],
}

const SECTIONS: [Section; 3] = [
    Section {
        letter: 'S',
        title: "Settings files",
        codes: tier_settings::CODES,
    },
    Section {
        letter: 'C',
        title: "Configurations",
        codes: route_config::CODES,
    },
    Section {
        letter: 'O',
        title: "The operators' command",
        codes: error::CODES,
    },
];

/// All codes, as Markdown.
pub fn page() -> String {
    let section = |Section {
                       letter,
                       title,
                       codes,
                   }: &Section| {
        let row = |(code, name, meaning): &(u16, &str, &str)| {
            format!("| {letter}{code} | {name} | {meaning} |\n")
        };
        let rows: String = codes.iter().map(row).collect();
        format!("\n## {title}\n\n| code | name | meaning |\n| --- | --- | --- |\n{rows}")
    };
    std::iter::once(HEAD.to_owned())
        .chain(SECTIONS.iter().map(section))
        .collect()
}
